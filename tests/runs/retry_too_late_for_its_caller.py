"""A target ends an attempt, by a close or a refusal, when the caller's time is
nearly over.  No event of another attempt would reach the caller in time, so it
gets its final answer at once, and no target gets the request again."""
import time

from pathfleet import (SimTarget, header_of, path_conf, path_fleet,
                       respond, send, start_event_stream, send_chunk,
                       end_chunks, status_of, wait_targets)

TIMEOUT_MS = 2000
seen = []


def handle_request(target, req, conn):
    name = req["path"]
    if name.startswith("/ready/"):
        respond(conn, req)
        return True
    seen.append(name)
    if seen.count(name) > 1:
        start_event_stream(conn, req)
        send_chunk(conn, "id: 0\ndata: piece-0\n\n")
        end_chunks(conn)
        return True
    _, _, how, wait_ms = name.split("/")
    time.sleep(int(wait_ms) / 1000)
    if how == "refused":
        respond(conn, req, "later", 503, "X-Mimosapath-Not-Run: 1\r\n")
        return True
    return False


def stream_conf(prefix):
    conf = path_conf(prefix, repeat="resume", stream=True, attempts=2,
                     timeout_ms=TIMEOUT_MS)
    return dict(conf, latency_target_ms=1000, event_gap_ms=500)


targets = [SimTarget("t%d" % n, handle_request) for n in range(2)]
fleet, listed = path_fleet(targets, [path_conf("/ready/"),
                                     stream_conf("/stream/")],
                           instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for how in ("closed", "refused"):
        for wait_ms in (100, 1700):
            path = "/stream/%s/%d" % (how, wait_ms)
            answer = send(fleet, "i0", path, body="{}")
            print(how, wait_ms, "status", status_of(answer), "run",
                  header_of(answer, "x-mimosapath-run"), "retry-after",
                  header_of(answer, "retry-after") is not None, "sends",
                  seen.count(path))
