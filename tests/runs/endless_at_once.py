"""Targets send endless bytes as fast as they can, to several requests at once:
to callers that do not read, and in pieces that are costly to take apart.  The
memory of the instance and the bytes that wait for it stay bounded, and
requests of other callers are served meanwhile."""
import os
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from instancecost import Cost
from pathfleet import (SimTarget, id_line, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)

AT_ONCE = 8
TIMEOUT_MS = 4000
READ_S = 2
ALL_S = float("inf")
OTHER_MAX_S = 4
PIECE = 1 << 20
MEMORY_MAX_KB = 32 << 10  # for all requests of a kind
WAITING_MAX_KB = 8 << 10

STREAM = "Content-Type: text/event-stream\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
BIG_CHUNK = b"%x\r\n" % PIECE + b"b" * PIECE + b"\r\n"
EVENTS = b"id: 1\ndata: bbbbbbbbbb\n\n" * 700
# kind: head, bytes repeated without end, time for which the caller reads
KINDS = {
    "unread": (CHUNKED, BIG_CHUNK, 0),
    "read-then-not": (CHUNKED, BIG_CHUNK, READ_S),
    "unread-events": (STREAM + CHUNKED, b"%x\r\n" % len(EVENTS) + EVENTS +
                      b"\r\n", 0),
    "one-byte-chunks": (STREAM + CHUNKED, b"1\r\nb\r\n1\r\n\n\r\n" * 9999,
                        ALL_S),
    "options": ("connection: %s\r\n%s\r\n" % ("a," * 20000, "b:\r\n" * 9000),
                b"b" * PIECE, ALL_S),
    "options-few": ("connection: %s\r\n%s\r\n" % ("a," * 20000,
                                                  "b:\r\n" * 240),
                    b"b" * PIECE, ALL_S),
}


def handle_request(target, req, conn):
    kind = req["path"].split("/")[1]
    if kind not in KINDS:
        return respond(conn, req)
    head, piece, _ = KINDS[kind]
    try:
        conn.sendall(("HTTP/1.1 200 X\r\n%s%s" % (id_line(req), head))
                     .encode())
        while True:
            conn.sendall(piece)
    except OSError:
        return False


def play(number):
    conn = send(fleet, "i0", "/%s/%d" % (kind, number), wait=False)
    began = time.monotonic()
    try:
        while time.monotonic() < began + KINDS[kind][2]:
            if not conn.recv(PIECE):
                return
        time.sleep(max(began + TIMEOUT_MS / 1000 - time.monotonic(), 0))
    except OSError:
        pass
    finally:
        conn.close()


def serve_other():
    return status_of(send(fleet, "i0", "/ready/")) == "200"


targets = [SimTarget("t", handle_request)] + [
    SimTarget("t-" + kind, handle_request, pool=kind) for kind in KINDS]
fleet, listed = path_fleet(targets, [path_conf("/ready/")] + [
    path_conf("/%s/" % kind, stream=STREAM in KINDS[kind][0],
              timeout_ms=TIMEOUT_MS, pool=kind)
    for kind in KINDS], instances=1, control=1, extra_pools=list(KINDS))
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for kind in KINDS:
        cost = Cost(kind, fleet.processes["i0"].pid, AT_ONCE, play,
                    serve_other)
        print(kind, "within memory", cost.memory_kb <= MEMORY_MAX_KB,
              "waiting", cost.waiting_kb <= WAITING_MAX_KB, "others served",
              cost.are_others_served and cost.other_s < OTHER_MAX_S)
    print("serves", status_of(send(fleet, "i0", "/ready/")))
