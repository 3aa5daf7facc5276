"""Bytes that are no answer come without end, in a head or in a body, until the
instance closes: each request has its end by the timeout of its path, the target
sees its connection closed by then, and the memory of the instance stays bounded;
also when the caller takes 1 KB a second."""
import os
import socket
import threading
import time

# Memory that was given back would count as used otherwise.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import request
from pathfleet import (Target, answer, path_conf, path_fleet, send, status_of,
                       wait_targets)

TIMEOUT_MS = 1500
GRACE_S = 0.5
MEMORY_MOST_KB = 4096  # for a request, with what the allocator keeps

OWN = "HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"b" * 4096 + b"\r\n"
# kind: what comes first, what comes without end, whether it is a stream
KINDS = {
    "garbage": ("", b"\xff" * 4096, False),
    "status-line": ("HTTP/1.1 200 ", b"b" * 4096, False),
    "headers": ("HTTP/1.1 200 X\r\n", b"x-a: " + b"b" * 999 + b"\r\n", False),
    "header": ("HTTP/1.1 200 X\r\nx-a: ", b"b" * 4096, False),
    "interim": ("", b"HTTP/1.1 100 C\r\n\r\n" * 200, False),
    "foreign": (OWN.replace("%s", "other") + CHUNKED, CHUNK, False),
    "body": (OWN + "\r\n", b"b" * 4096, False),
    "chunks": (OWN + CHUNKED, CHUNK, False),
    "chunk-size": (OWN + CHUNKED, b"0" * 4096, False),
    "chunk-option": (OWN + CHUNKED + "5;", b"e" * 4096, False),
    "trailer": (OWN + CHUNKED + "0\r\n", b"x-t: " + b"b" * 999 + b"\r\n",
                False),
    "event": (OWN + CHUNKED, CHUNK, True),
    "events": (OWN + CHUNKED, b"18\r\nid: 1\ndata: bbbbbbbbbbbb\n\n\r\n" * 99,
               True),
}
closed = {}


def behave(target, sent, link):
    kind = sent["path"].split("/")[1].replace("-slow", "")
    if kind not in KINDS:
        return answer(link, sent)
    first, piece, _ = KINDS[kind]
    name = sent["headers"]["x-mimosapath-request"]
    try:
        link.sendall(first.replace("%s", name).encode())
        while True:
            link.sendall(piece)
    except OSError:
        closed[name] = time.monotonic()
    return False


# A pool for each case: a target that failed is not asked again at once.
CASES = {kind + more: stream for kind, (_, _, stream) in KINDS.items()
         for more in ("", "-slow")}
targets = [Target("t", behave)] + [Target("t-" + case, behave, pool=case)
                                   for case in CASES]
fleet, listed = path_fleet(targets, [path_conf("/ready/")] + [
    path_conf("/%s/" % case, stream=stream, timeout_ms=TIMEOUT_MS, pool=case)
    for case, stream in CASES.items()], instances=1, control=1,
    more_pools=list(CASES))


def memory_kb(starts_anew=False):
    """The peak since it was started anew."""
    if starts_anew:
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


def take(link, pause_s, stop):
    """Takes bytes until the end; 1 KB in each pause."""
    try:
        while not stop.is_set() and link.recv(1024 if pause_s else 65536):
            time.sleep(pause_s)
    except OSError:
        pass


def play(case):
    """Returns whether all ended in time, and the memory that it took."""
    pause_s = 1 if case.endswith("-slow") else 0
    start_kb, began = memory_kb(True), time.monotonic()
    bound = began + TIMEOUT_MS / 1000 + GRACE_S
    link = send(fleet, "i0", "/%s/x" % case,
                {"x-mimosapath-request": case}, wait=False)
    stop = threading.Event()
    reader = threading.Thread(target=take, args=(link, pause_s, stop))
    reader.start()
    time.sleep(max(bound - time.monotonic(), 0))
    in_time = closed.get(case, bound) < bound and running() == 0
    stop.set()
    link.shutdown(socket.SHUT_RDWR)
    reader.join(5)
    return in_time, memory_kb() - start_kb


with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for case in CASES:
        in_time, used_kb = play(case)
        print(case, "ends in time", in_time, "within memory",
              used_kb <= MEMORY_MOST_KB)
    print("serves", status_of(send(fleet, "i0", "/ready/")))
