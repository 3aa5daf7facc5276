"""An event stream may announce its length.  When it breaks off and another
target goes on with it in more bytes, it arrives whole, and so does the next
response on the caller's connection."""
from pathfleet import (EVENT, KeptCaller, ReadError, SimTarget, path_conf,
                       path_fleet, respond, wait_targets)

EVENTS = [EVENT % (n, n) for n in range(4)]


def handle_request(target, req, conn):
    if req["path"] != "/stream/x":
        return respond(conn, req, "next")
    first = int(req["headers"].get("last-event-id", -1)) + 1
    texts = EVENTS[first:]
    if first > 0:
        texts = [": another target\n" + text for text in texts]
    body = "".join(texts)
    if first == 0:
        conn.sendall(head_of(req, len(body)) + "".join(texts[:2]).encode())
    else:
        conn.sendall(head_of(req, len(body)) + body.encode())
    return False


def head_of(req, size):
    return ("HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\nConnection: close"
            "\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
            % (req["headers"].get("x-mimosapath-request", ""), size)).encode()


targets = [SimTarget("t%d" % n, handle_request) for n in range(2)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
    instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    caller = KeptCaller(fleet.callers["i0"])
    try:
        caller.send("POST", "/stream/x", body="{}")
        stream = caller.read().body.decode().split("\n")
        print("events", [line for line in stream if line.startswith("id:")])
        caller.send("POST", "/ready/x", body="{}")
        print(caller.read().body, caller.left_over())
    except ReadError as error:
        print(error)
