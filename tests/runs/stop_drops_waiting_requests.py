"""A process that stops drops connections in the queue of its listener and
requests that wait in sockets (it stands still while they arrive)."""
import signal
import socket
import time
from collections import Counter

from fleet import KEY
from pathfleet import (SimTarget, path_conf, path_fleet, read_all, respond,
                       wait_targets)

KEPT, NEW = 400, 150
TEXT = ("POST /x/ HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer %s\r\n"
        "content-length: 2\r\n\r\nab" % KEY).encode()


def connect(port):
    return socket.create_connection(("127.0.0.1", port), 20)


def end_of(conn):
    data = read_all(conn)
    return data.split(b" ")[1].decode() if data[:5] == b"HTTP/" else "nothing"


def play(label, notice_ms, pause_s):
    fleet, _ = path_fleet(
        [SimTarget("t0", lambda target, req, conn: respond(conn, req))],
        [path_conf("/x/")], instances=1, control=1,
        extra_settings={"drain_notice_ms": notice_ms})
    with fleet:
        ready = wait_targets(fleet, "i0", "/x/")
        port = fleet.callers["i0"]
        kept = [connect(port) for _ in range(KEPT)]
        for conn in kept:
            conn.sendall(TEXT)
            conn.recv(65536)
        process = fleet.processes["i0"]
        process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        process.send_signal(signal.SIGSTOP)
        for conn in kept:
            conn.sendall(TEXT)
        new = [connect(port) for _ in range(NEW)]
        for conn in new:
            conn.sendall(TEXT)
        time.sleep(pause_s)
        process.send_signal(signal.SIGCONT)
        ends = [Counter(end_of(conn) for conn in conns)
                for conns in (kept, new)]
        print(label, "ready", ready, "kept without an answer",
              ends[0]["nothing"], "new without an answer",
              ends[1]["nothing"], "exit", process.wait(30))


play("during the notice,", 5000, 0.5)
play("after the notice,", 500, 1.5)
