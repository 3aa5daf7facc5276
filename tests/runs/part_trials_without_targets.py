"""A part of a prompt crashes all targets.  While they are down, requests that
share another part with it cannot be sent.  That says nothing of that part:
once the targets are back, the requests are answered."""
import itertools
import time
from fleet import wait_for
from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, path_conf,
                       path_fleet, respond, send, send_chunk,
                       start_event_stream, status_of, wait_targets)

CRASHING, DOWN_S = "dead:9", 2
counter = itertools.count()


def handle_request(target, req, conn):
    if req["path"].startswith("/plain/"):
        return respond(conn, req)
    start_event_stream(conn, req)
    if CRASHING in req["headers"].get("x-mimosapath-parts", ""):
        time.sleep(0.05)
        target.crash(down_s=DOWN_S)
        return False
    for event in range(3):
        send_chunk(conn, EVENT % (event, event))
    end_chunks(conn)


def ask(parts):
    """Sends a request; returns whether it was answered in full."""
    number = next(counter)
    data = send(fleet, "i%d" % (number % 3), "/stream/x", {
        "x-mimosapath-request": "r%d" % number,
        "x-mimosapath-parts": "%s,own%d:50" % (parts, number)},
        "body %d" % number)
    return status_of(data) == "200" and chunks_of(data)[1] == "whole"


targets = [SimTarget("t%d" % n, handle_request) for n in range(2)]
fleet, listed = path_fleet(targets, [
    path_conf("/plain/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
    instances=3, control=3)
with fleet:
    print("ready", all(wait_targets(fleet, n, "/plain/") for n in fleet.names))
    print("answered before", all([ask("sys:100,topic:20") for _ in range(3)]))
    time.sleep(1)
    while sum(target.crash_count for target in targets) < 2:
        ask("sys:100,%s" % CRASHING)
    end = time.monotonic() + DOWN_S - 0.5
    answers = []
    while time.monotonic() < end:
        answers.append(ask("sys:100,topic:20"))
        time.sleep(0.05)
    print("answered while all are down", sum(answers))
    print("back", wait_for(lambda: all(wait_targets(fleet, n, "/plain/")
                                       for n in fleet.names)))
    print("answered afterwards",
          wait_for(lambda: ask("sys:100,topic:20"), 8, 0.1))
    print("all of them", sum(ask("sys:100,topic:20") for _ in range(12)))
