"""Callers of our own API keep their connections, some pipeline, beside a new
document each 0.1 s (targets, models and keys come and go, limits change),
SIGHUP of all instances, leaders that are killed, a quorum that is lost for up
to 2.5 s, and stops of their routers at moments that sweep over the life of a
request.  Each whole request gets an answer or a refusal in time; a stream that
cannot go on says so.  SEED, PLAY_SECONDS, KINDS and COUNTS=1 as for the soak."""
import copy
import json
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from fleet import KEY, Fleet, in_background

SEED = int(os.environ.get("SEED", "1"))
PLAY_S = float(os.environ.get("PLAY_SECONDS", "12"))
KINDS = os.environ.get("KINDS", "document hup leader quorum term").split()
ROUTERS = ("i3", "i4")
OTHER_KEY = "other-key"
ANSWER_MAX_S = 20
ends, is_over = Counter(), False
started_s = {}  # of instances that were started again


class Ended(Exception):
    """The connection ended, or nothing came in time."""


class Connection:
    def __init__(self, router):
        self.conn = socket.create_connection(
            ("127.0.0.1", fleet.callers[router]), ANSWER_MAX_S)
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data, self.parts = b"", []

    def is_closed(self):
        """Whether the instance has closed its side, which a client looks at
        before it sends its next request."""
        self.conn.settimeout(0)
        try:
            return self.conn.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        finally:
            self.conn.settimeout(ANSWER_MAX_S)

    def fill(self):
        try:
            part = self.conn.recv(65536)
        except socket.timeout:
            raise Ended("held")
        except OSError:
            part = b""
        if not part:
            raise Ended("ended")
        self.data += part

    def line(self):
        while b"\r\n" not in self.data:
            self.fill()
        line, _, self.data = self.data.partition(b"\r\n")
        return line.decode()

    def take(self, size):
        while len(self.data) < size:
            self.fill()
        taken, self.data = self.data[:size], self.data[size:]
        return taken

    def head(self):
        status, headers = self.line().split(" ")[1], {}
        while True:
            name, colon, value = self.line().partition(":")
            if not colon:
                return status, headers
            headers[name.lower()] = value.strip()

    def body(self, headers):
        if "content-length" in headers:
            self.take(int(headers["content-length"]))
            return
        self.parts = []
        while True:
            size = int(self.line(), 16)
            self.parts.append(self.take(size + 2)[:-2])
            if size == 0:
                return


def request_text(kind, key, name):
    method, path, body = "POST", "/v1/chat/completions", "id=" + name
    if kind in ("chat", "stream"):
        body = json.dumps({
            "model": "m", "stream": kind == "stream", "max_tokens": 6,
            "messages": [{"role": "user", "content": body + " #long"}]})
    elif kind == "booking":
        path = "/services/s/lots"
    else:
        method, path, body = "GET", "/services/s/stock", ""
    return ("%s %s HTTP/1.1\r\nhost: x\r\nauthorization: Bearer %s\r\n"
            "idempotency-key: %s\r\ncontent-length: %d\r\n\r\n%s" % (
                method, path, key, name, len(body), body)).encode()


def read_answer(connection, is_behind_close):
    """Counts the end of a request; returns whether the connection goes on,
    and whether it is to be closed."""
    try:
        status, headers = connection.head()
    except Ended as end:
        # A client may not expect an answer behind one that closes.
        ends["behind a close" if is_behind_close else str(end)] += 1
        return False, False
    try:
        connection.body(headers)
    except Ended as end:
        is_told = b'"error"' in b"".join(connection.parts)
        ends["told" if is_told else "cut, " + str(end)] += 1
        return False, False
    ends[status] += 1
    return True, headers.get("connection") == "close"


