"""An event stream may have neither a length nor chunks and end with its
connection.  One that ends inside an event, or before the first, has been broken
off: it is resumed, or it looks incomplete to the caller, who is told by an error
where no event went out."""
from pathfleet import (EVENT, SimTarget, chunks_of, path_conf, path_fleet,
                       send, status_of, wait_targets)

HEAD = ("HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n"
        "Content-Type: text/event-stream\r\n%s\r\n")
EVENTS = 4


def frame(text, is_chunked):
    return "%x\r\n%s\r\n0\r\n\r\n" % (len(text), text) if is_chunked else text


def handle_request(target, req, conn):
    first = int(req["headers"].get("last-event-id", -1)) + 1
    texts = [EVENT % (n, n) for n in range(EVENTS)]
    how, _, framing = req["headers"].get("x-how", "whole").partition("-")
    body = "".join(texts[first:])
    if first == 0 and how == "inside":
        body = texts[0] + texts[1][:-3]
    if first == 0 and how == "nothing":
        body = ""
    head = HEAD % (req["headers"].get("x-mimosapath-request", ""),
                   "Transfer-Encoding: chunked\r\n" if framing == "chunked"
                   else "")
    conn.sendall((head + frame(body, framing == "chunked")).encode())
    return False


def report(fleet, path, how):
    data = send(fleet, "i0", path, {"x-how": how,
                                    "x-mimosapath-request": path + how})
    if b"chunked" not in data.split(b"\r\n\r\n", 1)[0]:
        print(path, how, status_of(data), "not chunked")
        return
    body, end = chunks_of(data)
    print(path, how, status_of(data), end,
          "all events" if body == "".join(
              EVENT % (n, n) for n in range(EVENTS)) else repr(body))


targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2),
    path_conf("/once/", stream=True)], instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for path in ("/stream/x", "/once/x"):
        for how in ("whole", "inside", "inside-chunked", "nothing"):
            report(fleet, path, how)
