"""Each target of a pool resets one request and is healthy ever after: the pool
serves again at once, whatever its requests, and each target gets work again
within 5 s; requests that must not run twice are told truly what happened."""
import time
from pathfleet import (Target, answer, path_conf, path_fleet, send, status_of,
                       wait_targets)

BACK_S = 5


def behave(target, sent, link):
    if sent["path"].startswith("/ready/"):
        return answer(link, sent)
    target.runs = getattr(target, "runs", 0) + 1
    if target.runs == 1:
        return False
    target.served = True
    return answer(link, sent)


def play(repeat, count, instances):
    targets = [Target("t%d" % n, behave) for n in range(count)]
    fleet, _ = path_fleet(targets, [
        path_conf("/ready/", repeat="any"),
        path_conf("/x/", repeat=repeat, attempts=2)],
        instances=instances, control=1)
    with fleet:
        if not all(wait_targets(fleet, name) for name in fleet.names):
            print("not ready")
        statuses, since_failed, number, began = [], [], 0, None
        end = time.monotonic() + 20
        while time.monotonic() < end:
            name = "i%d" % (number % instances)
            status = status_of(send(fleet, name, "/x/%d" % number))
            number += 1
            if all(getattr(t, "runs", 0) for t in targets):
                began = began or time.monotonic()
                since_failed.append(status)
                if all(getattr(t, "served", False) for t in targets):
                    break
            else:
                statuses.append(status)
            time.sleep(0.02)
        back = began and time.monotonic() - began <= BACK_S
        refused = [s for s in since_failed[1:] if s != "200"]
        print(repeat, count, "targets", instances, "instances:",
              "all get work again in time", bool(back),
              "refused meanwhile", len(refused))


for repeat in ("once", "any"):
    for count in (1, 8):
        for instances in (1, 3):
            play(repeat, count, instances)
