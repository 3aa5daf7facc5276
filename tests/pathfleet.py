"""Targets of a pool, and the list that names them, for scripted runs.

A target reads whole requests and does with each what its path says; the
scripts look at what it got and at the bytes that its caller got.
"""

import json
import re
import socket
import struct
import threading
import time

from fleet import KEY, Fleet, free_port, in_background

EVENT = "id: %d\ndata: piece-%d\n\n"


class Target:
    """One target. behave(target, request, link) answers a request; request
    has method, path, headers, body and count, its number on this target."""

    def __init__(self, name, behave, pool="p"):
        self.name, self.behave, self.pool = name, behave, pool
        self.requests = []
        self.connections = 0
        self.links = []
        self.ends = 0
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        in_background(lambda: self.accept(self.listener))

    def entry(self, leaving=False):
        return {"incarnation": self.name, "pool": self.pool, "zone": "a",
                "address": "127.0.0.1:%d" % self.port, "slots": 8,
                "leaving": leaving}

    def accept(self, listener):
        while True:
            try:
                link, _ = listener.accept()
            except OSError:
                return
            self.connections += 1
            with self.lock:
                self.links.append(link)
            in_background(lambda l=link: self.serve(l))

    def crash(self, down_s):
        """Ends as a process does: nobody listens, all connections are reset.
        After down_s it is back, under its name and at its address."""
        with self.lock:
            if not self.links:
                return
            self.ends += 1
            links, self.links = self.links, []
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for link in links:
            try:
                link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                link.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # closed already
            link.close()
        threading.Timer(down_s, self.come_back).start()

    def come_back(self):
        self.listener = socket.create_server(("127.0.0.1", self.port),
                                             backlog=64)
        self.accept(self.listener)

    def serve(self, link):
        source = link.makefile("rb")
        try:
            while True:
                line = source.readline().decode()
                if not line:
                    return
                method, path, _ = line.split(" ")
                headers = {}
                while True:
                    line = source.readline().decode().rstrip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = source.read(int(headers.get("content-length", 0)))
                request = {"method": method, "path": path,
                           "headers": headers, "body": body,
                           "count": len(self.requests)}
                self.requests.append(request)
                if self.behave(self, request, link) is False:
                    link.close()
                    return
        except OSError:
            pass

    def stop(self):
        self.listener.close()


def answer(link, request, body="ok", status=200, more=""):
    """A whole answer with a length."""
    link.sendall(("HTTP/1.1 %d X\r\nx-mimosapath-request: %s\r\n%s"
                  "Content-Length: %d\r\n\r\n%s" % (
                      status, request["headers"].get(
                          "x-mimosapath-request", ""), more, len(body),
                      body)).encode())


def start_events(link, request):
    link.sendall(("HTTP/1.1 200 X\r\nx-mimosapath-request: %s\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" %
                  request["headers"].get("x-mimosapath-request", ""))
                 .encode())


def send_chunk(link, text):
    link.sendall(("%x\r\n%s\r\n" % (len(text), text)).encode())


def end_chunks(link):
    link.sendall(b"0\r\n\r\n")


class TargetList:
    """Tells the targets; while gate, an event, is not set it is silent."""

    def __init__(self, targets, gate=None, tell=None):
        self.gate = gate
        self.entries = [t.entry() for t in targets]
        self.server = Target("list", tell or self.tell)
        self.address = "127.0.0.1:%d" % self.server.port

    def tell(self, target, request, link):
        if self.gate:
            self.gate.wait(20)
        answer(link, request, json.dumps({"targets": self.entries,
                                          "next": None}))


class LendingFleet(Fleet):
    """A fleet whose instances without a data folder lend to each other."""

    def write_settings(self, name):
        super().write_settings(name)
        if name in self.control:
            return
        with open(self.path(name + ".json")) as text:
            settings = json.load(text)
        self.peers = getattr(self, "peers", {})
        self.peers.setdefault(name, free_port())
        settings["listen"]["peers"] = "127.0.0.1:%d" % self.peers[name]
        self.write(name + ".json", json.dumps(settings))


