"""A line end after a body counts as the start of a request and holds a drain to
its end; a request that was refused for its time after the process stood still
had arrived meanwhile; and the API of our own does not announce the close."""
import signal
import socket
import time

from fleet import KEY
from pathfleet import SimTarget, path_conf, path_fleet, respond, wait_targets

HEAD = ("POST %s HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer %s\r\n"
        "content-length: %d\r\n\r\n")


def connect():
    return socket.create_connection(("127.0.0.1", fleet.callers["i0"]), 20)


def call(conn, path, body="id=x", after=""):
    conn.sendall((HEAD % (path, KEY, len(body)) + body + after).encode())
    return conn.recv(65536).decode()


def make_fleet(**options):
    return path_fleet(
        [SimTarget("t0", lambda target, req, conn: respond(conn, req))],
        [path_conf("/x/")], instances=1, control=1,
        extra_settings={"drain_notice_ms": 2000, "drain_ms": 20000},
        **options)[0]


fleet = make_fleet(extra_limits={"idle_timeout_ms": 1000})
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    process = fleet.processes["i0"]
    half = connect()
    half.sendall((HEAD % ("/x/", KEY, 4) + "ab").encode())
    time.sleep(0.3)
    process.send_signal(signal.SIGSTOP)
    time.sleep(6)
    half.sendall(b"cd")
    process.send_signal(signal.SIGCONT)
    print("whole while the process stood still",
          half.recv(65536).split(b" ")[1].decode())

fleet = make_fleet()
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    process = fleet.processes["i0"]
    stray, own = connect(), connect()
    print("before", call(stray, "/x/", after="\r\n").split(" ")[1],
          "connection: close" in call(own, "/services/s/lots").lower())
    start = time.monotonic()
    process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    print("own API announces the close",
          "connection: close" in call(own, "/services/s/lots").lower())
    print("exit", process.wait(40), "held", time.monotonic() - start > 15)
