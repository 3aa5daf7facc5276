"""How the requests of the soak's callers ended, against what the instances count
of them."""
import re
import signal
import time

from fleet import TOKEN, request

# Time in which callers see that a process has ended.
SEEN_S = 1
ENDS = ("answered", "refused", "cut", "left", "unanswered")


class CallerEnds:
    """Part of a soak: notes and checks how requests ended."""

    def start_ends(self):
        self.ends = {}       # (instance, end) -> requests sent whole
        self.restarts = []   # instance, signal, start, end

    def is_restarted(self, name, signals, since):
        """Returns whether a process of the instance ended since then, or is
        about to."""
        return any(n == name and number in signals and end + SEEN_S >= since
                   for n, number, _, end in self.restarts)

    def note_end(self, name, token, end, conn):
        """Notes how a request ended that was sent whole."""
        with self.lock:
            self.ends[name, end] = self.ends.get((name, end), 0) + 1
        ending = [signal.SIGKILL]
        if end == "crossed":
            ending.append(signal.SIGTERM)
        if end in ("crossed", "unanswered") and not self.is_restarted(
                name, ending, conn.sent_at):
            self.report_violation("%s at %s is closed without a byte" % (
                token, name))

    def note_closed(self, name, conn):
        """Notes that an idle connection was closed."""
        idle_s = time.monotonic() - conn.idle_since
        if idle_s < self.idle_allowed_s(conn.idle_since) and \
                not self.is_restarted(name, [signal.SIGKILL, signal.SIGTERM],
                                      conn.idle_since):
            self.report_violation("%s closed a connection after %d ms" % (
                name, 1000 * idle_s))

    def read_ledger(self, name):
        """Returns how many requests ended in each way at an instance, by its
        present process and by those that ended before; None if it does not
        say."""
        text = request(self.fleet.operators[name], "GET", "/metrics", None,
                       {"authorization": "Bearer " + TOKEN}).body
        # Of the listeners only that of callers counts.
        text = re.sub(r'^.*listener="(?!callers").*$', "", text, flags=re.M)
        rows = re.findall(r"^mimosapath_caller_requests_ended_total"
                          r'\{.*end="([\w-]+)".*\} (\d+)', text, re.M)
        if not rows:
            return None
        with open(self.fleet.path(name + ".log")) as log:
            for line in re.findall(r" ended failed=.*", log.read()):
                rows += re.findall(r"(\w+)=(\d+)", line)
        ledger = dict.fromkeys(ENDS + ("read",), 0)
        for end, count in rows:
            end = {"caller-left": "left", "caller_left": "left"}.get(end, end)
            ledger[end] = ledger.get(end, 0) + int(count)
        ledger["read"] += sum(int(n) for n in re.findall(
            r"^mimosapath_caller_requests_read_total\S* (\d+)", text, re.M))
        return ledger

    def check_ledgers(self, before):
        """Compares what callers saw with what the instances counted.  Requests
        whose callers left may have ended in any way."""
        for name in self.fleet.names:
            ledger = self.read_ledger(name)
            if ledger is None or before[name] is None:
                continue
            if ledger["read"] != sum(ledger[end] for end in ENDS):
                self.report_violation("%s: read is not the sum: %s" % (
                    name, ledger))
            if any(n == name and number == signal.SIGKILL
                   for n, number, _, _ in self.restarts):
                continue   # what it counted is gone
            seen = {end: self.ends.get((name, end), 0) for end in ENDS}
            counted = {end: ledger[end] - before[name][end] for end in ENDS}
            for ends in (("answered", "refused"), ("cut",), ("unanswered",)):
                difference = sum(counted[end] - seen[end] for end in ends)
                if not 0 <= difference <= seen["left"]:
                    self.report_violation("%s: callers saw %s, counted %s" % (
                        name, seen, counted))
                    break
