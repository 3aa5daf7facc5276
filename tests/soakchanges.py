"""Changes of the document for the soak, and callers that use a connection again
late, as the idle timeout allows it."""
import json
import signal
import time

from answers import ID
from pathfleet import path_conf

# Changes of the document, and SIGHUP of all; not among ALL_KINDS.
CHANGE_KINDS = "change hup"
IDLE_SHORT_MS, IDLE_LONG_MS = 1200, 6000
# Longest time until a change is in force at all instances, also after a fault.
IN_FORCE_S = 8


class DocumentChanges:
    """Part of a soak: changes the document in series."""

    def start_changes(self):
        self.idle_changes = [(0.0, IDLE_LONG_MS)]   # time, timeout in ms
        self.changes = {}                           # of the document

    def idle_allowed_s(self, since):
        """Returns four fifths of the shortest idle timeout that may have been
        in force at an instance when a connection became idle."""
        changes = self.idle_changes + [(float("inf"), 0)]
        return 0.0008 * min(
            timeout_ms for (start, timeout_ms), (until, _) in zip(
                changes, changes[1:])
            if start <= since and until > since - IN_FORCE_S)

    def may_use(self, conn):
        """Returns whether a caller may use its idle connection again."""
        return time.monotonic() - conn.idle_since < self.idle_allowed_s(
            conn.idle_since)

    def run_idler(self, seed):
        """Uses connections again late, and sends requests in pieces."""
        caller = self.new_caller(seed)
        while not self.is_stopped:
            name = caller.random.choice(self.fleet.names)
            kind = caller.random.choice(["once", "any"])
            for _ in range(2):
                token = self.next_token(kind, name)
                response = caller.send(
                    name, token, "/%s/" % kind, fields={ID: token},
                    pieces=caller.random.choice([1, 2, 4]))
                self.check_response(kind, token, response)
                time.sleep(caller.random.uniform(0.5, 1) *
                           self.idle_allowed_s(time.monotonic()))

    def change_document(self):
        """Puts a document that differs from the one in force; one that finds
        another before it is left out, as by operators that race."""
        rng = self.random
        choice = rng.choice(["idle", "idle", "timeout", "attempts", "path",
                             "key", "prepaid"])
        with self.lock:
            changes = self.changes
            if choice == "idle":
                is_short = self.idle_changes[-1][1] == IDLE_SHORT_MS
                timeout_ms = IDLE_LONG_MS if is_short else IDLE_SHORT_MS
                self.idle_changes.append((time.monotonic(), timeout_ms))
                changes["idle"] = timeout_ms
            elif choice == "prepaid":
                self.prepaid += 1000
            elif choice == "timeout":
                changes["timeout"] = rng.randint(2500, 8000)
            else:
                changes[choice] = changes.get(choice, 0) + 1
            self.number += 1
            submission = "change-%d" % self.number
            text = json.dumps(self.changed_document())
        status = self.fleet.status()
        self.fleet.operator_request(
            "PUT", "/control/v1/document", text, {
                "if-match": '"%d"' % (status or {}).get("document_version", 1),
                "idempotency-key": submission})

    def changed_document(self):
        document, changes = self.fleet.document(), self.changes
        paths = document["paths"]
        for conf in paths.values():
            conf["timeout_ms"] = changes.get("timeout", conf["timeout_ms"])
        for name in ("any", "stream"):
            paths[name]["attempts_most"] = 2 + changes.get("attempts", 0) % 2
        for number in range(changes.get("path", 0)):
            prefix = "/more-%d/" % number
            paths[prefix.strip("/")] = path_conf(prefix)
        workspace = document["workspaces"]["w"]
        workspace["key_hashes"] += ["%064x" % n for n in range(
            changes.get("key", 0))]
        workspace["prepaid_tokens"] = self.prepaid
        document["limits"] = {"idle_timeout_ms": changes.get(
            "idle", IDLE_LONG_MS)}
        return document

    def reload_all(self):
        for name in self.fleet.names:
            process = self.fleet.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)
