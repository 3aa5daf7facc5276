"""A caller can always read its refusal: of a body over the limit, of a malformed
request, of a request that comes while the instance drains.  More bytes of the
caller are on their way meanwhile: the rest of the body, a request that is
pipelined, a stray end of line.  Its writes do not fail, and its connection ends
without a reset, after which many systems drop what was not read yet."""
import os
import signal
import socket
import time
from collections import Counter

from pathfleet import (NATIVE, PLATFORM, SimTarget, path_conf, path_fleet,
                       platform_fleet, request_text, respond, wait_targets)

PLAYS = 20   # callers of each case, one after the other
LARGE, PIECE = 300000, 100000


def read_status(conn, is_last=True):
    """Returns the status of a whole answer, or how the connection ended, and
    whether it was reset afterwards."""
    data, status = b"", ""
    conn.settimeout(15)
    try:
        while True:
            part = conn.recv(65536)
            if not part:
                return status or ("cut" if data else "closed"), False
            data += part
            head, mark, body = data.partition(b"\r\n\r\n")
            for line in head.lower().split(b"\r\n"):
                if mark and line.startswith(b"content-length:") and len(
                        body) >= int(line[15:]):
                    status = head.split(b" ")[1].decode()
            if status and not is_last:
                return status, False
    except OSError as error:
        return status or type(error).__name__, True


def call(port, text, rest, pause_s):
    """Sends text, and the rest of it in pieces; returns status, whether the
    connection was reset, and whether a write failed."""
    has_failed = False
    with socket.create_connection(("127.0.0.1", port), 15) as conn:
        try:
            conn.sendall(text)
            for at in range(0, len(rest), PIECE):
                time.sleep(pause_s)
                conn.sendall(rest[at:at + PIECE])
        except OSError:
            has_failed = True
        time.sleep(0.02)
        return read_status(conn) + (has_failed,)


def count_refused(label, status, port, text, rest, pause_s):
    ends = [call(port, text, rest, pause_s) for _ in range(PLAYS)]
    print("  %s: %s %d of %d, reset %d, writes failed %d" % (
        label, status, sum(e[0] == status for e in ends), PLAYS,
        sum(e[1] for e in ends), sum(e[2] for e in ends)))
    if os.environ.get("VERBOSE"):
        print("    ", dict(Counter(ends)))


def fields_of(names):
    return list(names["caller"].items()) + [(names["id"], "r1")]


def play_refusals(port, names, path):
    large = request_text("POST", path, fields_of(names), "b" * LARGE)
    head = large.index(b"\r\n\r\n") + 4
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (LARGE, b"b" * LARGE)
    chunked = large[:head].replace(b"content-length: %d" % LARGE,
                                   b"transfer-encoding: chunked")
    next_one = request_text("GET", path, fields_of(names))
    short = request_text("POST", path, fields_of(names), "b")
    bad = short.replace(b"host:", b"host: h.example\r\n folded:", 1)
    for label, status, text, rest in (
            ("length over the limit", "413", large[:head], large[head:]),
            ("chunks over the limit", "413", chunked, chunks),
            ("malformed, two lengths", "400", bad[:-5] + b"content-length: 1\r\n"
             b"\r\nb", next_one),
            ("malformed, pipelined", "400", bad + next_one, next_one),
            ("malformed, end of line", "400", bad + b"\r\n", b"\r\n"),
            ("no request", "400", b"no request\r\n\r\n", next_one)):
        for pause_s in (0, 0.03):
            count_refused("%s, after %g s" % (label, pause_s), status, port,
                          text, rest, pause_s)


def play_drain(fleet, names, path):
    """Callers of kept connections whose next requests come late in a drain,
    in one piece with a pipelined one and with a stray end of line."""
    short = request_text("POST", path, fields_of(names), "b")
    next_one = request_text("GET", path, fields_of(names))
    port = fleet.callers["i0"]
    conns = [socket.create_connection(("127.0.0.1", port), 15)
             for _ in range(3 * PLAYS)]
    for conn in conns:
        conn.sendall(short)
    first = [read_status(conn, False)[0] for conn in conns]
    long_path = path.replace("/x/", "/long/")
    running = socket.create_connection(("127.0.0.1", port), 15)
    running.sendall(request_text("POST", long_path, fields_of(names), "b"))
    time.sleep(0.5)
    fleet.processes["i0"].send_signal(signal.SIGTERM)
    time.sleep(1)
    ends = []
    for number, conn in enumerate(conns):
        rest = (b"\r\n", next_one, short + next_one)[number % 3]
        try:
            conn.sendall(short + rest)
        except OSError:
            pass
        ends.append(read_status(conn))
    print("  draining, first requests", first.count("200"),
          "refused", [sum(e[0] == "503" for e in ends[n::3])
                      for n in range(3)],
          "reset", [sum(e[1] for e in ends[n::3]) for n in range(3)],
          "running", read_status(running)[0],
          "exit", fleet.processes["i0"].wait(20))
    if os.environ.get("VERBOSE"):
        print("    ", dict(Counter(ends)))


def play(label, names, make_fleet):
    def handle_request(target, req, conn):
        if req["path"].startswith("/long/"):
            time.sleep(4)
        respond(conn, req)

    target = SimTarget("t0", handle_request)
    target.slots = 64
    fleet, _ = make_fleet(
        [target], [path_conf("/ready/"), path_conf("/x/"),
                   path_conf("/long/", timeout_ms=8000)], instances=1,
        control=1, extra_settings={"body_most_bytes": 65536,
                                   "drain_notice_ms": 500,
                                   "stop_within_s": 8})
    with fleet:
        headers = dict(names["caller"], **{names["id"]: "first"})
        print(label, "ready", wait_targets(fleet, "i0", headers=headers))
        play_refusals(fleet.callers["i0"], names, "/x/y")
        if names is NATIVE:
            print(" of our own API")
            play_refusals(fleet.callers["i0"], names, "/services/s/lots")
        play_drain(fleet, names, "/x/y")


play("own interface,", NATIVE, path_fleet)
play("platform,", PLATFORM, platform_fleet)