def path_conf(prefix, repeat="once", stream=False, attempts=1,
              timeout_ms=5000, pool="p"):
    return {"host": "h.example", "prefix": prefix,
            "repeat": repeat, "stream": stream, "attempts_most": attempts,
            "timeout_ms": timeout_ms, "latency_target_ms": 500,
            "affinity": stream,
            "shares": [{"pool": pool, "weight": 1}]}


def path_fleet(targets, paths, prepaid=None, gate=None, tell=None,
               kind=Fleet, **more):
    """A fleet whose paths lead to targets; returns it and the list."""
    listed = TargetList(targets, gate, tell)
    document = {"paths": {p["prefix"].strip("/"): p for p in paths},
                "pools": {"p": {"engine": {
        "slots": 8, "event_tokens": 3}}}}
    if "more_limits" in more:
        document["limits"] = more.pop("more_limits")
    for pool in more.pop("more_pools", []):
        document["pools"][pool] = {}
    if prepaid is not None:
        document["prepaid_tokens"] = prepaid
    settings = {"target_list": {"address": listed.address,
                                "interval_ms": 200}}
    settings.update(more.pop("more_settings", {}))
    fleet = kind(engines=1, services=1, more_document=document,
                 more_settings=settings, budget_tokens=0, **more)
    return fleet, listed


def send(fleet, name, path, headers=None, body="", method="POST",
         key=KEY, timeout=10, wait=True):
    """Sends a request as bytes; returns the bytes of the answer, up to the
    end of the connection."""
    fields = {"host": "h.example", "authorization": "Bearer " + key,
              "connection": "close", "content-length": str(len(body))}
    fields.update(headers or {})
    text = "%s %s HTTP/1.1\r\n%s\r\n%s" % (
        method, path, "".join("%s: %s\r\n" % f for f in fields.items()
                              if f[1] is not None), body)
    link = socket.create_connection(("127.0.0.1", fleet.callers[name]),
                                    timeout)
    link.sendall(text.encode())
    if not wait:
        return link
    return read_all(link)


def read_all(link):
    data = b""
    try:
        while True:
            more = link.recv(65536)
            if not more:
                break
            data += more
    except OSError as error:
        data += ("<%s>" % type(error).__name__).encode()
    link.close()
    return data


def status_of(data):
    return data.split(b" ", 2)[1].decode() if b" " in data else "none"


def header_of(data, name):
    for line in data.split(b"\r\n\r\n", 1)[0].split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name.encode():
            return value.strip().decode()
    return None


def chunks_of(data):
    """The body, and how it ended: whole, cut, or malformed."""
    body, rest = b"", data.split(b"\r\n\r\n", 1)[1]
    while rest:
        line, mark, rest = rest.partition(b"\r\n")
        if not mark:
            return body.decode(), "cut"
        try:
            size = int(line, 16)
        except ValueError:
            return body.decode(), "malformed"
        if size == 0:
            return body.decode(), "whole"
        if len(rest) < size + 2:
            return (body + rest[:size]).decode(), "cut"
        body, rest = body + rest[:size], rest[size + 2:]
    return body.decode(), "cut"


def answer_stream(link, request, events):
    """A whole stream."""
    start_events(link, request)
    for event in range(events):
        send_chunk(link, EVENT % (event, event))
    end_chunks(link)


def ask_stream(fleet, name, identity, prompt, events, event_tokens):
    """Asks for a stream; returns its status and the tokens delivered."""
    data = send(fleet, name, "/stream/x", {
        "x-mimosapath-request": identity,
        "x-mimosapath-tokens": "%d,%d" % (prompt, events * event_tokens)})
    seen = len(re.findall(rb"^id: \d+", data, re.M))
    return status_of(data), event_tokens * seen + (prompt if seen else 0)


def wait_targets(fleet, name, path="/ready/", seconds=10):
    """Waits until requests reach a target; the path must lead there."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if status_of(send(fleet, name, path)) == "200":
            return True
        time.sleep(0.05)
    return False
