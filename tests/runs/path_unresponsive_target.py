"""A target stops responding.  A retryable request continues at another target,
without a gap.  An at-most-once request waits until its deadline and gets an
unknown outcome."""
import time
from pathfleet import (EVENT, SimTarget, respond, chunks_of, end_chunks,
                       path_conf, path_fleet, send, send_chunk,
                       start_event_stream, status_of, wait_targets)


def handle_request(target, request, conn):
    path = request["path"]
    if path.startswith("/ready/"):
        return respond(conn, request)
    is_first = not any(path == r["path"] for t in targets
                       for r in t.requests if r is not request)
    if not path.startswith("/stream/"):
        if is_first:
            time.sleep(20)
        return respond(conn, request)
    start = int(request["headers"].get("last-event-id", "-1")) + 1
    start_event_stream(conn, request)
    for number in range(start, 6):
        if is_first and number == 3:
            time.sleep(20)
        send_chunk(conn, EVENT % (number, number))
    end_chunks(conn)


targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
stream = path_conf("/stream/", repeat="resume", stream=True, attempts=2)
stream["event_gap_ms"] = 200
again = path_conf("/any/", repeat="any", attempts=2)
again["latency_target_ms"] = 200
once = path_conf("/once/", timeout_ms=1500)
once["latency_target_ms"] = 200
fleet, listed = path_fleet(targets, [path_conf("/ready/"), stream, again,
                                     once], instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    data = send(fleet, "i0", "/stream/x")
    body, end = chunks_of(data)
    print("stream", [line[len("data: piece-"):] for line in body.splitlines()
                     if line.startswith("data:")], end)
    print("again", status_of(send(fleet, "i0", "/any/x")))
    began = time.monotonic()
    print("once", status_of(send(fleet, "i0", "/once/x")),
          "at its deadline", 1.4 < time.monotonic() - began < 3)
    print("runs", [sum(r["path"] == p for t in targets for r in t.requests)
                   for p in ("/stream/x", "/any/x", "/once/x")])
