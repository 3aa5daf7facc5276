"""A pool scales out by a target that is cold at first, and later becomes cold
again under the same name.  Four routers send it together no more than its
bound in any second while it is cold, but use it; all other requests are served
by the warm targets."""
import json
import threading
import time
from fleet import wait_for
from pathfleet import (LendingFleet, SimTarget, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)

ROUTERS = ["i1", "i2", "i3", "i4"]
RATE, OVERSHOOT, TOLERANCE = 4.0, 1.5, 2
BOUND = int(RATE * OVERSHOOT + TOLERANCE)
COLD_S = 4.0
# The list is read each 500 ms and passed on within 700 ms.
SPREAD_S = 1.5
arrivals = {name: [] for name in ("t0", "t1", "t2", "new")}
cold_until = [0.0]


def cold_ms():
    return max(0, int((cold_until[0] - time.monotonic()) * 1000))


class ColdTarget(SimTarget):
    """A target whose entry in the list says how long it stays cold."""

    def entry(self, leaving=False):
        return dict(super().entry(leaving),
                    cold_ms=cold_ms() if self.name == "new" else 0)


def handle_request(target, req, conn):
    if not req["path"].startswith("/call/"):
        return respond(conn, req)
    arrivals[target.name].append(time.monotonic())
    time.sleep(0.1)
    header = ("x-mimosapath-cold-ms: %d\r\n" % cold_ms()
              if target.name == "new" else "")
    respond(conn, req, extra_headers=header)


def handle_list(target, request, conn):
    respond(conn, request, json.dumps({
        "targets": [t.entry() for t in in_list], "next": None}))


targets = [ColdTarget(name, handle_request) for name in arrivals]
fleet, listed = path_fleet(
    targets[:-1], [path_conf("/ready/"), path_conf("/call/", repeat="any",
                                              attempts=2)],
    instances=5, control=1, fleet_class=LendingFleet,
    extra_pool={"cold_rate": int(RATE * 1000),
                "cold_start_ms": int(COLD_S * 1000)},
    extra_settings={"cold": {"overshoot": OVERSHOOT, "tolerance": TOLERANCE}})
in_list = targets[:-1]
listed.server.handle_request = handle_list
results = []
is_over = threading.Event()


def call_forever(name, pause_s):
    while not is_over.wait(pause_s):
        results.append(status_of(send(fleet, name, "/call/x")))


def most_in_second(times, begin, end):
    times = sorted(t for t in times if begin <= t < end)
    return max((sum(1 for u in times if t <= u < t + 1.0) for t in times),
               default=0)


def count_between(times, begin, end):
    return sum(1 for t in times if begin <= t < end)


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    print("lenders known", all(wait_for(lambda n=name: "peers=4" in open(
        fleet.path(n + ".log")).read()) for name in ROUTERS))
    callers = [threading.Thread(target=call_forever, args=(name, 0.03),
                                daemon=True) for name in ROUTERS * 3]
    for caller in callers:
        caller.start()
    time.sleep(3)
    begun = time.monotonic()
    cold_until[0] = begun + COLD_S
    in_list.append(targets[-1])
    time.sleep(COLD_S)
    first_end = cold_until[0]
    time.sleep(3)
    again = time.monotonic()
    cold_until[0] = again + COLD_S + SPREAD_S
    time.sleep(COLD_S + SPREAD_S)
    second_end = cold_until[0]
    time.sleep(1)
    is_over.set()
    for caller in callers:
        caller.join()
    new = arrivals["new"]
    print("within its bound at first",
          most_in_second(new, begun, first_end) <= BOUND)
    print("used while it is cold", count_between(
        new, begun + SPREAD_S, first_end) >=
        0.5 * RATE * (COLD_S - SPREAD_S))
    print("used more when it is warm", count_between(
        new, first_end + 1, again) >
        2 * RATE * (again - first_end - 1))
    print("within its bound when cold again",
          most_in_second(new, again + SPREAD_S, second_end) <= BOUND)
    print("used while it is cold again", count_between(
        new, again + SPREAD_S, second_end) >= 0.5 * RATE * COLD_S)
    print("all requests served", set(results) == {"200"})
