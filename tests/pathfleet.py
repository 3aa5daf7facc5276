"""Simulated targets of pools, and the target list that names them, for the
scripts in tests/runs.

A simulated target reads complete requests and passes each one to a function of
the script.  The scripts check the requests that targets received and the
bytes that callers received.
"""

import json
import re
import socket
import struct
import threading
import time

from fleet import KEY, Fleet, free_port, in_background, wait_for

# Names of the two interfaces: the header of the id, the header of a refusal,
# and what names a caller.
NATIVE = {"id": "x-mimosapath-request", "not_run": "x-mimosapath-not-run",
          "caller": {}, "resumes": "x-mimosapath-resumes"}
PLATFORM = {"id": "x-attempt-id", "not_run": "x-not-executed",
            "caller": {"x-api-key": KEY}, "resumes": "resumes"}

EVENT = "id: %d\ndata: piece-%d\n\n"


class SimTarget:
    """A simulated target.  handle_request(target, request, conn) responds to a
    request, a dictionary of method, path, headers, body and count (the number
    of earlier requests to this target); if it returns False, the connection
    is closed."""

    slots = 8

    def __init__(self, name, handle_request, pool="p"):
        self.name, self.handle_request, self.pool = name, handle_request, pool
        self.requests = []
        self.connection_count = 0
        self.conns = []
        self.crash_count = 0
        self.stands_until_s = 0  # monotonic: answers nothing before then
        self.proxy = None  # a CutProxy that goes down with it
        self.lock = threading.Lock()
        # Nobody else gets the port while the target is down.
        self.port = free_port()
        self.listener = socket.create_server(("127.0.0.1", self.port),
                                             backlog=64)
        in_background(lambda: self.accept(self.listener))

    def entry(self, leaving=False):
        return {"incarnation": self.name, "pool": self.pool, "zone": "a",
                "address": "127.0.0.1:%d" % self.port, "slots": self.slots,
                "leaving": leaving}

    def accept(self, listener):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            self.connection_count += 1
            with self.lock:
                self.conns.append(conn)
            in_background(lambda c=conn: self.serve(c))

    def crash(self, down_s):
        """Acts as a crashed process: stops listening and resets all
        connections.  After down_s seconds the target is back, with the same
        name and address."""
        with self.lock:
            if not self.conns:
                return
            self.crash_count += 1
            conns, self.conns = self.conns, []
        if self.proxy:
            self.proxy.stop()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in conns:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                conn.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # the peer has closed it
            conn.close()
        threading.Timer(down_s, self.restart).start()

    def restart(self):
        self.listener = socket.create_server(("127.0.0.1", self.port),
                                             backlog=64)
        if self.proxy:
            self.proxy.listen()
        self.accept(self.listener)

    def before_body(self, path):
        """Called before the body of each request is read."""

    def serve(self, conn):
        source = conn.makefile("rb")
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
                self.before_body(path)
                body = source.read(int(headers.get("content-length", 0)))
                time.sleep(max(0, self.stands_until_s - time.monotonic()))
                if (method, path) == ("OPTIONS", "*"):
                    conn.sendall(b"HTTP/1.1 204 X\r\n"
                                 b"Connection: close\r\n\r\n")
                    return
                request = {"method": method, "path": path,
                           "headers": headers, "body": body,
                           "count": len(self.requests)}
                self.requests.append(request)
                if self.handle_request(self, request, conn) is False:
                    return
        except OSError:
            pass
        finally:
            source.close()
            conn.close()
            with self.lock:
                if conn in self.conns:
                    self.conns.remove(conn)

    def stop(self):
        self.listener.close()


def id_line(request):
    """Returns the header line that names the request, on either interface."""
    name = next((n["id"] for n in (NATIVE, PLATFORM)
                 if n["id"] in request["headers"]), NATIVE["id"])
    return "%s: %s\r\n" % (name, request["headers"].get(name, ""))


