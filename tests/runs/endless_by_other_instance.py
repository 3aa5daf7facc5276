"""Targets send endless bytes to requests that go by way of another instance:
to callers that read and that do not, in a refusal, and in events.  The memory
of both instances and the bytes that wait for them stay bounded, requests of
other callers are served meanwhile, and no tunnel is left."""
import os
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import request, wait_for
from instancecost import Cost, peak_memory_kb, waiting_kb
from pathfleet import (LendingFleet, SimTarget, id_line, path_conf, path_fleet,
                       respond, send, status_of, wait_targets)

AT_ONCE = 8
TIMEOUT_MS = 3000
OTHER_MAX_S = 8
PIECE = 1 << 20
MEMORY_MAX_KB = 48 << 10
WAITING_MAX_KB = 16 << 10
BY_OTHER, BETWEEN = "i1", "i2"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
BIG_CHUNK = b"%x\r\n" % PIECE + b"b" * PIECE + b"\r\n"
EVENTS = b"id: 1\ndata: bbbbbbbbbb\n\n" * 9999
EVENTS_CHUNK = b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n"
# kind: head, bytes repeated without end, whether the caller reads
KINDS = {
    "read": ("200 X", CHUNKED, BIG_CHUNK, True),
    "unread": ("200 X", CHUNKED, BIG_CHUNK, False),
    "refused": ("503 X\r\nx-mimosapath-not-run: 1", CHUNKED, BIG_CHUNK, True),
    "short-chunks": ("200 X", CHUNKED, b"1\r\nb\r\n" * 99999, True),
    "events": ("200 X", "Content-Type: text/event-stream\r\n" + CHUNKED,
               EVENTS_CHUNK, True),
}


def handle_request(target, req, conn):
    kind = req["path"].split("/")[1]
    if kind not in KINDS or req["path"].endswith("/ready"):
        return respond(conn, req)
    status, rest, piece, _ = KINDS[kind]
    try:
        conn.sendall(("HTTP/1.1 %s\r\n%s%s" % (status, id_line(req), rest))
                     .encode())
        while True:
            conn.sendall(piece)
    except OSError:
        return False


def play(number):
    conn = send(fleet, BY_OTHER, "/%s/%d" % (kind, number), wait=False)
    try:
        statuses.append(status_of(conn.recv(PIECE)))
        if not KINDS[kind][3]:
            time.sleep(TIMEOUT_MS / 1000)
        while KINDS[kind][3] and conn.recv(PIECE):
            pass
    except OSError:
        pass
    conn.close()


def serve_other():
    waiting.append(waiting_kb(between))
    return all(status_of(send(fleet, name, "/ready/")) == "200"
               for name in (BY_OTHER, BETWEEN))


def tunnels():
    text = request(fleet.operators[BETWEEN], "GET", "/metrics").body
    return next(int(line.split()[1]) for line in text.splitlines()
                if line.startswith("mimosapath_tunnels_running "))


def sim_target(name, pool):
    target = SimTarget(name, handle_request, pool=pool)
    target.slots = 64
    return target


targets = [sim_target("t", "p")] + [
    sim_target("t-" + kind, kind) for kind in KINDS]
fleet, listed = path_fleet(targets, [path_conf("/ready/", "any", attempts=3)] +
                           [path_conf("/%s/" % kind, stream=kind == "events",
                                      timeout_ms=TIMEOUT_MS, pool=kind)
                            for kind in KINDS],
                           instances=3, control=1, extra_pools=list(KINDS),
                           fleet_class=LendingFleet, refusable=[BY_OTHER])
between = fleet.processes[BETWEEN].pid
with fleet:
    print("ready", all(wait_targets(fleet, n) for n in (BY_OTHER, BETWEEN)))
    fleet.refuse_connections(BY_OTHER, [t.port for t in targets])
    print("by way of the other", wait_targets(fleet, BY_OTHER))
    for kind in KINDS:
        wait_targets(fleet, BY_OTHER, "/%s/ready" % kind)
        waiting, statuses = [], []
        start_kb = peak_memory_kb(between, True)
        cost = Cost(kind, fleet.processes[BY_OTHER].pid, AT_ONCE, play,
                    serve_other)
        between_kb = peak_memory_kb(between) - start_kb
        if os.environ.get("FIGURES"):
            print("between: memory %d KB, waiting %d KB" % (
                between_kb, max(waiting)))
        print(kind, "answered", statuses.count(KINDS[kind][0][:3]) == AT_ONCE,
              "within memory", cost.memory_kb <= MEMORY_MAX_KB,
              between_kb <= MEMORY_MAX_KB, "waiting",
              max(cost.waiting_kb, *waiting) <= WAITING_MAX_KB,
              "others served", cost.are_others_served and
              cost.other_s < OTHER_MAX_S, "no tunnel left",
              wait_for(lambda: tunnels() == 0, 15))
