"""The soak fails where an instance counts other ends of requests than callers
saw, by its present process and by those that ended before."""
import os
import signal
import tempfile
from types import SimpleNamespace

from callerends import ENDS, CallerEnds
from pathfleet import SimTarget, respond

NOTHING = dict.fromkeys(ENDS + ("read",), 0)
EARLIER = "<5>x i0 ended failed=0 read=9 answered=5 refused=3 cut=1 " \
    "caller_left=0 unanswered=0\n"


class Check(CallerEnds):
    def __init__(self, port, folder):
        self.start_ends()
        self.violations = []
        self.report_violation = self.violations.append
        self.fleet = SimpleNamespace(
            names=["i0"], operators={"i0": port},
            path=lambda name: os.path.join(folder, name))


def show_metrics(target, request, conn):
    names = {"left": "caller-left"}
    labels = ['listener="callers"'] if target.has_listener else []
    lines = [("mimosapath_caller_requests_read_total{%s} %d" % (
        labels[0], target.read) if labels else
        "mimosapath_caller_requests_read_total %d" % target.read)]
    lines += ["mimosapath_caller_requests_ended_total{%s} %d" % (
        ",".join(labels + ['end="%s"' % names.get(end, end)]),
        target.counted.get(end, 0)) for end in ENDS]
    if labels:
        lines += [line.replace("\"callers", "\"operators") for line in lines]
    respond(conn, request, "\n".join(lines if target.counted else []) + "\n")


def check(label, counted, seen, read=None, earlier="", signals=(),
          has_listener=False):
    target = SimTarget("metrics", show_metrics)
    target.counted, target.has_listener = counted, has_listener
    target.read = sum(counted.values()) if read is None else read
    with tempfile.TemporaryDirectory() as folder:
        with open(os.path.join(folder, "i0.log"), "w") as log:
            log.write(earlier)
        play = Check(target.port, folder)
        play.ends = {("i0", end): n for end, n in seen.items()}
        play.restarts = [["i0", number, 0, 1] for number in signals]
        play.check_ledgers({"i0": dict(NOTHING)})
    print("%s: %s" % (label, "differs" if play.violations else "same"))


SEEN = {"answered": 7, "refused": 2, "cut": 1, "left": 2}
SAME = {"answered": 8, "refused": 2, "cut": 1, "left": 1}
check("the same", SAME, SEEN)
check("by listener", SAME, SEEN, has_listener=True)
check("one answer less", dict(SAME, answered=6), SEEN)
check("more than callers left", dict(SAME, answered=10), SEEN)
check("one cut more than callers saw or left", dict(SAME, cut=4), SEEN)
check("an unanswered one that no caller saw",
      dict(SAME, unanswered=1), {"answered": 8, "refused": 2, "cut": 1})
check("a caller saw one that is not counted", SAME, dict(SEEN, unanswered=1))
check("read is not the sum", SAME, SEEN, read=13)
check("with an earlier process", SAME,
      {"answered": 13, "refused": 5, "cut": 2, "left": 1}, earlier=EARLIER)
check("without what the earlier process saw", SAME, SEEN, earlier=EARLIER)
check("a process was killed", {"answered": 1}, SEEN,
      signals=[signal.SIGKILL])
check("no counts yet", {}, SEEN)