def call(router, key, number, depth):
    """Sends requests, depth at a time, on connections that are kept."""
    rnd = random.Random(SEED * 1000 + number)
    connection, sent = None, 0
    while not is_over:
        time.sleep(rnd.random() * 0.02)
        try:
            if not connection or connection.is_closed():
                connection = Connection(router)
            sent += depth
            connection.conn.sendall(b"".join(
                request_text(rnd.choice(("chat", "stream", "booking", "stock")),
                             key, "%d-%d" % (number, sent - n))
                for n in range(depth)))
        except OSError:
            ends["not sent"] += 1
            connection = None
            time.sleep(0.02)
            continue
        goes_on, closes = True, False
        for _ in range(depth):
            if goes_on:
                goes_on, closes = read_answer(connection, closes)
        if closes or not goes_on:
            connection.conn.close()
            connection = None


def change_documents():
    base, version, number = fleet.document(), 1, 0
    while not is_over:
        time.sleep(0.1)
        number += 1
        document = copy.deepcopy(base)
        change = number % 6
        if change == 1:
            document["services"]["s"]["targets"] = ["service-0"]
            document["models"]["m"]["targets"] = ["engine-1"]
        elif change == 2:
            del document["workspaces"]["v"]
        elif change == 3:
            document["models"] = {}
            for workspace in document["workspaces"].values():
                workspace["models"] = []
        elif change == 4:
            document["limits"] = {"idle_timeout_ms": 300 + number % 4 * 2000}
        elif change == 5:
            document["workspaces"]["w"]["concurrent_most"] = 2
        response = fleet.put_document(document, version, "d%d" % number, "i0")
        if response.status == 200:
            version = response.json()["version"]
        elif response.status == 412:
            version = (fleet.status("i0") or {}).get("document_version",
                                                     version)


def start_again(name):
    started_s[name] = time.monotonic()
    fleet.start(name)


def reload_settings():
    while not is_over:
        time.sleep(0.1)
        for name in fleet.names:
            # A signal ends a process that has not reached main.
            if (fleet.processes[name].poll() is None and
                    time.monotonic() - started_s.get(name, 0) > 1):
                fleet.processes[name].send_signal(signal.SIGHUP)


def disturb_control():
    """Kills the leader and stops the others in turn, one at a time, so that
    the two do not overlap."""
    rnd = random.Random(SEED)
    while not is_over:
        time.sleep(1)
        leader = fleet.leader() if "leader" in KINDS else None
        if leader:
            fleet.kill(leader)
            time.sleep(0.3)
            start_again(leader)
            time.sleep(1)
        if "quorum" in KINDS:
            for number in (signal.SIGSTOP, signal.SIGCONT):
                for name in ("i1", "i2"):
                    fleet.kill(name, number)
                time.sleep(rnd.choice((0.5, 1.5, 2.5))
                           if number == signal.SIGSTOP else 1)


def stop_routers():
    turn = 0
    while not is_over:
        time.sleep(0.8 + turn % 20 * 0.037)
        router = ROUTERS[turn % 2]
        turn += 1
        status = fleet.kill(router, signal.SIGTERM)
        ends["exit %s" % status] += status != 0
        start_again(router)


with Fleet(instances=5, control=3, engines=2, services=2,
           workspaces={"w": KEY, "v": OTHER_KEY},
           persistent=["i0", "i1", "i2", "i3"],
           partition="lease", engine_options=["--token-us", "15000"],
           service_options=["--call-us", "60000"],
           extra_settings={"drain_ms": 900, "drain_notice_ms": 200}) as fleet:
    callers = [(router, key, depth) for router in ROUTERS
               for key in (KEY, OTHER_KEY) for depth in (1, 1, 1, 3)]
    threads = [in_background(lambda c=c, n=n: call(c[0], c[1], n, c[2]))
               for n, c in enumerate(callers)]
    for kind, work in (("document", change_documents), ("term", stop_routers),
                       ("hup", reload_settings)):
        if kind in KINDS:
            threads.append(in_background(work))
    if {"leader", "quorum"} & set(KINDS):
        threads.append(in_background(disturb_control))
    time.sleep(PLAY_S)
    is_over = True
    for thread in threads:
        thread.join(40)
    if os.environ.get("COUNTS"):
        print(dict(ends), file=sys.stderr)
    print("served", ends["200"] > 100)
    print("without an answer", {
        end: count for end, count in ends.items() if count and
        end.startswith(("held", "ended", "cut", "exit"))})
