"""A target sends endless bytes, in the head or in the body, instead of a valid
answer.  Each request ends by the timeout of its path, the target sees its
connection closed by then, and the memory of the instance stays bounded; also
when the caller reads only 1 KB a second."""
import os
import socket
import threading
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import request
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)

TIMEOUT_MS = 1500
GRACE_S = 0.5
MEMORY_MAX_KB = 4096  # per request, with memory kept by the allocator

HEAD = "HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"b" * 4096 + b"\r\n"
# kind: first bytes, bytes repeated without end, whether it is a stream
KINDS = {
    "garbage": ("", b"\xff" * 4096, False),
    "status-line": ("HTTP/1.1 200 ", b"b" * 4096, False),
    "headers": ("HTTP/1.1 200 X\r\n", b"x-a: " + b"b" * 999 + b"\r\n", False),
    "header": ("HTTP/1.1 200 X\r\nx-a: ", b"b" * 4096, False),
    "interim": ("", b"HTTP/1.1 100 C\r\n\r\n" * 200, False),
    "foreign": (HEAD.replace("%s", "other") + CHUNKED, CHUNK, False),
    "body": (HEAD + "\r\n", b"b" * 4096, False),
    "chunks": (HEAD + CHUNKED, CHUNK, False),
    "chunk-size": (HEAD + CHUNKED, b"0" * 4096, False),
    "chunk-option": (HEAD + CHUNKED + "5;", b"e" * 4096, False),
    "trailer": (HEAD + CHUNKED + "0\r\n", b"x-t: " + b"b" * 999 + b"\r\n",
                False),
    "event": (HEAD + CHUNKED, CHUNK, True),
    "events": (HEAD + CHUNKED, b"18\r\nid: 1\ndata: bbbbbbbbbbbb\n\n\r\n" * 99,
               True),
}
closed = {}


def handle_request(target, req, conn):
    kind = req["path"].split("/")[1].replace("-slow", "")
    if kind not in KINDS:
        return respond(conn, req)
    first, piece, _ = KINDS[kind]
    name = req["headers"]["x-mimosapath-request"]
    try:
        conn.sendall(first.replace("%s", name).encode())
        while True:
            conn.sendall(piece)
    except OSError:
        closed[name] = time.monotonic()
    return False


# Each case has its own pool, because a target that failed is ejected for a
# while.
CASES = {kind + more: stream for kind, (_, _, stream) in KINDS.items()
         for more in ("", "-slow")}
targets = [SimTarget("t", handle_request)] + [
    SimTarget("t-" + case, handle_request, pool=case) for case in CASES]
fleet, listed = path_fleet(targets, [path_conf("/ready/")] + [
    path_conf("/%s/" % case, stream=stream, timeout_ms=TIMEOUT_MS, pool=case)
    for case, stream in CASES.items()], instances=1, control=1,
    extra_pools=list(CASES))


def memory_kb(is_reset=False):
    """Returns the peak memory of the instance since the last reset."""
    if is_reset:
        with open("/proc/%d/clear_refs" % fleet.processes["i0"].pid,
                  "w") as clear:
            clear.write("5")
    with open("/proc/%d/status" % fleet.processes["i0"].pid) as status:
        return int(next(line for line in status if line.startswith("VmHWM"))
                   .split()[1])


def running():
    text = request(fleet.operators["i0"], "GET", "/metrics").body
    return next(int(line.split()[1]) for line in text.splitlines()
                if line.startswith("mimosapath_path_requests_running "))


def read_bytes(conn, pause_s, stop):
    """Reads until the connection ends; with a pause, 1 KB at a time."""
    try:
        while not stop.is_set() and conn.recv(1024 if pause_s else 65536):
            time.sleep(pause_s)
    except OSError:
        pass


def run_case(case):
    """Returns whether the request and its connections ended in time, and the
    memory used."""
    pause_s = 1 if case.endswith("-slow") else 0
    start_kb, began = memory_kb(True), time.monotonic()
    bound = began + TIMEOUT_MS / 1000 + GRACE_S
    conn = send(fleet, "i0", "/%s/x" % case,
                {"x-mimosapath-request": case}, wait=False)
    stop = threading.Event()
    reader = threading.Thread(target=read_bytes, args=(conn, pause_s, stop))
    reader.start()
    time.sleep(max(bound - time.monotonic(), 0))
    in_time = closed.get(case, bound) < bound and running() == 0
    stop.set()
    conn.shutdown(socket.SHUT_RDWR)
    reader.join(5)
    return in_time, memory_kb() - start_kb


with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for case in CASES:
        in_time, used_kb = run_case(case)
        print(case, "ends in time", in_time, "within memory",
              used_kb <= MEMORY_MAX_KB)
    print("serves", status_of(send(fleet, "i0", "/ready/")))
