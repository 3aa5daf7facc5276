"""Targets leave data on kept connections: an answer without an id where others
have one, and a second copy of an answer to HEAD, whose length is that of no
body.  None of it reaches a caller, nor spoils the next answer; an answer that
is not certain counts as unknown."""
import collections
import time

from fleet import in_background
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

REQUESTS = 12


def answer_without_id(conn, status, text):
    conn.sendall(("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (
        status, len(text), text)).encode())


def send_late(work):
    def wait():
        time.sleep(0.002)
        try:
            work()
        except OSError:
            pass  # the instance has closed the connection
    in_background(wait)


def answer_head(request, conn):
    conn.sendall(("HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n"
                  "Content-Length: 9\r\n\r\n" % request["headers"].get(
                      "x-mimosapath-request", "")).encode())


def play(kind, leave):
    runs = collections.Counter()

    def handle(target, request, conn):
        path = request["path"]
        runs[path] += 1
        if path.startswith("/x/leave"):
            leave(request, conn)
            return
        time.sleep(0.01)
        respond(conn, request, path)

    target = SimTarget("t0", handle)
    fleet, _ = path_fleet([target], [
        path_conf("/ready/"), path_conf("/x/", timeout_ms=1000)],
        instances=1, control=1)
    number = iter(range(10**6))

    def call(path, method="POST"):
        return send(fleet, "i0", path, {
            "x-mimosapath-request": "id-%d" % next(number)}, method=method)

    with fleet:
        wait_targets(fleet, "i0")
        # The first one comes over a connection that is kept.
        data = call("/x/leave", kind)
        before = target.connection_count
        print("left over, first", status_of(data), b'"unknown"' in data)
        own = foreign = 0
        for n in range(REQUESTS):
            call("/x/leave%d" % n, kind)
            path = "/x/own%d" % n
            data = call(path)
            own += data.endswith(b"\r\n\r\n" + path.encode())
            foreign += b"left over" in data
        print("next own", own, "of another", foreign, "run more than once",
              sum(n > 1 for p, n in runs.items() if p.startswith("/x/")),
              "over new connections", target.connection_count > before)
    target.stop()


print("answers without an id")
play("POST", lambda request, conn: answer_without_id(conn, 500, "left over"))
print("answers to HEAD, twice")
play("HEAD", lambda request, conn: (
    answer_head(request, conn),
    send_late(lambda: answer_head(request, conn))))
print("an answer without an id after each")
play("POST", lambda request, conn: (
    respond(conn, request, "its own"),
    send_late(lambda: answer_without_id(conn, 200, "left over"))))
