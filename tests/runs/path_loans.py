"""Routers lend parts of budgets to each other.  While all are partitioned from
the control instance, callers move to one router that had few before, and are
served from what the others hold.  Then a lender is killed.  Delivered tokens
are billed once, and no more than the prepaid amount."""
import signal
import time
from fleet import wait_for
from pathfleet import (LendingFleet, SimTarget, respond, respond_stream,
                       request_stream, path_conf, path_fleet, wait_targets)

PREPAID, PROMPT, EVENTS, EVENT_TOKENS = 100000, 500, 8, 3
ROUTERS = ["i1", "i2", "i3", "i4"]


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    respond_stream(conn, req, EVENTS)


target = SimTarget("t", handle_request)
fleet, listed = path_fleet([target], [
    path_conf("/ready/"), path_conf("/stream/", stream=True)],
    prepaid=PREPAID, instances=5, control=1, behind_proxy=ROUTERS,
    fleet_class=LendingFleet)
delivered = {"tokens": 0, "count": 0}


def send_streams(name, count, pause_s=0.0):
    """Sends stream requests; returns how many were refused."""
    refused = 0
    for _ in range(count):
        delivered["count"] += 1
        status, tokens = request_stream(
            fleet, name, "r-%d" % delivered["count"], PROMPT, EVENTS,
            EVENT_TOKENS)
        delivered["tokens"] += tokens
        refused += status != "200"
        time.sleep(pause_s)
    return refused


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    print("lenders known", all(wait_for(lambda n=name: "peers=4" in open(
        fleet.path(n + ".log")).read()) for name in ROUTERS))
    print("refused before", sum(send_streams(ROUTERS[k % 4], 1, 0.05)
                                for k in range(40)))
    time.sleep(1.5)
    fleet.set_partitioned()
    time.sleep(3)
    print("refused while cut off", send_streams("i1", 45))
    fleet.set_partitioned(False)
    print("served after the partition",
          wait_for(lambda: send_streams("i1", 1) == 0))
    time.sleep(2)
    fleet.kill("i2", signal.SIGKILL)
    print("refused after a crash", sum(send_streams(ROUTERS[k], 2)
                                       for k in (0, 2, 3)))
    account = wait_for(lambda: (lambda a: a if a["settled_mtok"] ==
                                delivered["tokens"] * 1000 else None)(
                                    fleet.account()), 8)
    print("billed what was delivered, but for what the killed router had "
          "not told",
          bool(account) or fleet.account()["settled_mtok"] <=
          delivered["tokens"] * 1000)
    for name in ("i1", "i3", "i4"):
        print("stopped", fleet.kill(name, signal.SIGTERM))
    account = fleet.account()
    print("the killed router's part is shown", account["leased_mtok"] > 0)
    print("within the amount", account["settled_mtok"] +
          account["leased_mtok"] + account["reserved_mtok"] <=
          PREPAID * 1000)
