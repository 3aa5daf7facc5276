"""A large odd entry of the target list, of many small objects whose brackets do
not match: requests are answered within their latency target meanwhile."""
import json
import time
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

ENTRY_BYTES = 4000000
LATENCY_TARGET_S = 0.5
READS = 4

target = SimTarget("t0", lambda t, req, conn: respond(conn, req))
unit = ',{"x":[%s]}' % ",".join(['{"y":[{"z":1}]}'] * 1000)
odd = '{"x":[' + unit * (ENTRY_BYTES // len(unit))
entries = [json.dumps(target.entry())]
reads = 0


def list_handler(_, req, conn):
    global reads
    reads += len(entries) > 1
    respond(conn, req, page)


def make_page():
    return '{"targets":[%s],"next":null}' % ",".join(entries)


page = make_page()
fleet, _ = path_fleet([target], [path_conf("/x/")], instances=1, control=1,
                      list_handler=list_handler)
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    entries.append(odd)
    page = make_page()
    worst, statuses = 0, set()
    end = time.monotonic() + 20
    while reads < READS and time.monotonic() < end:
        start = time.monotonic()
        statuses.add(status_of(send(fleet, "i0", "/x/", timeout=30)))
        worst = max(worst, time.monotonic() - start)
        time.sleep(0.01)
    print("reads", reads, "statuses", sorted(statuses), "within the target",
          worst <= LATENCY_TARGET_S)
    if worst > LATENCY_TARGET_S:
        print("longest %.2f s" % worst)
