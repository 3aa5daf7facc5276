"""Callers, operators and peers send requests without end, several at once, in
the head, the length, the body or behind it.  The memory of the instance and the
bytes that wait for it stay bounded, and requests of other callers are served
meanwhile."""
import os
import socket
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import TOKEN
from instancecost import Cost
from pathfleet import (SimTarget, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)

AT_ONCE = 8
PLAY_S = 3
OTHER_MAX_S = 4
BODY_MAX = 1 << 20
# Eight bodies of the largest size, of operators 8 MB, and the heads.
MEMORY_MAX_KB = {"callers": 32 << 10, "operators": 112 << 10,
                 "peers": 32 << 10}
WAITING_MAX_KB = 8 << 10

HEAD = ("POST /x/ HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer %s\r\n"
        "transfer-encoding: chunked\r\n\r\n" % TOKEN)
CHUNK = b"10000\r\n" + b"b" * 65536 + b"\r\n"
# kind: first bytes, bytes repeated without end
KINDS = {
    "garbage": (b"", b"\xff" * 65536),
    "zeros": (b"", b"\0" * 65536),
    "line": (b"POST /x/", b"b" * 65536),
    "headers": (b"POST /x/ HTTP/1.1\r\n", b"x-a: " + b"b" * 99 + b"\r\n"),
    "header": (b"POST /x/ HTTP/1.1\r\nx-a: ", b"b" * 65536),
    "chunks": (HEAD.encode(), CHUNK),
    "one-byte-chunks": (HEAD.encode(), b"1\r\nb\r\n" * 9999),
    "chunk-size": (HEAD.encode(), b"0" * 65536),
    "chunk-option": (HEAD.encode() + b"5;", b"e" * 65536),
    "trailer": (HEAD.encode() + b"0\r\n", b"x-t: " + b"b" * 999 + b"\r\n"),
    "length": (HEAD.replace("transfer-encoding: chunked", "content-length: "
                            "99999999999").encode(), b"b" * 65536),
    "requests": (b"", b"GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n" * 999),
    "record": (b"", b"\x80\0\2\0" + b"b" * 512),
    "long-record": (b"", b"\xff\xff\xff\xff" + b"b" * 65532),
}


def play(number):
    end = time.monotonic() + PLAY_S
    first, piece = KINDS[kind]
    try:
        with socket.create_connection(("127.0.0.1", port), PLAY_S) as conn:
            conn.sendall(first)
            while time.monotonic() < end:
                conn.settimeout(max(end - time.monotonic(), 0.01))
                conn.sendall(piece)
    except OSError:
        return


def serve_other():
    return status_of(send(fleet, "i0", "/x/")) == "200"


targets = [SimTarget("t0", lambda t, r, c: respond(c, r))]
fleet, _ = path_fleet(targets, [path_conf("/x/")], instances=1, control=1,
                      extra_settings={"body_most_bytes": BODY_MAX})
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    for name, port, kinds in (
            ("callers", fleet.callers["i0"], KINDS),
            ("operators", fleet.operators["i0"],
             ("chunks", "chunk-option", "requests", "garbage")),
            ("peers", fleet.rpc["i0"],
             ("garbage", "zeros", "record", "long-record"))):
        for kind in kinds:
            cost = Cost(name + " " + kind, fleet.processes["i0"].pid, AT_ONCE,
                        play, serve_other)
            print(name, kind, "within memory",
                  cost.memory_kb <= MEMORY_MAX_KB[name], "waiting",
                  cost.waiting_kb <= WAITING_MAX_KB, "others served",
                  cost.are_others_served and cost.other_s < OTHER_MAX_S)
