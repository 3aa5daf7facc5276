"""The target list: one instance reads it for all; a faulty entry names
nothing; a leaving target gets nothing new; a list that cannot be had, or
read, leaves the last one in force; an address that another target has taken
over gets nothing meant for the first."""
import time
from fleet import wait_for
from pathfleet import (Target, answer, path_conf, path_fleet, send,
                       status_of, wait_targets)


def behave(target, request, link):
    wanted = request["headers"].get("x-mimosapath-incarnation")
    if wanted != target.name:
        return answer(link, request, status=421)
    answer(link, request, target.name)


targets = [Target("t%d" % n, behave) for n in range(3)]
fleet, listed = path_fleet(targets, [path_conf("/ready/")], instances=3,
                           control=1)
with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    before = len(listed.server.requests)
    time.sleep(3)
    reads = len(listed.server.requests) - before
    print("one reader", 1 <= reads <= 12)

    def served_by(name):
        """Targets that serve 12 requests of an instance."""
        return sorted({send(fleet, name, "/ready/x").split(b"\r\n\r\n")[1]
                       .decode() for _ in range(12)})

    listed.entries[0]["leaving"] = True
    listed.entries.append({"incarnation": "broken", "pool": "p"})
    listed.entries.append("no entry")
    print("left", all(wait_for(lambda n=n: "t0" not in served_by(n), 5)
                      for n in fleet.names))
    listed.entries = "unreadable"
    time.sleep(1)
    print("list unreadable", [served_by(n) == ["t1", "t2"]
                              for n in fleet.names])
    listed.server.stop()
    time.sleep(1)
    print("list gone", [served_by(n) == ["t1", "t2"] for n in fleet.names])
    targets[1].name = "t9"
    statuses = {status_of(send(fleet, "i0", "/ready/x")) for _ in range(12)}
    print("address taken over", sorted(statuses), served_by("i0"))
