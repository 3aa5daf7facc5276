"""A body that arrives in equal pieces counts as stalled, as the size of each
read is the same; and bytes after a last response are read without a bound."""
import socket
import time

from fleet import KEY
from pathfleet import SimTarget, path_conf, path_fleet, respond, wait_targets

PIECES, PIECE, PAUSE_S = 14, 1000, 0.5
HEAD = ("POST /x/ HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer %s\r\n"
        "content-length: %%d\r\n\r\n" % KEY)

fleet, _ = path_fleet(
    [SimTarget("t0", lambda target, req, conn: respond(conn, req))],
    [path_conf("/x/")], instances=1, control=1,
    extra_limits={"idle_timeout_ms": 1000})
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    address = ("127.0.0.1", fleet.callers["i0"])
    with socket.create_connection(address, 20) as conn:
        conn.sendall((HEAD % (PIECES * PIECE)).encode())
        for _ in range(PIECES):
            time.sleep(PAUSE_S)
            conn.sendall(b"x" * PIECE)
        print("equal pieces", conn.recv(65536).split(b" ")[1].decode())
    with socket.create_connection(address, 20) as conn:
        conn.sendall((HEAD % 10 ** 9).encode())
        sent = 0
        try:
            while sent < 2 * 10 ** 8:
                sent += conn.send(b"x" * 1000000)
        except OSError:
            pass
        print("taken after the refusal within bounds", sent < 64 * 10 ** 6)
