"""A caller takes a stream up after its third event, and the target answers from
the start, from that event, or without ids.  The caller gets no event again, and
another target goes on where attempts allow."""
from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, path_conf,
                       path_fleet, respond, send, send_chunk,
                       start_event_stream, wait_targets)

EVENTS = 6


def handle_request(target, request, conn):
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    how = request["headers"]["x-how"]
    first = int(request["headers"].get("last-event-id", "-1")) + 1
    key = how + request["path"]
    is_first = key not in seen
    seen.add(key)
    start_event_stream(conn, request)
    if is_first and how == "without-ids":
        send_chunk(conn, "data: piece-3\n\n")
    else:
        start = {"from-the-start": 0, "last-again": 2}.get(how, first)
        for n in range(start if is_first else first, EVENTS):
            send_chunk(conn, EVENT % (n, n))
    end_chunks(conn)


seen = set()
targets = [SimTarget("t%d" % n, handle_request) for n in range(8)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"),
    path_conf("/one/", repeat="resume", stream=True, attempts=1),
    path_conf("/two/", repeat="resume", stream=True, attempts=2),
    path_conf("/once/", stream=True)],
    instances=1, control=1, extra_settings={"retries": {"slack": 1000}})
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for how in ("sound", "from-the-start", "last-again", "without-ids"):
        for path in ("/one/x", "/two/x", "/once/x"):
            data = send(fleet, "i0", path, {
                "x-how": how, "last-event-id": "2",
                "x-mimosapath-request": how + path})
            # Without events, the connection may close before the head.
            body, end = chunks_of(data) if data else ("", "cut")
            print(how, path, end, [event.split("\n")[0] for event in
                                   body.split("\n\n") if event])
