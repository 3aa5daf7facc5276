"""Routers lend parts of budgets to each other: cut off from the control
instance, callers come to one router that had few before, and are served from
what the others hold; then one of these is killed.  What was delivered is
billed once, and no more than the amount is."""
import signal
import time
from fleet import wait_for
from pathfleet import (LendingFleet, Target, answer, answer_stream, ask_stream,
                       path_conf, path_fleet, wait_targets)

PREPAID, PROMPT, EVENTS, EVENT_TOKENS = 100000, 500, 8, 3
ROUTERS = ["i1", "i2", "i3", "i4"]


def behave(target, sent, link):
    if sent["path"].startswith("/ready/"):
        return answer(link, sent)
    answer_stream(link, sent, EVENTS)


target = Target("t", behave)
fleet, listed = path_fleet([target], [
    path_conf("/ready/"), path_conf("/stream/", stream=True)],
    prepaid=PREPAID, instances=5, control=1, behind_relay=ROUTERS,
    kind=LendingFleet)
delivered = {"tokens": 0, "count": 0}


def ask(name, count, pause_s=0.0):
    """Sends requests; returns how many were refused."""
    refused = 0
    for _ in range(count):
        delivered["count"] += 1
        status, tokens = ask_stream(fleet, name, "r-%d" % delivered["count"],
                                    PROMPT, EVENTS, EVENT_TOKENS)
        delivered["tokens"] += tokens
        refused += status != "200"
        time.sleep(pause_s)
    return refused


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    print("lenders known", all(wait_for(lambda n=name: "peers=4" in open(
        fleet.path(n + ".log")).read()) for name in ROUTERS))
    print("refused before", sum(ask(ROUTERS[k % 4], 1, 0.05)
                                for k in range(40)))
    time.sleep(1.5)
    fleet.cut()
    time.sleep(3)
    print("refused while cut off", ask("i1", 45))
    fleet.cut(False)
    print("in touch again", wait_for(lambda: ask("i1", 1) == 0))
    time.sleep(2)
    fleet.kill("i2", signal.SIGKILL)
    print("refused after a death", sum(ask(ROUTERS[k], 2) for k in (0, 2, 3)))
    account = wait_for(lambda: (lambda a: a if a["settled_mtok"] ==
                                delivered["tokens"] * 1000 else None)(
                                    fleet.account()), 8)
    print("billed what was delivered, but for what the dead one had not told",
          bool(account) or fleet.account()["settled_mtok"] <=
          delivered["tokens"] * 1000)
    for name in ("i1", "i3", "i4"):
        print("stopped", fleet.kill(name, signal.SIGTERM))
    account = fleet.account()
    print("the dead one's part is shown", account["leased_mtok"] > 0)
    print("within the amount", account["settled_mtok"] +
          account["leased_mtok"] + account["reserved_mtok"] <=
          PREPAID * 1000)
