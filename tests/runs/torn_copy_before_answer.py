"""A target refuses a request, and begins to write that refusal once more; the
answer to the next request of the connection follows in the middle of its head.
The next caller gets its own answer, or none."""
import time
from pathfleet import (SimTarget, header_of, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)
from fleet import in_background

ID = "x-mimosapath-request"
REFUSAL = "HTTP/1.1 503 Busy\r\nx-mimosapath-not-run: 1\r\nx-via: a proxy"
runs = []


def handle_request(target, request, conn):
    name = request["headers"].get(ID, "")
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    if request["path"] == "/x/refused":
        conn.sendall((REFUSAL + "\r\n%s: %s\r\nContent-Length: 0\r\n\r\n" % (
            ID, name)).encode())
        return in_background(lambda: write_again(conn))
    runs.append(name)
    time.sleep(0.3)
    return respond(conn, request, "ran")


def write_again(conn):
    time.sleep(0.15)
    try:
        conn.sendall(REFUSAL[:cut].encode())
    except OSError:
        pass


targets = [SimTarget("t0", handle_request)]
fleet, listed = path_fleet(targets, [path_conf("/ready/"), path_conf("/x/")],
                           instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for name, cut in (("in the reason", 15), ("in a value", len(REFUSAL))):
        wrong = told = 0
        for n in range(6):
            send(fleet, "i0", "/x/refused", {ID: "a-%d-%d" % (cut, n)})
            request_id = "b-%d-%d" % (cut, n)
            data = send(fleet, "i0", "/x/next", {ID: request_id})
            is_own = status_of(data) == "200" and data.endswith(b"ran")
            is_unknown = header_of(data, "x-mimosapath-run") == "unknown"
            wrong += not is_own and not is_unknown
            told += header_of(data, "x-mimosapath-run") == "no" and \
                request_id in runs
            time.sleep(0.3)
        print("torn", name, "wrong", wrong, "told not run though it ran", told)
