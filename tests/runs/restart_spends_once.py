"""An instance with a data folder is killed repeatedly, right after it has
delivered.  What its former incarnations held of a prepaid amount stays
counted, so that no more than the amount is delivered."""
import signal
from pathfleet import (SimTarget, respond, respond_stream, request_stream,
                       path_conf, path_fleet, wait_targets)

PREPAID, PROMPT, EVENTS, EVENT_TOKENS = 4000, 50, 8, 3


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    respond_stream(conn, req, EVENTS)


target = SimTarget("t", handle_request)
fleet, listed = path_fleet([target], [
    path_conf("/ready/"), path_conf("/stream/", stream=True)],
    prepaid=PREPAID, instances=1, control=1)
with fleet:
    delivered = 0
    for incarnation in range(8):
        if not wait_targets(fleet, "i0"):
            print("not ready")
        for number in range(12):
            delivered += request_stream(
                fleet, "i0", "r-%d-%d" % (incarnation, number), PROMPT,
                EVENTS, EVENT_TOKENS)[1]
        fleet.kill("i0", signal.SIGKILL)
        fleet.start("i0")
        fleet.wait_ready()
    print("some delivered", delivered > 0)
    print("no more than the amount", delivered <= PREPAID)
