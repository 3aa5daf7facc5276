"""A load header that can't be read doesn't make its target look idle: the
target gets about as many requests as one that goes on to report its load, and
the log names it once."""
import time

from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

LOADS = ["x,y,z", "-1,0,8", "", "1", "1,0", "1,0,8;9", "1,,8", "1,0,0x9",
         "9" * 40 + ",0,8"]
# Longer than a report counts.
DECAY_S = 1.6
state = {"load": "6,0,8"}


def handle_request(target, request, conn):
    respond(conn, request, target.name, extra_headers="x-mimosapath-load: "
            "%s\r\n" % (state["load"] if target.name == "busy" else "6,0,8"))


targets = [SimTarget(n, handle_request) for n in ("busy", "other")]
fleet, _ = path_fleet(targets, [path_conf("/x/")], instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))

    def shares(count=40):
        before = len(targets[0].requests)
        statuses = {status_of(send(fleet, "i0", "/x/1"))
                    for _ in range(count)}
        return len(targets[0].requests) - before, statuses

    for load in LOADS:
        time.sleep(DECAY_S)
        state["load"] = "6,0,8"
        shares(10)
        state["load"] = load
        count, statuses = shares()
        print("load %r" % load[:12], "most to the busy target", count > 30,
              sorted(statuses))
    log = open(fleet.path("i0.log")).read()
    print("log lines", log.count(" target-load-invalid "))
