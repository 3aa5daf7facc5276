"""Streams on paths are forwarded event by event.  A stream that breaks off
never looks complete and is not malformed.  A resumable stream continues at
another target, without a gap or a repeated event."""
import time
from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, respond,
                       path_conf, path_fleet, send, send_chunk,
                       start_event_stream, status_of, wait_targets)


def handle_request(target, request, conn):
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    first = int(request["headers"].get("last-event-id", "-1")) + 1
    start_event_stream(conn, request)
    for number in range(first, 6):
        if request["path"].startswith(("/cut/", "/resume/")) and \
                number == 3 and first == 0:
            send_chunk(conn, (EVENT % (number, number))[:9])
            return False
        send_chunk(conn, EVENT % (number, number))
        time.sleep(0.01)
    end_chunks(conn)


targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/whole/", stream=True),
    path_conf("/cut/", stream=True),
    path_conf("/resume/", repeat="resume", stream=True, attempts=2)],
    instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for path in ("/whole/x", "/cut/x", "/resume/x"):
        time.sleep(0.6)  # the failed target is ejected for a while
        data = send(fleet, "i0", path)
        body, end = chunks_of(data)
        pieces = [line[len("data: piece-"):] for line in body.splitlines()
                  if line.startswith("data:")]
        print(path, status_of(data), "pieces", " ".join(pieces), end)
    runs = [r["headers"].get("last-event-id") for t in targets
            for r in t.requests if r["path"] == "/resume/x"]
    print("resumed after", sorted(str(r) for r in runs))
