"""Instances are stopped while callers send all the time: on connections that they
keep, on new ones, two requests at once, and bodies in pieces.  A request that
was sent whole, and had arrived when its connection was closed, is answered or
refused.  Whoever is not taken is told before: the connection is refused, or
closed before the request was sent."""
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter

from pathfleet import (NATIVE, PLATFORM, SimTarget, path_conf, path_fleet,
                       platform_fleet, request_text, respond, wait_targets)

STOPPED = ["i1", "i2", "i3"]
KINDS = ["kept", "new", "pipelined", "pieces"]
CALLERS = 6      # of each kind at each instance
BUSY = 3         # processes beside that keep processors busy
# A close without a reset that is seen within this time crossed the request.
CROSSED_S = 0.05


def read_answer(conn, data):
    """Returns status, whether the connection is closed after it, and the bytes
    behind it; the status is how the connection ended if there is none."""
    conn.settimeout(15)
    while True:
        head, mark, body = data.partition(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if mark and line.startswith(b"content-length:"):
                size = int(line[15:])
                if len(body) >= size:
                    return (head.split(b" ")[1].decode(),
                            b"connection: close" in head.lower(),
                            body[size:])
        try:
            part = conn.recv(65536)
        except OSError as error:
            return type(error).__name__, True, b""
        if not part:
            return "cut" if data else "closed", True, b""
        data += part


def judge(status, sent_s, is_first):
    """Names the end of a request that was sent whole.  An end of stream comes
    before a reset if the instance closed first; a reset alone means that bytes
    of the caller had arrived and were not read.  The first request of a
    connection may wait with it for the instance to accept it."""
    if status.isdigit():
        return "answered" if status == "200" else "refused"
    if status == "closed" and time.monotonic() - sent_s < CROSSED_S:
        return "crossed"
    return "lost with a new connection" if is_first else "lost"


def send_request(conn, kind, text):
    if kind == "pieces":
        size = len(text) // 6 + 1
        for at in range(0, len(text), size):
            conn.sendall(text[at:at + size])
            time.sleep(0.1)
    else:
        conn.sendall(text * (2 if kind == "pipelined" else 1))


def use_connection(conn, kind, text, outcomes):
    """Sends requests until the connection is closed."""
    is_closed, is_first, rest = False, True, b""
    while not is_closed:
        try:
            send_request(conn, kind, text)
        except OSError:
            outcomes["closed before it was sent"] += 1
            return
        sent_s = time.monotonic()
        for _ in range(2 if kind == "pipelined" else 1):
            # A second request is not taken after an answer that says so.
            if is_closed:
                outcomes["told"] += 1
                break
            status, is_closed, rest = read_answer(conn, rest)
            outcomes[judge(status, sent_s, is_first)] += 1
            is_first = False
            if not status.isdigit():
                if os.environ.get("VERBOSE"):
                    outcomes[status + " %d ms" % (
                        1000 * (time.monotonic() - sent_s))] += 1
                return
        if kind == "new":
            return


def call_until_refused(kind, port, text, results):
    outcomes = Counter()
    refused = 0
    end_s = time.monotonic() + 25
    while refused < 5 and time.monotonic() < end_s:
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as conn:
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                use_connection(conn, kind, text, outcomes)
            refused = 0
        except OSError:
            refused += 1
            time.sleep(0.05)
    outcomes["refused connections"] += refused > 0
    results.put((kind, dict(outcomes)))


def play(label, names, make_fleet, busy):
    def handle_request(target, req, conn):
        respond(conn, req)

    targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
    for target in targets:
        target.slots = 64
    fleet, _ = make_fleet(
        targets, [path_conf("/ready/"), path_conf("/x/")], instances=4,
        control=1, extra_settings={"drain_notice_ms": 2200,
                                   "stop_within_s": 8})
    results = multiprocessing.Queue()
    totals = {kind: Counter() for kind in KINDS}
    with fleet:
        fields = list(names["caller"].items()) + [(names["id"], "r1")]
        print(label, "ready", all(wait_targets(fleet, n, headers=dict(fields))
                                  for n in STOPPED))
        text = request_text("POST", "/x/y", fields, "b" * 600)
        callers = [multiprocessing.Process(
            target=call_until_refused,
            args=(kind, fleet.callers[name], text, results))
            for name in STOPPED for kind in KINDS for _ in range(CALLERS)]
        others = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
                  for _ in range(busy)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        for name in STOPPED:
            fleet.processes[name].send_signal(signal.SIGTERM)
        for _ in callers:
            kind, outcomes = results.get(timeout=60)
            totals[kind].update(outcomes)
        print("  exit", [fleet.processes[n].wait(20) for n in STOPPED])
        for process in others:
            process.kill()
            process.wait()
    for kind in KINDS:
        print("  %s: answered %s, lost %d, with a new connection %d" % (
            kind, totals[kind]["answered"] > 0, totals[kind]["lost"],
            totals[kind]["lost with a new connection"]))
        if os.environ.get("VERBOSE"):
            print("    ", dict(totals[kind]))


play("own interface,", NATIVE, path_fleet, 0)
play("own interface, busy,", NATIVE, path_fleet, BUSY)
play("platform, busy,", PLATFORM, platform_fleet, BUSY)
