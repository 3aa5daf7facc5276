"""A target accepts a number of connections from all instances together: after
a burst an instance keeps no more idle ones than its share of that number."""
import threading
import time

from fleet import wait_for
from pathfleet import (SimTarget, path_conf, path_fleet,
                       respond, send, status_of, wait_targets)

BURST = 8


def play(name, max_connections, instances):
    held = threading.Barrier(BURST, timeout=5)

    def handle_request(target, request, conn):
        if request["path"].endswith("/burst"):
            held.wait()
        respond(conn, request, extra_headers="Keep-Alive: timeout=30\r\n")

    target = SimTarget("t", handle_request)
    target.slots = BURST
    pools = {"p": {"connections_most": max_connections,
                   "engine": {"slots": BURST}}}
    fleet, _ = path_fleet([target], [path_conf("/x/", "any")],
                          instances=instances, control=1)
    fleet_document = fleet.extra_document
    fleet_document["pools"] = pools
    with fleet:
        base = fleet.status("i0")["document_version"]
        fleet.put_document(fleet.document(), base, "s")
        wait_for(lambda: all(fleet.status(n)["document_version"] == base + 1
                             for n in fleet.names))
        time.sleep(1)
        print(name, "ready", wait_targets(fleet, "i0", "/x/"))
        statuses = []
        threads = [threading.Thread(target=lambda: statuses.append(
            status_of(send(fleet, "i0", "/x/burst")))) for _ in range(BURST)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(0.3)
        before = target.connection_count
        # Idle connections are used again, so a second burst opens only what
        # was not kept.
        statuses.clear()
        threads = [threading.Thread(target=lambda: statuses.append(
            status_of(send(fleet, "i0", "/x/burst")))) for _ in range(BURST)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print(name, "answered", sorted(set(statuses)), len(statuses),
              "kept of %d:" % BURST,
              BURST - (target.connection_count - before))


play("alone", 100, 1)
play("few connections", 4, 1)
play("two instances", 4, 2)
