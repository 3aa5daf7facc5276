"""Odd heads of the targets of services: each costs its own answer, and the
process goes on; no answer that was cut looks complete."""
from fleet import wait_for
from pathfleet import (ServiceFleet, relay_fleet, respond, send, serve_status,
                       status_of, wait_for_service, wait_targets)

# What follows the status line and the id.
HEADS = {
    "folded": "X-A: a\r\n b\r\nContent-Length: 5\r\n\r\nhello",
    "folded-length": "Content-Length: 1\r\n 0\r\n\r\nhello",
    "folded-type": "Content-Type: a/b;\r\n c=d\r\nContent-Length: 5\r\n\r\n"
                   "hello",
    "encoding-gzip": "Transfer-Encoding: gzip\r\n\r\nhello",
    "encoding-list": "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n"
                     "0\r\n\r\n",
    "encoding-identity": "Transfer-Encoding: identity\r\n\r\nhello",
    "encoding-empty": "Transfer-Encoding:\r\n\r\nhello",
    "length-negative": "Content-Length: -5\r\n\r\nhello",
    "length-list": "Content-Length: 5, 5\r\n\r\nhello",
    "length-empty": "Content-Length:\r\n\r\nhello",
    "length-text": "Content-Length: five\r\n\r\nhello",
    "length-too-large": "Content-Length: 18446744073709551615\r\n\r\nhello",
    "chunk-too-large": "Transfer-Encoding: chunked\r\n\r\n"
                       "ffffffffffffffff\r\nhello\r\n0\r\n\r\n",
    "nul": "X-A: a\0b\r\nContent-Length: 5\r\n\r\nhello",
    "no-name": ": a\r\nContent-Length: 5\r\n\r\nhello",
    "long": "X-A: %s\r\nContent-Length: 5\r\n\r\nhello" % ("a" * 100000),
}
STATUSES = ["0", "42", "99", "101", "1000", "-1", "2"]

odd_status = None  # name of the head of answers to polls
polls = 0


def write(conn, status, rest):
    conn.sendall(("HTTP/1.1 %s X\r\n%s" % (status, rest)).encode())
    return False


def handle_request(target, req, conn):
    kind, _, name = req["path"].strip("/").rpartition("/")
    if kind.endswith("head"):
        return write(conn, 200, HEADS[name])
    if kind.endswith("status"):
        return write(conn, STATUSES[int(name)],
                     "Content-Length: 5\r\n\r\nhello")
    return respond(conn, req)


def answer_poll(target, req, conn):
    global polls
    if odd_status and req["path"].startswith("/status"):
        polls += 1
        target.requests.pop()
        return write(conn, 200, HEADS[odd_status])
    return serve_status(handle_request)(target, req, conn)


def ask(path):
    try:
        data = send(fleet, "i0", "/services/raw/x/" + path)
    except OSError:
        return "no process"
    return "%s %s" % (status_of(data), data.endswith(b"\r\n\r\nhello"))


def is_served():
    return bool(wait_for(lambda: ask("ok").startswith("200"), 10))


fleet, _ = relay_fleet(handle_request)
ServiceFleet.service_target.handle_request = answer_poll
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for name in HEADS:
        print("head", name, ask("head/" + name), "then", is_served())
    for number, status in enumerate(STATUSES):
        print("status", status, ask("status/%d" % number), "then",
              is_served())
    for odd_status in HEADS:
        polls = 0
        seen = wait_for(lambda: polls > 1, 3)
        print("poll", odd_status, bool(seen), "then", is_served())
