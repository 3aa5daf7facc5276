"""A document with a shorter idle timeout, or the timeout itself, cuts nothing
that a caller may still send: requests that are being read, bodies that arrive
slowly, and requests on connections that became idle under a longer timeout.  A
connection that is idle for longer than that is closed."""
import json
import os
import re
import socket
import time

from fleet import TOKEN, in_background, request, wait_for
from pathfleet import (NATIVE, PLATFORM, KeptCaller, ReadError, SimTarget,
                       path_conf, path_fleet, platform_fleet, request_text,
                       respond, wait_targets)

LONG_MS, SHORT_MS = 8000, 1500
CHAT = json.dumps({"model": "m", "max_tokens": 4, "messages": [
    {"role": "user", "content": "x" * 300}]})
PLAYS = 3  # connections that play each case at the same time


def set_idle_timeout(fleet, timeout_ms):
    """Changes the document; returns once the instance has it."""
    def version():
        text = request(fleet.operators["i0"], "GET", "/metrics", None,
                       {"authorization": "Bearer " + TOKEN}).body
        found = re.search(r"^mimosapath_document_version (\d+)", text, re.M)
        return int(found.group(1)) if found else 0
    before = version()
    if fleet.is_platform:
        document = json.loads(fleet.operator_request(
            "GET", "/config/read").body)
        document["version"] += 1
        document["limits"] = {"idle-timeout-ms": timeout_ms}
        fleet.retry(lambda: fleet.operator_request(
            "POST", "/config/replace", json.dumps(document)))
    else:
        document = fleet.document()
        document["limits"] = {"idle_timeout_ms": timeout_ms}
        fleet.retry(lambda: fleet.put_document(document, before,
                                               "limits-%d" % before))
    if not wait_for(lambda: version() > before):
        raise SystemExit("the document does not come into force")


class Play:
    """One caller that plays one case with requests of one kind."""

    def __init__(self, fleet, names, kind, case, number):
        self.fleet, self.names, self.case = fleet, names, case
        self.path, self.body = {
            "path": ("/x/%s-%d" % (case, number), "b" * 400),
            "chat": ("/v1/chat/completions", CHAT),
            "service": ("/services/s/lots", "id=%s-%d" % (case, number)),
        }[kind]
        self.id = "%s-%s-%d" % (kind, case, number)
        self.caller = KeptCaller(fleet.callers["i0"], timeout=15)

    def text(self):
        fields = list(self.names["caller"].items())
        fields += [(self.names["id"], self.id), ("idempotency-key", self.id)]
        return request_text("POST", self.path, fields, self.body)

    def ask(self, pieces=1, pause_s=0, first=None):
        """Sends a request in pieces; returns the status, or how it ended."""
        text = self.text()
        size = -(-len(text) // pieces)
        self.caller.methods.append("POST")
        try:
            for at in range(0, len(text), size):
                if at and first is None:
                    time.sleep(pause_s)
                elif at:
                    first()
                self.caller.conn.sendall(text[at:at + size])
            return str(self.caller.read().status)
        except (OSError, ReadError) as error:
            return "closed, " + str(error)


def is_closed(play, seconds):
    """Returns whether the instance closes an idle connection in this time."""
    play.caller.conn.settimeout(seconds)
    try:
        return play.caller.conn.recv(1) == b""
    except socket.timeout:
        return False
    except OSError:
        return True


def count(outcomes):
    return "%d of %d" % (sum(o == "200" for o in outcomes), len(outcomes))


def play_all(plays, work):
    outcomes = {}
    threads = [in_background(lambda p=p: outcomes.__setitem__(p, work(p)))
               for p in plays]
    for thread in threads:
        thread.join(60)
    if os.environ.get("VERBOSE"):
        print("  ", [outcomes.get(p) for p in plays])
    return [outcomes.get(p) for p in plays]


def play_interface(label, names, kinds, make_fleet):
    def handle_request(target, req, conn):
        respond(conn, req)

    target = SimTarget("t0", handle_request)
    target.slots = 64
    fleet, _ = make_fleet([target], [path_conf("/ready/"), path_conf("/x/")],
                          instances=1, control=1)
    fleet.is_platform = names is PLATFORM
    with fleet:
        headers = dict(names["caller"], **{names["id"]: "first"})
        print(label, "ready", wait_targets(fleet, "i0", headers=headers))
        if not fleet.is_platform:
            fleet.topup("w", 100000)
            fleet.retry(lambda: fleet.chat("i0", "first"))

        def new(case):
            plays = [Play(fleet, names, kind, case, n) for kind in kinds
                     for n in range(PLAYS)]
            print("  %s, first requests" % case,
                  count(play_all(plays, lambda p: p.ask())), end=", ")
            return plays

        set_idle_timeout(fleet, LONG_MS)
        # Requests that are half sent, and idle connections, when the timeout
        # becomes shorter.
        plays = new("change")
        time.sleep(0.5 * SHORT_MS / 1000)
        thread = in_background(lambda: (
            time.sleep(0.5), set_idle_timeout(fleet, SHORT_MS)))
        idle = [Play(fleet, names, kind, "idle", n) for kind in kinds
                for n in range(PLAYS)]
        play_all(idle, lambda p: p.ask())

        def wait_for_change():
            thread.join(30)
            time.sleep(2 * SHORT_MS / 1000)

        halves = play_all(plays, lambda p: p.ask(2, first=wait_for_change))
        print("answered", count(halves))
        print("  idle since before the change, answered",
              count(play_all(idle, lambda p: p.ask())))

        plays = new("fifths")
        time.sleep(0.8 * SHORT_MS / 1000)
        print("slow body, answered", count(play_all(
            plays, lambda p: p.ask(4, 0.25))))
        plays = new("slow")
        print("longer than the timeout, answered", count(play_all(
            plays, lambda p: p.ask(8, 0.4))))
        plays = new("over")
        print("closed in the end", sum(play_all(
            plays, lambda p: is_closed(p, 15))), "of", len(plays))


play_interface("own interface,", NATIVE, ("path", "chat", "service"),
               path_fleet)
play_interface("platform,", PLATFORM, ("path",), platform_fleet)
