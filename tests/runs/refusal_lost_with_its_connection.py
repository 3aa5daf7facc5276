"""A refusal whose connection is closed while more of the caller's bytes arrive
is lost, as the close resets the connection."""
import socket
import time

from fleet import KEY
from pathfleet import SimTarget, path_conf, path_fleet, respond, wait_targets

HEAD = ("POST /x/ HTTP/1.1\r\nhost: h.example\r\n"
        "authorization: Bearer %s\r\n" % KEY)
PIECE = "x" * 60000
PLAYS = 10

CASES = {
    "a body over the limit": [
        HEAD + "content-length: 90000000\r\n\r\n"] + [PIECE] * 40,
    "a folded header": [HEAD + " folded: x\r\ncontent-length: 2\r\n\r\nab"] +
                       [PIECE] * 5,
    "a header that is no number": [
        HEAD + "x-mimosapath-tokens: a\r\ncontent-length: 2\r\n\r\nab"] +
                                  [PIECE] * 5,
}


def play(port, parts):
    """Returns the status; or where sending or reading failed."""
    with socket.create_connection(("127.0.0.1", port), 15) as conn:
        data = b""
        try:
            for part in parts:
                conn.sendall(part.encode())
                time.sleep(0.002)
        except OSError as error:
            return "sending: " + type(error).__name__
        try:
            while True:
                piece = conn.recv(65536)
                if not piece:
                    return data.split(b" ")[1].decode() if data else "nothing"
                data += piece
        except OSError as error:
            return "reading: " + type(error).__name__


fleet, _ = path_fleet(
    [SimTarget("t0", lambda target, request, conn: respond(conn, request))],
    [path_conf("/x/")], instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    for name, parts in CASES.items():
        ends = {play(fleet.callers["i0"], parts) for _ in range(PLAYS)}
        print(name, sorted(ends))
