"""A stream without a length or chunks ends with its connection: an orderly end
between two events completes it, a reset does not, also when it arrives together
with the last bytes."""
import socket
import struct
import time

from pathfleet import (EVENT, SimTarget, chunks_of, path_conf, path_fleet,
                       respond, send, status_of, wait_targets)

EVENTS = 4
ROUNDS = 20


def handle_request(target, request, conn):
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    how, _, pause_ms = request["headers"]["x-how"].partition("-")
    first = int(request["headers"].get("last-event-id", "-1")) + 1
    text = "HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n%s\r\n" % (
        request["headers"].get("x-mimosapath-request", ""),
        "Content-Type: text/event-stream\r\n")
    # All but the last two events: a reset between two of them.
    last = EVENTS if first or how == "end" else EVENTS - 2
    conn.sendall((text + "".join(EVENT % (n, n) for n in
                                 range(first, last))).encode())
    time.sleep(int(pause_ms) / 1000)
    if not first and how == "reset":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        conn.shutdown(socket.SHUT_RD)
    return False


targets = [SimTarget("t%d" % n, handle_request) for n in range(16)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/once/", stream=True),
    path_conf("/resume/", repeat="resume", stream=True, attempts=2)],
    instances=1, control=1, extra_settings={"retries": {"slack": 1000}})
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for path in ("/once/x", "/resume/x"):
        for how in ("end-0", "end-50", "reset-0", "reset-5", "reset-50"):
            seen = {}
            for number in range(ROUNDS):
                data = send(fleet, "i0", path, {
                    "x-how": how,
                    "x-mimosapath-request": "%s%s%d" % (path, how, number)})
                body, end = chunks_of(data) if status_of(data) == "200" \
                    else ("", "none")
                result = (end, body.count("id:"), body == "".join(
                    EVENT % (n, n) for n in range(body.count("id:"))))
                seen[result] = seen.get(result, 0) + 1
                time.sleep(0.02)
            print(path, how, sorted(seen.items()))
