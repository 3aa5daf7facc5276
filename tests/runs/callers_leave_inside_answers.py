"""Callers leave, reset, or read slowly at each point of an answer, beside
others that keep their connections: these get each answer whole and their own,
and nothing stays behind.  SEED and PLAY_SECONDS change what is played."""
import os
import random
import struct
import socket
import threading
import time

from fleet import in_background, request, wait_for
from pathfleet import (KeptCaller, ReadError, end_chunks, relay_fleet,
                       request_text, send_chunk, wait_for_service,
                       wait_targets)

SEED = int(os.environ.get("SEED", "1"))
SECONDS = float(os.environ.get("PLAY_SECONDS", "8"))
STATUSES = (200, 200, 200, 404, 500, 204)
SIZES = (0, 1, 300, 20000, 150000)


def text_of(name, size):
    return (name * (size // len(name) + 1))[:size] if size else ""


def handle_request(target, req, conn):
    _, _, name, status, size, how, *_ = req["path"].split("/") + [""] * 4
    if not how:
        name, status, size, how = "r", "200", "2", "length"
    body = text_of(name, int(size))
    framing = ("Transfer-Encoding: chunked" if how == "chunks" else
               "Content-Length: %d" % len(body))
    head = "HTTP/1.1 %s X\r\nx-mimosapath-request: %s\r\nx-name: %s\r\n" % (
        status, req["headers"].get("x-mimosapath-request", ""), name)
    if status == "204":
        conn.sendall((head + "\r\n").encode())
        return None
    conn.sendall((head + framing + "\r\n\r\n").encode())
    step = max(len(body) // 3, 1)
    for at in range(0, len(body), step):
        time.sleep(0.002)
        part = body[at:at + step]
        if how == "chunks":
            send_chunk(conn, part)
        else:
            conn.sendall(part.encode())
    if how == "chunks":
        end_chunks(conn)
    return None


class Counts:
    def __init__(self):
        self.lock = threading.Lock()
        self.whole, self.left, self.wrong = 0, 0, []

    def add(self, kind, detail=""):
        with self.lock:
            if kind == "wrong":
                self.wrong.append(detail)
            else:
                setattr(self, kind, getattr(self, kind) + 1)


def draw(dice, name):
    prefix = dice.choice(list(prefixes.values()))
    status, size = dice.choice(STATUSES), dice.choice(SIZES)
    return status, size, "%s%s/%d/%d/%s/" % (
        prefix, name, status, size, dice.choice(("length", "chunks")))


def keep(number):
    """Keeps a connection, pipelines at times, and checks each answer."""
    dice = random.Random("%d keep %d" % (SEED, number))
    caller, count = KeptCaller(port, timeout=10), 0
    while time.monotonic() < end:
        wanted = []
        for _ in range(dice.choice((1, 1, 3))):
            count += 1
            name = "k%d-%d." % (number, count)
            status, size, path = draw(dice, name)
            wanted.append((name, status, 0 if status == 204 else size))
            caller.send("POST", path, body="{}")
        try:
            for name, status, size in wanted:
                answer = caller.read()
                is_own = (answer.status == status and
                          answer.first("x-name") == name and
                          answer.body == text_of(name, size).encode())
                counts.add("whole" if is_own else "wrong",
                           "%s %d %s" % (path + name, answer.status,
                                         answer.body[:60]))
        except (ReadError, OSError) as error:
            counts.add("wrong", "%s %s" % (name, error))
            caller = KeptCaller(port, timeout=10)
    if caller.left_over():
        counts.add("wrong", "left over")
    caller.close()


def leave(number):
    """Leaves at some byte of the answer, by FIN or reset, or reads slowly
    until then; sometimes with another request behind."""
    dice = random.Random("%d leave %d" % (SEED, number))
    while time.monotonic() < end:
        status, size, path = draw(dice, "x")
        conn = socket.socket()
        if dice.random() < 0.5:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        conn.settimeout(5)
        try:
            conn.connect(("127.0.0.1", port))
            text = request_text("POST", path, body="{}")
            conn.sendall(text * dice.choice((1, 1, 2)))
            left = dice.choice((0, 1, 40, 200, 200 + size // 2, 250 + size,
                                1000000))
            pause_s = dice.choice((0, 0, 0.005, 0.05))
            give_up = time.monotonic() + 1
            while left > 0 and time.monotonic() < give_up:
                conn.settimeout(0.1)
                part = conn.recv(min(left, dice.choice((1, 100, 4096))))
                if not part:
                    break
                left -= len(part)
                time.sleep(pause_s)
        except OSError:
            pass
        if dice.random() < 0.5:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        conn.close()
        counts.add("left")


def running():
    text = request(fleet.operators["i0"], "GET", "/metrics").body
    return sum(int(float(line.split()[-1])) for line in text.splitlines()
               if line.startswith("mimosapath_path_requests_running"))


counts = Counts()
fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    port = fleet.callers["i0"]
    end = time.monotonic() + SECONDS
    threads = [in_background(lambda n=n, f=f: f(n))
               for n in range(6) for f in (keep, leave)]
    for thread in threads:
        thread.join(SECONDS + 30)
    print("ended", not any(thread.is_alive() for thread in threads))
    print("many", counts.whole > 100, counts.left > 50)
    print("wrong", len(counts.wrong), *sorted(counts.wrong)[:3])
    print("left behind", wait_for(lambda: running() == 0 or None) is None)
    print("reserved", fleet.wait_settled()["reserved_mtok"])
    print("alive", fleet.processes["i0"].poll() is None)
    if os.environ.get("COUNTS"):
        print("whole", counts.whole, "left", counts.left)
