"""The leader is stopped for a while (SIGSTOP), and the other instances read
the target list themselves.  A late message of the leader about its own list
must not remove targets."""
import re
import signal
import time
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)

targets = [SimTarget("t%d" % n, lambda t, req, conn: respond(conn, req))
           for n in range(2)]
fleet, listed = path_fleet(targets, [path_conf("/plain/")], instances=3,
                           control=1)
with fleet:
    print("ready", all(wait_targets(fleet, name, "/plain/")
                       for name in fleet.names))
    statuses = set()
    for frozen_ms in (1300, 1500, 1700):
        time.sleep(1.5)  # until the leader's list is in use again
        fleet.processes["i0"].send_signal(signal.SIGSTOP)
        time.sleep(frozen_ms / 1000)
        fleet.processes["i0"].send_signal(signal.SIGCONT)
        for _ in range(8):
            statuses |= {status_of(send(fleet, name, "/plain/x"))
                         for name in ("i1", "i2")}
            time.sleep(0.05)
    print("statuses", sorted(statuses))
    print("lists without targets", sum(len(re.findall(
        "targets-changed version=.* targets=0", open(
            fleet.path(name + ".log")).read())) for name in ("i1", "i2")))
