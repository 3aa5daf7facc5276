"""A draining instance completes its running requests, refuses late requests on
persistent connections as not run, and exits within stop_within_s."""
import signal
import socket
import time
from pathfleet import (EVENT, KEY, SimTarget, respond, chunks_of, end_chunks,
                       header_of, path_conf, path_fleet, read_all, send,
                       send_chunk, start_event_stream, status_of, wait_targets)


def handle_request(target, request, conn):
    if not request["path"].startswith("/long/"):
        return respond(conn, request)
    start_event_stream(conn, request)
    for number in range(20):
        send_chunk(conn, EVENT % (number, number))
        time.sleep(0.1)
    end_chunks(conn)


targets = [SimTarget("t0", handle_request)]
fleet, listed = path_fleet(
    targets, [path_conf("/ready/"), path_conf("/long/", stream=True),
              path_conf("/longer/", stream=True, timeout_ms=20000)],
    instances=1, control=1,
    extra_settings={"drain_notice_ms": 500, "stop_within_s": 6})
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    stream = send(fleet, "i0", "/long/x", wait=False)
    kept = socket.create_connection(("127.0.0.1", fleet.callers["i0"]))
    time.sleep(0.2)
    began = time.monotonic()
    fleet.processes["i0"].send_signal(signal.SIGTERM)
    time.sleep(0.15)  # signals are polled every 50 ms
    early = send(fleet, "i0", "/ready/early")
    print("early", status_of(early), header_of(early, "connection"))
    longer = send(fleet, "i0", "/longer/x")
    print("too long", status_of(longer),
          header_of(longer, "x-mimosapath-run"),
          "retry-after" if header_of(longer, "retry-after") else "")
    time.sleep(1)
    kept.sendall(("GET /ready/late HTTP/1.1\r\nhost: h.example\r\n"
                  "authorization: Bearer %s\r\n\r\n" % KEY).encode())
    late = read_all(kept)
    print("late", status_of(late), header_of(late, "x-mimosapath-run"),
          header_of(late, "connection"),
          "retry-after" if header_of(late, "retry-after") else "")
    body, end = chunks_of(read_all(stream))
    print("stream", body.count("data:"), end)
    print("exit", fleet.processes["i0"].wait(10),
          "in time", time.monotonic() - began < 6)
    print("late runs", sum(r["path"] == "/ready/late"
                           for r in targets[0].requests))
