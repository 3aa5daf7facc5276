"""The target list.  One instance reads it for all.  A faulty entry is
ignored.  A leaving target gets no new requests.  If the list is unavailable or
unreadable, the last one stays in force.  An address that another target has
taken over gets no requests for the first."""
import time
from fleet import wait_for
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)


def handle_request(target, request, conn):
    wanted = request["headers"].get("x-mimosapath-incarnation")
    if wanted != target.name:
        return respond(conn, request, status=421)
    respond(conn, request, target.name)


targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
fleet, listed = path_fleet(targets, [path_conf("/ready/")], instances=3,
                           control=1)
with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    before = len(listed.server.requests)
    time.sleep(3)
    reads = len(listed.server.requests) - before
    print("one reader", 1 <= reads <= 12)

    def served_by(name):
        """Returns the targets that serve 12 requests to an instance."""
        return sorted({send(fleet, name, "/ready/x").split(b"\r\n\r\n")[1]
                       .decode() for _ in range(12)})

    listed.entries[0]["leaving"] = True
    listed.entries.append({"incarnation": "broken", "pool": "p"})
    listed.entries.append("no entry")
    print("left", all(
        wait_for(lambda n=n: "t0" not in served_by(n), 5)
        for n in fleet.names))
    listed.entries = "unreadable"
    time.sleep(1)
    print("list unreadable", [served_by(n) == ["t1", "t2"]
                              for n in fleet.names])
    listed.server.stop()
    time.sleep(1)
    print("list unavailable", [served_by(n) == ["t1", "t2"]
                               for n in fleet.names])
    targets[1].name = "t9"
    statuses = {status_of(send(fleet, "i0", "/ready/x")) for _ in range(12)}
    print("address taken over", sorted(statuses), served_by("i0"))
