"""Each target of a pool resets one request and is healthy afterwards.  The
pool serves again at once, at-most-once and retryable requests alike, and each
target gets requests again within 5 s."""
import time
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)

RECOVERY_S = 5


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    target.runs = getattr(target, "runs", 0) + 1
    if target.runs == 1:
        return False
    target.served = True
    return respond(conn, req)


def run_pool(repeat, count, instances):
    targets = [SimTarget("t%d" % n, handle_request) for n in range(count)]
    fleet, _ = path_fleet(targets, [
        path_conf("/ready/", repeat="any"),
        path_conf("/x/", repeat=repeat, attempts=2)],
        instances=instances, control=1)
    with fleet:
        if not all(wait_targets(fleet, name) for name in fleet.names):
            print("not ready")
        statuses, after_all_failed, number, failed_s = [], [], 0, None
        end = time.monotonic() + 20
        while time.monotonic() < end:
            name = "i%d" % (number % instances)
            status = status_of(send(fleet, name, "/x/%d" % number))
            number += 1
            if all(getattr(t, "runs", 0) for t in targets):
                failed_s = failed_s or time.monotonic()
                after_all_failed.append(status)
                if all(getattr(t, "served", False) for t in targets):
                    break
            else:
                statuses.append(status)
            time.sleep(0.02)
        is_back = failed_s and time.monotonic() - failed_s <= RECOVERY_S
        refused = [s for s in after_all_failed[1:] if s != "200"]
        print(repeat, count, "targets", instances, "instances:",
              "all get work again in time", bool(is_back),
              "refused meanwhile", len(refused))


for repeat in ("once", "any"):
    for count in (1, 8):
        for instances in (1, 3):
            run_pool(repeat, count, instances)
