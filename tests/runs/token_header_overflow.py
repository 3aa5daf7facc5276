"""A caller that names more tokens than an amount can hold is refused: its sum
does not overflow, the budget stays as it was, and the instance lives."""
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

MOST = 2 ** 63 - 1
CASES = ("%d,%d" % (MOST, MOST), "%d,1" % MOST, "0,%d" % MOST,
         "%d,0" % (2 ** 62), "9300000000000000,0", "%d,0" % (10 ** 13),
         "%d,5" % (10 ** 12 + 1), "9" * 40 + ",1")


def handle_request(target, request, conn):
    respond(conn, request)


targets = [SimTarget("t0", handle_request)]
fleet, _ = path_fleet(targets, [path_conf("/ready/"), path_conf("/x/")],
                      prepaid=1000, instances=1, control=1)


def status(tokens):
    return status_of(send(fleet, "i0", "/x/1",
                          {"x-mimosapath-tokens": tokens}))


with fleet:
    print("ready", wait_targets(fleet, "i0"))
    print("within the budget", status("10,0"))
    print("above the budget", status("10000,0"))
    for case in CASES:
        print(case, status(case))
    part = "ab:%d" % MOST
    print("parts", status_of(send(fleet, "i0", "/x/1", {
        "x-mimosapath-tokens": "1,0",
        "x-mimosapath-parts": ",".join([part] * 200)})))
    print("above the budget", status("10000,0"))
    print("alive", fleet.processes["i0"].poll() is None)