def respond(conn, request, body="ok", status=200, extra_headers=""):
    """Sends a complete response with a content length."""
    conn.sendall(("HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        status, id_line(request), extra_headers, len(body), body)).encode())


def start_event_stream(conn, request, extra_headers=""):
    conn.sendall(("HTTP/1.1 200 X\r\n%s%s"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" % (
                      id_line(request), extra_headers)).encode())


def send_chunk(conn, text):
    conn.sendall(("%x\r\n%s\r\n" % (len(text), text)).encode())


def end_chunks(conn):
    conn.sendall(b"0\r\n\r\n")


class TargetList:
    """Serves the target list; if may_respond, an event, is given, it does not
    respond until the event is set.  list_handler replaces its responses."""

    def __init__(self, targets, may_respond=None, list_handler=None):
        self.may_respond = may_respond
        self.entries = [t.entry() for t in targets]
        self.server = SimTarget("list", list_handler or self.list_handler)
        self.address = "127.0.0.1:%d" % self.server.port

    def list_handler(self, target, request, conn):
        if self.may_respond:
            self.may_respond.wait(20)
        respond(conn, request, json.dumps({"targets": self.entries,
                                           "next": None}))


class LendingFleet(Fleet):
    """A fleet whose instances without a data folder lend budget to each
    other."""

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


def path_fleet(targets, paths, prepaid=None, may_respond=None,
               list_handler=None, fleet_class=Fleet, **options):
    """Returns a fleet whose paths lead to the targets, and its target
    list."""
    listed = TargetList(targets, may_respond, list_handler)
    document = {"paths": {p["prefix"].strip("/"): p for p in paths},
                "pools": {"p": {"engine": {
        "slots": 8, "event_tokens": 3}}}}
    document["pools"]["p"].update(options.pop("extra_pool", {}))
    if "extra_limits" in options:
        document["limits"] = options.pop("extra_limits")
    for pool in options.pop("extra_pools", []):
        document["pools"][pool] = {}
    if prepaid is not None:
        document["prepaid_tokens"] = prepaid
    settings = {"target_list": {"address": listed.address,
                                "interval_ms": 200}}
    settings.update(options.pop("extra_settings", {}))
    fleet = fleet_class(engines=1, services=1, extra_document=document,
                        extra_settings=settings, budget_tokens=0, **options)
    return fleet, listed


class PlatformFleet(Fleet):
    """A fleet that speaks the platform's dialect."""

    def __init__(self, paths=None, prepaid=None, **options):
        super().__init__(engines=0, services=0, budget_tokens=0, wait=False,
                         **options)
        tenant = {"name": "w", "api-keys": [KEY]}
        if prepaid is not None:
            tenant["prepaid"] = prepaid
        routes = [{
            "name": p["prefix"].strip("/"), "host": p["host"],
            "path-prefix": p["prefix"], "service": p["shares"][0]["pool"],
            "route-type": "streaming" if p["stream"] else
                          {"once": "non_idempotent",
                           "any": "idempotent"}[p["repeat"]],
            "stream-resume": p["repeat"] == "resume",
            "timeout-ms": p["timeout_ms"], "max-attempts": p["attempts_most"],
            "target-latency-ms": p["latency_target_ms"],
            "itl-target-ms": p.get("event_gap_ms", 0)} for p in paths]
        document = {"version": 1, "routes": routes, "services": [
            {"name": p["shares"][0]["pool"]} for p in paths[:1]],
            "tenants": [tenant]}
        self.configuration = document
        if not wait_for(lambda: self.operator_request(
                "POST", "/config/replace",
                json.dumps(document)).status == 200):
            raise SystemExit("the configuration is not accepted")
        if not wait_for(lambda: all(self.is_listening(n)
                                    for n in self.names)):
            raise SystemExit("an instance does not listen")

    def is_listening(self, name):
        try:
            socket.create_connection(("127.0.0.1", self.callers[name]),
                                     2).close()
        except OSError:
            return False
        return True

    def write_settings(self, name):
        super().write_settings(name)
        with open(self.path(name + ".json")) as text:
            settings = json.load(text)
        settings["dialect"] = "platform"
        settings.pop("first_document", None)
        self.write(name + ".json", json.dumps(settings))


def platform_entry(target, version="v1"):
    return {"id": target.name, "service": target.pool, "zone": "a",
            "address": "127.0.0.1:%d" % target.port, "version": version,
            "slots": target.slots, "state": "ready"}


def platform_fleet(targets, paths, fleet_class=PlatformFleet, **options):
    """Returns a fleet with the platform's dialect whose routes lead to the
    targets, and its target list."""
    listed = TargetList([], list_handler=lambda target, request, conn: respond(
        conn, request, json.dumps({"instances": listed.entries,
                                   "next": None})))
    listed.entries = [platform_entry(t) for t in targets]
    settings = {"target_list": {"address": listed.address,
                                "interval_ms": 200}}
    settings.update(options.pop("extra_settings", {}))
    fleet = fleet_class(paths=paths, extra_settings=settings, **options)
    return fleet, listed


def send(fleet, name, path, headers=None, body="", method="POST",
         key=KEY, timeout=10, wait=True):
    """Sends a request; returns the bytes of the response up to the end of the
    connection, or the connection if wait is not set."""
    fields = {"host": "h.example", "authorization": "Bearer " + key,
              "connection": "close", "content-length": str(len(body))}
    fields.update(headers or {})
    text = "%s %s HTTP/1.1\r\n%s\r\n%s" % (
        method, path, "".join("%s: %s\r\n" % f for f in fields.items()
                              if f[1] is not None), body)
    conn = socket.create_connection(("127.0.0.1", fleet.callers[name]),
                                    timeout)
    conn.sendall(text.encode())
    if not wait:
        return conn
    return read_all(conn)


def read_all(conn):
    data = b""
    try:
        while True:
            part = conn.recv(65536)
            if not part:
                break
            data += part
    except OSError as error:
        data += ("<%s>" % type(error).__name__).encode()
    conn.close()
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
    """Returns the body, and how it ended: whole, cut, or malformed."""
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


def respond_stream(conn, request, events):
    """Sends a complete event stream."""
    start_event_stream(conn, request)
    for event in range(events):
        send_chunk(conn, EVENT % (event, event))
    end_chunks(conn)


def request_stream(fleet, name, request_id, prompt, events, event_tokens):
    """Requests a stream; returns its status and the tokens delivered."""
    data = send(fleet, name, "/stream/x", {
        "x-mimosapath-request": request_id,
        "x-mimosapath-tokens": "%d,%d" % (prompt, events * event_tokens)})
    seen = len(re.findall(rb"^id: \d+", data, re.M))
    return status_of(data), event_tokens * seen + (prompt if seen else 0)


def wait_targets(fleet, name, path="/ready/", seconds=10, headers=None):
    """Waits until a request on the path is served; returns whether it was."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if status_of(send(fleet, name, path, headers)) == "200":
            return True
        time.sleep(0.05)
    return False


class ReadError(Exception):
    """What a caller received is not a sequence of complete responses."""


class Answer:
    """One response as received: status, reason, header list and body."""

    def __init__(self, head):
        line, *fields = head.decode("latin-1").split("\r\n")
        version, status, self.reason = (line.split(" ", 2) + ["", ""])[:3]
        if not version.startswith("HTTP/1.") or not status.isdigit():
            raise ReadError("no status line: %r" % line)
        self.status = int(status)
        self.headers = [(n.strip().lower(), v.strip()) for n, _, v in
                        (f.partition(":") for f in fields)]
        self.body = b""

    def all(self, name):
        return [v for n, v in self.headers if n == name]

    def has_length(self):
        return bool(self.all("content-length") +
                    self.all("transfer-encoding"))

    def first(self, name):
        return (self.all(name) + [None])[0]


class KeptCaller:
    """A caller that keeps its connection, and splits the bytes that it
    receives into responses by their heads and by nothing else."""

    def __init__(self, port, timeout=3, window=None):
        self.conn = socket.socket()
        if window:
            self.conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.conn.settimeout(timeout)
        self.conn.connect(("127.0.0.1", port))
        self.data = b""
        self.methods = []
        self.answers = 0
        self.is_reset = False

    def send(self, method, path, headers=(), body="", version="1.1"):
        self.write(method, request_text(method, path, headers, body, version))

    def write(self, method, text):
        self.methods.append(method)
        self.conn.sendall(text)

    def fill(self):
        """Receives more; returns whether the connection is still open."""
        try:
            part = self.conn.recv(65536)
        except ConnectionError:
            self.is_reset = True
            part = b""
        except socket.timeout:
            raise ReadError("nothing more comes") from None
        self.data += part
        return bool(part)

    def take(self, size):
        while len(self.data) < size:
            if not self.fill():
                raise ReadError("cut")
        part, self.data = self.data[:size], self.data[size:]
        return part

    def take_line(self, end=b"\r\n"):
        while end not in self.data:
            if not self.fill():
                raise ReadError("cut" if self.data or not self.answers else
                                "closed")
        line, _, self.data = self.data.partition(end)
        return line

    def read_chunks(self):
        body = b""
        while True:
            line = self.take_line()
            try:
                size = int(line, 16)
            except ValueError:
                raise ReadError("no chunk: %r" % line) from None
            part = self.take(size + 2)
            if not part.endswith(b"\r\n"):
                raise ReadError("chunk without its end")
            if size == 0:
                return body
            body += part[:-2]

    def read(self):
        """Reads the response to the oldest request without one."""
        method = self.methods.pop(0)
        answer = Answer(self.take_line(b"\r\n\r\n"))
        lengths = answer.all("content-length")
        encodings = answer.all("transfer-encoding")
        if len(lengths) + len(encodings) > 1:
            raise ReadError("more than one length")
        if answer.status in (204, 304) or method == "HEAD":
            pass
        elif encodings:
            answer.body = self.read_chunks()
        elif lengths:
            answer.body = self.take(int(lengths[0]))
        else:
            while self.fill():
                pass
            if self.is_reset:
                raise ReadError("cut")
            answer.body, self.data = self.data, b""
        self.answers += 1
        return answer

    def left_over(self, wait_s=0.15):
        """Returns the bytes that belong to no response."""
        self.conn.settimeout(wait_s)
        try:
            while self.fill():
                pass
        except ReadError:
            pass
        return self.data

    def close(self):
        self.conn.close()


def request_text(method, path, headers=(), body="", version="1.1"):
    fields = [("host", "h.example"), ("authorization", "Bearer " + KEY)]
    if body or method == "POST":
        fields.append(("content-length", len(body)))
    fields += list(headers)
    return ("%s %s HTTP/%s\r\n%s\r\n%s" % (
        method, path, version, "".join("%s: %s\r\n" % f for f in fields),
        body)).encode()


class ServiceFleet(Fleet):
    """A fleet whose service "raw" is served by a simulated target of the
    script; of its routes, GET and HEAD may run again."""

    service_target = None

    def document(self):
        document = super().document()
        target = ServiceFleet.service_target
        if target:
            document["targets"]["raw-0"] = {
                "address": "127.0.0.1:%d" % target.port, "zone": "a",
                "capacity": 64}
            document["services"]["raw"] = {
                "targets": ["raw-0"], "price_mtok": 0, "timeout_ms": 5000}
            for workspace in document["workspaces"].values():
                workspace["services"].append("raw")
        return document


def serve_status(handle_request):
    """Wraps the handler of a service's target so that it answers the polls
    of instances."""
    def handle(target, req, conn):
        if req["path"].startswith("/status"):
            target.requests.pop()
            return respond(conn, req, json.dumps(
                {"name": target.name, "boot": target.name}))
        return handle_request(target, req, conn)
    return handle


def relay_fleet(handle_request):
    """Returns a fleet whose path /x/ and whose service "raw" lead to the same
    handler of requests, and the prefixes of both."""
    def handle(target, req, conn):
        if req["path"].startswith("/ready/"):
            return respond(conn, req)
        return handle_request(target, req, conn)
    target = SimTarget("t0", handle)
    target.slots = 64
    ServiceFleet.service_target = SimTarget("raw-0", serve_status(handle))
    fleet, _ = path_fleet([target], [path_conf("/ready/"), path_conf("/x/")],
                          instances=1, control=1, fleet_class=ServiceFleet)
    return fleet, {"path": "/x/", "native": "/services/raw/x/"}


def wait_for_service(fleet, name, seconds=10):
    """Waits until a request of the service "raw" is served."""
    fleet.topup("w", 100000)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if status_of(send(fleet, name, "/services/raw/ready/")) == "200":
            return True
        time.sleep(0.05)
    return False
