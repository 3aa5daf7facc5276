"""Targets refuse requests, or answer with errors that are to be replaced, and
go on with endless bytes, bytes now and then, or silence.  The head says it all,
so each request is soon served by the next target, and little of the rest is
taken; the connection of a short refusal, also in pieces, is used again."""
import os
import threading
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from instancecost import Cost
from pathfleet import (SimTarget, id_line, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)

AT_ONCE = 3  # the retry budget of a pool allows so many retries
TIMEOUT_MS = 20000
NEXT_TARGET_S = 10  # before the timeout, also on a busy machine
OTHER_MAX_S = 4
PIECE = 1 << 20
TAKEN_MAX = 16 << 20  # of each answer: what sockets hold, mostly
MEMORY_MAX_KB = 32 << 10

REFUSED = "503 X\r\nx-mimosapath-not-run: 1"
ERROR = "500 X"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
LONG = "Content-Length: 99999999999\r\n\r\n"
BIG_CHUNK = b"%x\r\n" % PIECE + b"b" * PIECE + b"\r\n"
# kind: status, rest of the head, bytes repeated without end, pause between
KINDS = {
    "refused": (REFUSED, CHUNKED, BIG_CHUNK, 0),
    "refused-long": (REFUSED, LONG, b"b" * PIECE, 0),
    "refused-open": (REFUSED, "\r\n", b"b" * PIECE, 0),
    "refused-options": (REFUSED, CHUNKED + "5;", b"b" * 4096, 0),
    "refused-slow": (REFUSED, CHUNKED, b"1\r\nb\r\n", 0.05),
    "refused-silent": (REFUSED, CHUNKED, b"1\r\nb\r\n", TIMEOUT_MS / 1000),
    "misdirected": ("421 X", CHUNKED, BIG_CHUNK, 0),
    "replaced": (ERROR, CHUNKED, BIG_CHUNK, 0),
    "replaced-long": (ERROR, LONG, b"b" * PIECE, 0),
    "replaced-slow": (ERROR, CHUNKED, b"1\r\nb\r\n", 0.05),
}
lock = threading.Lock()
taken, served = {}, {}


def handle_request(target, req, conn):
    kind = req["path"].split("/")[1]
    if kind == "short" and not target.name.endswith("-ok"):
        conn.sendall(("HTTP/1.1 %s\r\n%sContent-Length: 4\r\n\r\n" % (
            REFUSED, id_line(req))).encode())
        time.sleep(0.01)
        return conn.sendall(b"full")
    if kind not in KINDS or target.name.endswith("-ok"):
        return respond(conn, req)
    status, rest, piece, pause_s = KINDS[kind]
    count = 0
    try:
        conn.sendall(("HTTP/1.1 %s\r\n%s%s" % (status, id_line(req), rest))
                     .encode())
        while True:
            conn.sendall(piece)
            count += len(piece)
            time.sleep(pause_s)
    except OSError:
        with lock:
            taken[kind] = max(taken.get(kind, 0), count)
        return False


def play(number):
    began = time.monotonic()
    data = send(fleet, "i0", "/%s/%d" % (kind, number),
                timeout=TIMEOUT_MS / 1000 + 5)
    is_served = (status_of(data) == "200" and
                 time.monotonic() - began < NEXT_TARGET_S)
    with lock:
        served[kind] = served.get(kind, 0) + is_served


def serve_other():
    return status_of(send(fleet, "i0", "/ready/")) == "200"


def sim_target(name, pool):
    target = SimTarget(name, handle_request, pool=pool)
    target.slots = 64
    return target


targets = [sim_target("t", "p")] + [
    sim_target("t-%s-%s" % (kind, which), kind)
    for kind in list(KINDS) + ["short"] for which in ("odd", "ok")]
fleet, listed = path_fleet(targets, [path_conf("/ready/")] + [
    path_conf("/%s/" % kind, "any" if "replaced" in kind else "once",
              attempts=3, timeout_ms=TIMEOUT_MS, pool=kind)
    for kind in list(KINDS) + ["short"]], instances=1, control=1,
    extra_pools=list(KINDS) + ["short"])
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for kind in KINDS:
        cost = Cost(kind, fleet.processes["i0"].pid, AT_ONCE, play,
                    serve_other)
        print(kind, "served by the next target", served[kind] == AT_ONCE,
              "little taken", taken.get(kind, 0) <= TAKEN_MAX,
              "within memory", cost.memory_kb <= MEMORY_MAX_KB,
              "others served", cost.are_others_served and
              cost.other_s < OTHER_MAX_S)
    kind = "short"
    odd = targets[-2]
    for number in range(100):
        if len(odd.requests) < 4:
            play(number)
    print("short, connection kept", odd.connection_count < len(odd.requests))
    if os.environ.get("FIGURES"):
        print(number, odd.connection_count, len(odd.requests))
    print("serves", status_of(send(fleet, "i0", "/ready/")))
