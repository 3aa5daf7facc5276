"""A small deployment on loopback addresses: the two roles of the deploy file
with settings rendered from its template, and stand-ins for the platform's
list, model servers, the operator and clients, by the platform's pages."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
ZONES = ["a", "b", "c"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def in_background(work, *arguments):
    thread = threading.Thread(target=work, args=arguments, daemon=True)
    thread.start()
    return thread


def wait_for(check, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.05)
    return False


# -- settings, as the platform renders them --

def find(scopes, name):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        if value is not None:
            return value
    return None


def show(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(show(v) for v in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def render(text, scopes, item=(None, None, True)):
    out, at = "", 0
    for tag in iter(lambda: re.compile(r"\{\{(.*?)\}\}").search(text, at),
                    None):
        out += text[at:tag.start()]
        at, name = tag.end(), tag[1]
        if name[0] in "#^":
            depth, end = 1, at
            for inner in re.compile(r"\{\{([#^/])(.*?)\}\}").finditer(text,
                                                                     at):
                if inner[2] == name[1:]:
                    depth += -1 if inner[1] == "/" else 1
                if depth == 0:
                    end = inner
                    break
            body, at = text[at:end.start()], end.end()
            value = find(scopes, name[1:])
            if name[0] == "^":
                if value is None or value is False:
                    out += render(body, scopes, item)
                continue
            if isinstance(value, (dict, list)):
                pairs = (list(value.items()) if isinstance(value, dict)
                         else list(enumerate(value)))
                is_inner = body.find("{{.}}") >= 0 or body.find("{{@}}") >= 0
                if isinstance(value, dict) and not is_inner:
                    out += render(body, scopes + [value], item)
                    continue
                for number, (key, entry) in enumerate(pairs):
                    inner = scopes + ([entry] if isinstance(entry, dict)
                                      else [])
                    out += render(body, inner,
                                  (key, entry, number + 1 == len(pairs)))
            elif value is not None and value is not False:
                out += render(body, scopes, item)
        elif name == ".":
            out += show(item[1])
        elif name == "@":
            out += show(item[0])
        elif name == ",":
            out += "" if item[2] else ","
        elif name.endswith("|json"):
            out += json.dumps(find(scopes, name[:-5]))
        else:
            out += show(find(scopes, name))
    return out + text[at:]


# -- servers and the platform's list --

class HttpStandIn:
    """Reads requests; handle(self, request, conn) answers them and returns
    False if the connection ends."""

    def __init__(self, address, handle):
        self.handle = handle
        self.listener = socket.create_server((address, 0), backlog=512)
        self.address = "%s:%d" % self.listener.getsockname()
        in_background(self.accept)

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_background(self.serve, conn)

    def serve(self, conn):
        source = conn.makefile("rb")
        try:
            while True:
                line = source.readline().decode()
                if not line:
                    return
                method, path, _ = line.split(" ", 2)
                headers = {}
                while True:
                    line = source.readline().decode().rstrip("\r\n")
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = source.read(int(headers.get("content-length", 0)))
                request = {"method": method, "path": path,
                           "headers": headers, "body": body,
                           "id": headers.get("x-attempt-id", "")}
                if self.handle(request, conn) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            source.close()
            conn.close()


def respond(conn, status, body, headers=()):
    if not isinstance(body, bytes):
        body = body.encode()
    lines = ["HTTP/1.1 %d Answer" % status]
    lines += ["%s: %s" % header for header in headers]
    lines.append("Content-Length: %d" % len(body))
    conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Server:
    """A model server.  Streams events events, one each gap_s; one event holds
    stride tokens."""

    def __init__(self, deployment, service, version, events, gap_s):
        self.deployment, self.service, self.version = (deployment, service,
                                                       version)
        self.events, self.gap_s, self.active = events, gap_s, 0
        self.id = "i-%08x" % random.getrandbits(32)
        self.zone = random.choice(ZONES)
        self.http = HttpStandIn(deployment.address(200), self.serve)

    def entry(self):
        return {"id": self.id, "service": self.service, "zone": self.zone,
                "address": self.http.address, "version": self.version,
                "slots": 64, "state": "ready", "cold-remaining-ms": 0}

    def serve(self, request, conn):
        named = [("X-Attempt-Id", request["id"])] if request["id"] else []
        if request["path"] == "/healthz":
            return respond(conn, 200, "", [
                ("X-Instance-Id", self.id),
                ("X-Server-Load", "0,%d,0" % self.active)])
        if request["path"] == "/report":
            return respond(conn, 200, json.dumps({
                "stage": "unified", "busy": False, "sequence": 0, "queued": 0,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "active": self.active, "kv-used": 0, "kv-total": 246644,
                "handles": 0}), [("Content-Type", "application/json")])
        if not request["id"]:
            return respond(conn, 400, "no id", [("X-Not-Executed", "id")])
        if request["headers"].get("x-expect-instance", self.id) != self.id:
            return respond(conn, 421, "", named + [("X-Not-Executed",
                                                    "other")])
        first = int(request["headers"].get("last-event-id", -1)) + 1
        self.deployment.note("run id=%s server=%s version=%s from_event=%d" % (
            request["id"], self.id, self.version, first))
        with self.deployment.lock:
            self.active += 1
        try:
            self.stream(request, conn, first)
        finally:
            with self.deployment.lock:
                self.active -= 1
        return None

    def stream(self, request, conn, first):
        conn.sendall(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "X-Server-Signature: %s.%s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % (
                          request["id"], self.id, request["id"])).encode())
        for event in range(first, self.events):
            text = "id: %d\ndata: %s %s\n\n" % (event, self.version, "t" * 24)
            conn.sendall(("%x\r\n%s\r\n" % (len(text), text)).encode())
            if event + 1 < self.events:
                time.sleep(self.gap_s)
        conn.sendall(b"0\r\n\r\n")


# -- the deployment --

class Deployment:
    """Machines in three zones; the first of a zone has a disk, and the first
    two have the role control."""

    def __init__(self, record, counts=(2, 2, 2)):
        self.folder = tempfile.mkdtemp(prefix="mimosapath-review-")
        self.record = open(record, "w")
        self.lock = threading.Lock()
        self.began_s = time.monotonic()
        self.block = "127.%d.%d" % (random.randint(40, 200),
                                    random.randint(1, 250))
        self.processes, self.entries, self.servers = {}, [], []
        self.ports = self.free_ports()
        self.list = HttpStandIn(self.address(201), self.serve_list)
        self.machines = ["edge-%s-%d" % (zone, number)
                         for number in range(1, max(counts) + 1)
                         for zone, count in zip(ZONES, counts)
                         if number <= count]
        self.bootstrap = True
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as text:
            self.roles = tomllib.load(text)["roles"]

    def note(self, text):
        with self.lock:
            self.record.write("%9.3f %s\n" % (
                time.monotonic() - self.began_s, text))
            self.record.flush()

    def address(self, number):
        return "%s.%d" % (self.block, number)

    def ip(self, machine):
        return self.address(10 + self.machines.index(machine))

    def roles_of(self, machine):
        return (["control", "router"] if int(machine.split("-")[2]) <= 2
                else ["router"])

    def free_ports(self):
        """Returns 22 ports in a row that are free on the first address."""
        while True:
            first = random.randint(20000, 30000)
            try:
                for port in range(first, first + 22):
                    for number in range(10, 20):
                        socket.create_server((self.address(number),
                                              port)).close()
                return list(range(first, first + 22))
            except OSError:
                continue

    def fields(self, machine, role):
        ip, zone = self.ip(machine), machine.split("-")[1]
        listen = ({"front": "%s:%d" % (ip, self.ports[0]),
                   "ready": "%s:%d" % (ip, self.ports[1])}
                  if role == "router" else
                  {"control": "%s:%d" % (ip, self.ports[2])})
        has_disk = machine.endswith("-1")
        fields = {
            "node-name": machine, "role": role, "ip": ip, "zone": zone,
            "region": "r", "zones": {z: "r" for z in ZONES},
            "listen": listen,
            "internal-ports": [self.ports[3], self.ports[18]],
            "seeds": ["%s:%d" % (self.ip("edge-%s-1" % z), self.ports[2])
                      for z in ZONES],
            "bootstrap": self.bootstrap, "fault-counted": has_disk,
            "limits": {"cpu-share": 1.0, "cores": 1, "memory-mb": 260,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 64},
            "bounds": {"grace-s": 8, "retry-budget-ratio": 0.2,
                       "budget-window-s": 10, "budget-slack": 60},
            "cloud": {"address": self.list.address, "rate-per-s": 42.0,
                      "lag-ms": 800}}
        if has_disk and role == "control":
            fields["data-dir"] = os.path.join(self.folder,
                                              "data-" + machine)
        return fields

    def start(self, machine, role):
        with open(os.path.join(ROOT, self.roles[role]["template"])) as text:
            settings = render(text.read(), [self.fields(machine, role)])
        # The template has fixed ports for metrics; others may hold them here.
        for number, port in ((20, 9100), (21, 9101)):
            settings = settings.replace(
                "%s:%d" % (self.ip(machine), port),
                "%s:%d" % (self.ip(machine), self.ports[number]))
        name = "%s.%s" % (machine, role)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w") as out:
            out.write(settings)
        command = [path if word == "/etc/mimosapath/local.yaml" else word
                   for word in self.roles[role]["run"].split(" ")]
        with open(os.path.join(self.folder, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)

    def start_all(self):
        for machine in self.machines:
            for role in self.roles_of(machine):
                self.start(machine, role)

    def signal(self, machine, role, number):
        self.note("signal %s %s.%s" % (signal.Signals(number).name, machine,
                                       role))
        process = self.processes["%s.%s" % (machine, role)]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def add_servers(self, count, service, version, events, gap_s):
        new = [Server(self, service, version, events, gap_s)
               for _ in range(count)]
        self.servers += new
        self.entries = [s.entry() for s in self.servers]
        self.note("list %d of %s at %s" % (count, service, version))

    def serve_list(self, request, conn):
        respond(conn, 200, json.dumps({"instances": self.entries,
                                       "next": None}),
                [("Content-Type", "application/json")])

    def replace_config(self, config):
        """Sends a configuration until it is acknowledged, as the operator."""
        machines = [m for m in self.machines if "control" in self.roles_of(m)]
        for attempt in range(60):
            machine = machines[attempt % len(machines)]
            try:
                conn = http.client.HTTPConnection(self.ip(machine),
                                                  self.ports[2], timeout=1)
                conn.request("POST", "/config/replace", json.dumps(config),
                             {"Content-Type": "application/json"})
                status = conn.getresponse().status
                conn.close()
            except (OSError, http.client.HTTPException):
                status = 0
            if status == 200:
                self.note("config %d acknowledged" % config["version"])
                return True
            time.sleep(0.2)
        return False

    def is_ready(self, machine):
        try:
            conn = http.client.HTTPConnection(self.ip(machine),
                                              self.ports[1], timeout=1)
            conn.request("GET", "/readyz")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Stream:
    """A client's try of a stream at a machine."""

    def __init__(self, deployment, machine, path, gap_max_s, tokens,
                 after=None, resumes=None, first=None):
        self.deployment, self.machine, self.path = deployment, machine, path
        self.gap_max_s, self.after, self.resumes = gap_max_s, after, resumes
        self.tokens = tokens
        self.id = "%016x" % random.getrandbits(64)
        # A take-up repeats the body and the prompt of the first try.
        self.body = first.body if first else '{"prompt": "%s"}' % self.id
        self.prefix = first.prefix if first else "%08x" % random.getrandbits(
            32)
        self.status, self.ids, self.is_whole = 0, [], False
        self.versions, self.how, self.conn = set(), "", None

    def run(self):
        headers = [("Host", HOST), ("X-Attempt-Id", self.id),
                   ("X-Api-Key", KEY), ("X-Deadline-Ms", "15000"),
                   ("X-Model", "m"), ("X-Token-Usage", "%d,%d" % self.tokens),
                   ("X-Prefix-Hash", "%s:%d" % (self.prefix, self.tokens[0])),
                   ("Content-Length", str(len(self.body)))]
        if self.after is not None:
            headers.append(("Last-Event-Id", str(self.after)))
            headers.append(("Resumes", self.resumes))
        self.deployment.note("sent id=%s to=%s%s" % (
            self.id, self.machine, "" if self.after is None else
            " after=%d resumes=%s" % (self.after, self.resumes)))
        data = b""
        try:
            self.conn = socket.create_connection(
                (self.deployment.ip(self.machine), self.deployment.ports[0]),
                1)
            self.conn.settimeout(self.gap_max_s)
            self.conn.sendall(("POST %s HTTP/1.1\r\n%s\r\n%s" % (
                self.path, "".join("%s: %s\r\n" % h for h in headers),
                self.body)).encode())
            while True:
                part = self.conn.recv(65536)
                if not part:
                    self.how = self.how or "closed"
                    break
                data += part
                self.read(data)
                if self.is_whole or (self.status and self.status != 200):
                    self.how = "answered"
                    break
        except socket.timeout:
            self.how = "abandoned after a gap"
        except OSError as error:
            self.how = self.how or type(error).__name__
        finally:
            if self.conn:
                self.conn.close()
        self.deployment.note("ended id=%s status=%d events=%d whole=%d how=%s"
                             % (self.id, self.status, len(self.ids),
                                self.is_whole, self.how))
        return self

    def read(self, data):
        head, mark, body = data.partition(b"\r\n\r\n")
        if not mark:
            return
        self.status = int(head.split(b" ")[1])
        if self.status != 200:
            return
        text = re.sub(rb"(?:^|\r\n)[0-9a-f]+\r\n", b"", body)
        found = re.findall(rb"id: (\d+)\ndata: (\S+) t+\n\n", text)
        self.ids = [int(number) for number, _ in found]
        self.versions = {version.decode() for _, version in found}
        self.is_whole = body.endswith(b"0\r\n\r\n")

    def leave(self):
        self.how = "left"
        try:
            self.conn.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def judge(play, record, counts=(2, 2, 2)):
    """Plays a case and exits: 10 if the rule was broken, 0 if it held, 2 if
    the case couldn't run or took too long."""
    def give_up(*_):
        raise SystemExit(2)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP,
                   signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(105)
    status, deployment = 2, None
    try:
        deployment = Deployment(record, counts)
        status = {0: 0, 1: 10}.get(play(deployment), 2)
    except Exception as error:  # no fault of the system
        print("%s: %s" % (type(error).__name__, error), file=sys.stderr)
    finally:
        if deployment:
            deployment.stop()
    sys.exit(status)
