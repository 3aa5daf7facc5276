"""Targets name a rate limit in their answers.  Four routers, one of which is
killed and restarted, send them together no more than that in any 4 s, and use
nine tenths of it while requests are refused.  The limit ends with the first
answer that does not name it."""
import signal
import threading
import time
from fleet import wait_for
from pathfleet import (LendingFleet, SimTarget, header_of, path_conf,
                       path_fleet, respond, send, status_of, wait_targets)

ROUTERS = ["i1", "i2", "i3", "i4"]
LIMITS = {"t0": 4.0, "t1": 2.5}
WINDOW_S, SETTLE_S = 4.0, 3.0
is_limited = threading.Event()
arrivals = {"t0": [], "t1": []}


def handle_request(target, req, conn):
    if not req["path"].startswith("/call/"):
        return respond(conn, req)
    arrivals[target.name].append(time.monotonic())
    header = ("x-mimosapath-limit: %g\r\n" % LIMITS[target.name]
              if is_limited.is_set() else "")
    respond(conn, req, extra_headers=header)


targets = [SimTarget(name, handle_request) for name in LIMITS]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/call/", repeat="any", attempts=2)],
    instances=5, control=1, fleet_class=LendingFleet)
refused, served, cut = [], [], []
is_over = threading.Event()


def call_forever(name, pause_s):
    while not is_over.wait(pause_s):
        try:
            data = send(fleet, name, "/call/x")
        except OSError:
            continue  # the router is down
        sent = time.monotonic()
        if status_of(data) == "200":
            served.append(sent)
        elif status_of(data) == "none":
            cut.append((sent, name))
        else:
            refused.append((sent, status_of(data),
                            header_of(data, "retry-after")))


def most_in_window(times, begin, end):
    times = [t for t in times if begin <= t < end]
    return max((sum(1 for u in times if t <= u < t + WINDOW_S)
                for t in times), default=0)


def count_between(times, begin, end):
    return sum(1 for t in times if begin <= t < end)


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    print("lenders known", all(wait_for(lambda n=name: "peers=4" in open(
        fleet.path(n + ".log")).read()) for name in ROUTERS))
    callers = [threading.Thread(target=call_forever, args=(name, 0.09),
                                daemon=True) for name in ROUTERS]
    for caller in callers:
        caller.start()
    time.sleep(2)
    is_limited.set()
    named = time.monotonic()
    time.sleep(SETTLE_S + 12)
    steady_end = time.monotonic()
    fleet.kill("i2", signal.SIGKILL)
    time.sleep(0.5)
    fleet.start("i2")
    time.sleep(7)
    end = time.monotonic()
    is_limited.clear()
    time.sleep(4)
    is_over.set()
    for caller in callers:
        caller.join()
    for name, limit in LIMITS.items():
        print(name, "within its limit", most_in_window(
            arrivals[name], named + SETTLE_S, end) <= limit * WINDOW_S)
        print(name, "limit is used", count_between(
            arrivals[name], named + SETTLE_S, steady_end) >=
            0.9 * limit * (steady_end - named - SETTLE_S))
    late = [r for r in refused if named + SETTLE_S <= r[0] < end]
    print("refusals say that nothing has run",
          {status for _, status, _ in late} <= {"429", "503"})
    print("and when to come back", all(r[2] for r in late))
    print("only the killed router cuts answers off",
          all(name == "i2" and abs(at - steady_end) < 0.5
              for at, name in cut))
    after = [t for t in served if t >= end + 1.5]
    print("no limit afterwards", len(after) > 2 * sum(LIMITS.values()) * 2.5)
