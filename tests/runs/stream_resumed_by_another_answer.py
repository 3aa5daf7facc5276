"""A stream breaks off after three events, and what the next target answers does
not go on with it.  Callers get whole events of their own stream in order, and
no stream looks complete that was not completed."""
import time

from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, header_of,
                       path_conf, path_fleet, respond, send, send_chunk,
                       start_event_stream, status_of, wait_targets)

FOREIGN = "FOREIGN text\n\ndata: FOREIGN\n\n"
EVENTS = 6


def head(request, type_line, rest=""):
    return ("HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n%s%s\r\n" % (
        request["headers"].get("x-mimosapath-request", ""), type_line, rest))


def send_open(conn, request, text, type_line="", rest=""):
    """Sends an answer that ends with its connection."""
    conn.sendall((head(request, type_line, rest) + text).encode())
    return False


def send_chunked(conn, request, texts, type_line, rest=""):
    conn.sendall(head(request, type_line, rest +
                      "Transfer-Encoding: chunked\r\n").encode())
    for text in texts:
        send_chunk(conn, text)
    end_chunks(conn)


STREAM = "Content-Type: text/event-stream\r\n"


def numbered(first, last):
    return [EVENT % (n, n) for n in range(first, last)]


# What the next target answers.
ANSWERS = {
    "text-with-length": lambda c, r: respond(c, r, FOREIGN),
    "json-chunked": lambda c, r: send_chunked(
        c, r, [FOREIGN], "Content-Type: application/json\r\n"),
    "no-type-no-length": lambda c, r: send_open(c, r, FOREIGN),
    "longer-type": lambda c, r: send_chunked(
        c, r, [FOREIGN], "Content-Type: text/event-streams\r\n"),
    "encoded": lambda c, r: send_chunked(
        c, r, numbered(3, EVENTS), STREAM, "Content-Encoding: gzip\r\n"),
    "error-404": lambda c, r: respond(c, r, FOREIGN, 404),
    "error-500": lambda c, r: respond(c, r, FOREIGN, 500),
    "from-the-start": lambda c, r: send_chunked(
        c, r, numbered(0, EVENTS), STREAM),
    "last-again": lambda c, r: send_chunked(
        c, r, numbered(2, EVENTS), STREAM),
    "steps-back": lambda c, r: send_chunked(
        c, r, numbered(3, 5) + numbered(4, EVENTS), STREAM),
    "without-ids": lambda c, r: send_chunked(
        c, r, ["data: FOREIGN\n\n"], STREAM),
    "too-long": lambda c, r: send_chunked(
        c, r, [EVENT % (3, 3), "id: 4\ndata: %s\n\n" % ("x" * 65536)], STREAM),
    "ends-inside": lambda c, r: send_chunked(
        c, r, numbered(3, 5) + ["id: 5\ndata: piece-5\n"], STREAM),
    # These go on with the stream.
    "other-case": lambda c, r: send_chunked(
        c, r, numbered(3, EVENTS),
        "Content-Type: Text/Event-Stream ; charset=utf-8\r\n"),
    "byte-order-mark": lambda c, r: send_open(
        c, r, "\ufeff" + "".join(numbered(3, EVENTS)), STREAM),
    "comment-first": lambda c, r: send_chunked(
        c, r, [": hello\n\n", "retry: 5\n\n"] + numbered(3, EVENTS), STREAM),
    "crlf": lambda c, r: send_chunked(
        c, r, [e.replace("\n", "\r\n") for e in numbered(3, EVENTS)], STREAM),
    "step-of-two": lambda c, r: send_chunked(
        c, r, [EVENT % (5, 5)], STREAM),
    "empty": lambda c, r: send_chunked(c, r, [], STREAM),
}


def handle_request(target, request, conn):
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    how = request["headers"]["x-how"]
    first = int(request["headers"].get("last-event-id", "-1")) + 1
    if how == "plain-first":
        return respond(conn, request, FOREIGN + "rest")
    if how == "plain-first-cut":
        conn.sendall((head(request, "", "Content-Length: 99\r\n") +
                      FOREIGN).encode())
        return False
    if how == "encoded-first":
        return send_chunked(conn, request, [FOREIGN + "rest"], STREAM,
                            "Content-Encoding: gzip\r\n")
    if first == 0 and how == "unnumbered":
        start_event_stream(conn, request)
        send_chunk(conn, "data: piece-0\n\n")
        send_chunk(conn, "data: pie")
        return False
    if first == 0 and how == "unordered":
        start_event_stream(conn, request)
        for number in (0, 2, 1):
            send_chunk(conn, EVENT % (number, number))
        return False
    if first == 0 and how == "comment-last":
        start_event_stream(conn, request)
        for event in numbered(0, 2) + [": wait\n\n", ": wai"]:
            send_chunk(conn, event)
        return False
    if request["method"] == "HEAD":
        conn.sendall(head(request, STREAM).encode())
        return False
    if first == 0 and how not in seen:
        seen.add(how)
        start_event_stream(conn, request)
        for event in numbered(0, 3):
            send_chunk(conn, event)
        send_chunk(conn, "id: 3\nda")
        return False
    key = how + request["path"]
    if key not in seen and how in ANSWERS:
        seen.add(key)
        return ANSWERS[how](conn, request)
    send_chunked(conn, request, numbered(first, EVENTS), STREAM)


def pieces_of(body):
    """Returns the numbers of the events, or the body if there is anything
    else in it."""
    lines = body.replace("\r\n", "\n")
    count = lines.count("id: ")
    return ("%d events" % count if lines == "".join(numbered(0, count))
            else repr(body))


def report(how, path):
    seen.discard(how)
    time.sleep(0.2)  # failed targets are ejected for a while
    data = send(fleet, "i0", path, {"x-how": how,
                                    "x-mimosapath-request": how + path})
    if header_of(data, "content-length"):
        body = data.split(b"\r\n\r\n", 1)[1].decode()
        print(how, path, status_of(data), "length",
              header_of(data, "content-length"), repr(body))
        return
    body, end = chunks_of(data)
    print(how, path, status_of(data), end, pieces_of(body))


seen = set()
targets = [SimTarget("t%d" % n, handle_request) for n in range(24)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"),
    path_conf("/two/", repeat="resume", stream=True, attempts=2),
    path_conf("/three/", repeat="resume", stream=True, attempts=3)],
    instances=1, control=1, extra_settings={"retries": {"slack": 1000}})
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for how in ANSWERS:
        report(how, "/two/x")
        report(how, "/three/x")
    for how in ("plain-first", "plain-first-cut", "encoded-first",
                "unnumbered", "unordered", "comment-last"):
        report(how, "/three/x")
    data = send(fleet, "i0", "/three/x", {"x-how": "head",
                                          "x-mimosapath-request": "head"},
                method="HEAD")
    print("head", status_of(data), header_of(data, "content-type"),
          data.split(b"\r\n\r\n", 1)[1])
    runs = {}
    for target in targets:
        for request in target.requests:
            if request["path"] == "/two/x":
                how = request["headers"]["x-how"]
                runs[how] = runs.get(how, 0) + 1
    print("more runs than allowed",
          sorted(h for h, count in runs.items() if count > 2))
