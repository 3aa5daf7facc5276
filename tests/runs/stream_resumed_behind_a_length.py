"""A stream with a content length breaks off, and another target goes on with
it in other bytes: comments, other line ends.  The answer does not end early,
and no byte of it counts for the next answer on that connection."""
import re
import socket

from fleet import KEY
from pathfleet import (EVENT, SimTarget, path_conf, path_fleet, respond,
                       send_chunk, end_chunks, start_event_stream,
                       wait_targets)

EVENTS = 6
whole = "".join(EVENT % (n, n) for n in range(EVENTS))


def handle_request(target, request, conn):
    if not request["path"].startswith("/stream/"):
        return respond(conn, request, "second")
    first = int(request["headers"].get("last-event-id", "-1")) + 1
    how = request["headers"]["x-how"]
    if first == 0:
        conn.sendall(("HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Content-Length: %d\r\n\r\n" % (
                          request["headers"].get("x-mimosapath-request", ""),
                          len(whole))).encode())
        body = whole if how == "unbroken" else "".join(
            EVENT % (n, n) for n in range(3))
        conn.sendall(body.encode())
        return None if how == "unbroken" else False
    start_event_stream(conn, request)
    for n in range(first, EVENTS - (how == "shorter")):
        event = EVENT % (n, n)
        send_chunk(conn, event.replace("\n", "\r\n") if how == "longer"
                   else event)
    end_chunks(conn)


def read_answer(source):
    """Reads one answer; returns its status and body, or why there is none."""
    line = source.readline()
    if not re.match(rb"HTTP/1.1 \d+ ", line):
        return "no answer: %r" % line
    size = None
    while True:
        header = source.readline().strip().lower()
        if not header:
            break
        if header.startswith(b"content-length:"):
            size = int(header.split(b":")[1])
    body = b""
    if size is not None:
        body = source.read(size)
        if len(body) < size:
            return "%d of %d bytes" % (len(body), size)
    while size is None:
        length = int(source.readline(), 16)
        body += source.read(length)
        source.readline()
        if length == 0:
            break
    return body.decode().replace("\r\n", "\n")


def name_of(answer):
    events = answer.count("id: ")
    return "%d events" % events if events and answer == "".join(
        EVENT % (n, n) for n in range(events)) else repr(answer)


targets = [SimTarget("t%d" % n, handle_request) for n in range(8)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
    instances=1, control=1, extra_settings={"retries": {"slack": 1000}})
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for how in ("unbroken", "same", "longer", "shorter"):
        conn = socket.create_connection(
            ("127.0.0.1", fleet.callers["i0"]), 3)
        source = conn.makefile("rb")
        answers = []
        try:
            for path in ("/stream/x", "/ready/x"):
                conn.sendall(("GET %s HTTP/1.1\r\nhost: h.example\r\n"
                              "authorization: Bearer %s\r\nx-how: %s\r\n"
                              "x-mimosapath-request: %s\r\n\r\n" % (
                                  path, KEY, how, how + path)).encode())
                answers.append(name_of(read_answer(source)))
        except OSError as error:
            answers.append(type(error).__name__)
        print(how, answers)
        conn.close()
