"""A small deployment on loopback addresses for the scripts of the review.

Machines have an address of their own in 127.0.0.0/8.  The settings of a
process are rendered from deploy/settings.json.template, and it is started with
the command of deploy/system.toml.  The platform's list, the operator, servers
and clients are threads of the script; each connection has its own thread.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, KEY, TENANT = "shop.example", "key-of-the-tenant", "tenant"
BOUNDS = {"contact-ms": 3000, "drain-ms": 3000, "grace-s": 8,
          "config-apply-ms": 2000, "retry-budget-ratio": 0.2,
          "budget-window-s": 10, "budget-slack": 60}


class CannotRun(Exception):
    pass


def free_ports(count):
    """Returns ports that are free on all addresses, below those that the
    system gives to outgoing connections."""
    ports = []
    for port in random.sample(range(12000, 30000), 4000):
        with socket.socket() as probe:
            try:
                probe.bind(("", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def in_background(work, *arguments):
    thread = threading.Thread(target=work, args=arguments, daemon=True)
    thread.start()
    return thread


def wait_for(check, seconds):
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True


# ---- the template of settings ----

def look_up(name, stack):
    for scope in reversed(stack):
        value = scope
        if name == ".":
            return value
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def render(text, stack):
    """Renders the forms of placeholders that the template uses."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    while match := section.search(text):
        kind, name, body = match.groups()
        value = look_up(name, stack)
        if kind == "^":
            out = "" if value else render(body, stack)
        elif isinstance(value, list):
            out = "".join(
                render(body.replace("{{,}}", "," if i + 1 < len(value)
                                    else ""), stack + [item])
                for i, item in enumerate(value))
        else:
            out = render(body, stack) if value else ""
        text = text[:match.start()] + out + text[match.end():]

    def placeholder(match):
        name, _, form = match[1].partition("|")
        value = look_up(name, stack)
        if form == "json" or isinstance(value, bool):
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", placeholder, text)


# ---- HTTP ----

def read_head(source):
    """Returns the first line and the headers, or None at the end."""
    line = source.readline().decode("latin-1").rstrip("\r\n")
    if not line:
        return None
    headers = {}
    while text := source.readline().decode("latin-1").rstrip("\r\n"):
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    return line, headers


def read_body(source, headers):
    """Returns the body and whether it is complete."""
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while line := source.readline():
            if not line.endswith(b"\n"):
                break
            size = int(line, 16)
            chunk = source.read(size + 2)
            body += chunk[:size]
            if len(chunk) < size + 2:
                break
            if size == 0:
                return body, True
        return body, False
    size = int(headers.get("content-length", 0))
    body = source.read(size)
    return body, len(body) == size


class Answer:
    def __init__(self, status, headers=None, body=b"", complete=False):
        self.status, self.headers = status, headers or {}
        self.body, self.complete = body, complete


class Client:
    """A client with a connection that it keeps."""

    def __init__(self, address, timeout=10):
        self.conn = socket.create_connection(address, timeout)
        self.conn.settimeout(timeout)
        self.source = self.conn.makefile("rb")

    def send(self, method, path, headers, body=b""):
        fields = {"Host": HOST, **headers}
        if body:
            fields["Content-Length"] = len(body)
        self.conn.sendall(("%s %s HTTP/1.1\r\n%s\r\n" % (
            method, path, "".join("%s: %s\r\n" % f for f in fields.items())
        )).encode() + body)

    def read(self):
        """Status 0: the connection ended without the head of an answer."""
        try:
            head = read_head(self.source)
            if not head:
                return Answer(0)
            headers = head[1]
            body, complete = read_body(self.source, headers)
            return Answer(int(head[0].split()[1]), headers, body, complete)
        except (OSError, ValueError):
            return Answer(0)

    def close(self):
        try:
            self.source.close()
            self.conn.close()
        except OSError:
            pass


def ask(address, method, path, headers=None, body=b"", timeout=10):
    try:
        client = Client(address, timeout)
        try:
            client.send(method, path, headers or {}, body)
            return client.read()
        finally:
            client.close()
    except OSError:
        return Answer(0)


class Listener:
    """Serves connections; serve(request, conn) returns False to close."""

    def __init__(self, address):
        self.address = address
        self.lock = threading.Lock()
        self.conns = set()
        self.listener = None
        self.listen()

    def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(512)
        self.address = listener.getsockname()
        self.listener = listener
        in_background(self.accept, listener)

    def accept(self, listener):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.conns.add(conn)
            in_background(self.run, conn)

    def run(self, conn):
        source = conn.makefile("rb")
        try:
            while head := read_head(source):
                method, path, _ = head[0].split(" ")
                body, complete = read_body(source, head[1])
                if not complete or self.serve(
                        {"method": method, "path": path, "headers": head[1],
                         "body": body}, conn) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.conns.discard(conn)
            for end in (source, conn):
                try:
                    end.close()
                except OSError:
                    pass

    def crash(self):
        """Ends like a process that crashes: all connections are reset."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            conns = list(self.conns)
        dead = os.open(os.devnull, os.O_RDWR)
        for conn in conns:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                conn.shutdown(socket.SHUT_RD)
                # The thread of the connection still has the descriptor: it
                # must not become that of another connection.
                os.dup2(dead, conn.fileno())
            except OSError:
                pass
        os.close(dead)


def respond(conn, request, status, body=b"", extra="", reason="OK"):
    conn.sendall(("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n"
                  "X-Server-Signature: s.%s\r\n%sContent-Length: %d\r\n\r\n"
                  % (status, reason,
                     request["headers"].get("x-attempt-id", ""),
                     request["headers"].get("x-attempt-id", ""), extra,
                     len(body))).encode() + body)


class Platform(Listener):
    """The platform's list of servers, which lags by lag_s."""
    lag_s = 0.8

    def __init__(self, ip):
        self.history = [(0, [])]
        super().__init__((ip, 0))

    def show(self, entries):
        with self.lock:
            self.history.append((time.monotonic(),
                                 json.loads(json.dumps(entries))))

    def entries(self):
        now = time.monotonic()
        with self.lock:
            return [e for at, e in self.history
                    if at <= now - self.lag_s or at == 0][-1]

    def serve(self, request, conn):
        if not request["path"].startswith("/instances"):
            return respond(conn, request, 404)
        text = json.dumps({"instances": self.entries(), "next": None})
        conn.sendall(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: %d\r\n\r\n%s" % (len(text), text)
                      ).encode())


# ---- machines ----

class Deployment:
    """Machines 0, 1 and 2 have a disk and run both roles, any further ones a
    router."""

    def __init__(self, machines=3):
        program = os.path.join(ROOT, "target/mimosapath")
        if not os.path.exists(program):
            raise CannotRun("target/mimosapath is not built")
        self.folder = tempfile.mkdtemp(prefix="mimosapath-review-")
        self.net = "127.%d.%d" % (random.randint(20, 250),
                                  random.randint(1, 250))
        self.platform = Platform(self.ip(200))
        self.processes = {}
        self.machines = machines
        ports = free_ports(7)
        self.front_port, self.ready_port, self.control_port = ports[:3]
        self.internal_ports, self.metrics_ports = ports[3:5], ports[5:]
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as text:
            self.roles = tomllib.load(text)["roles"]

    def ip(self, number):
        return "%s.%d" % (self.net, number + 1)

    def front(self, machine):
        return (self.ip(machine), self.front_port)

    def settings(self, machine, role, is_first):
        serves = self.roles[role]["serves"]
        listen = {}
        if "edge" in serves:
            listen.update({"front": "%s:%d" % self.front(machine),
                           "ready": "%s:%d" % (self.ip(machine),
                                               self.ready_port)})
        if "control_plane" in serves:
            listen["control"] = "%s:%d" % (self.ip(machine),
                                           self.control_port)
        fields = {
            "node-name": "edge-%d" % machine, "role": role,
            "zone": "zone-%s" % "abc"[machine % 3], "ip": self.ip(machine),
            "bootstrap": is_first, "listen": listen,
            "internal-ports": self.internal_ports,
            "seeds": ["%s:%d" % (self.ip(i), self.control_port)
                      for i in range(3)],
            "bounds": BOUNDS,
            "cloud": {"address": "%s:%d" % self.platform.address}}
        if machine < 3:
            fields["data-dir"] = os.path.join(self.folder,
                                              "data-%d-%s" % (machine, role))
        return fields

    def start(self, machine, role):
        is_first = (machine, role) not in self.processes
        with open(os.path.join(ROOT, self.roles[role]["template"])) as text:
            settings = render(text.read(),
                              [self.settings(machine, role, is_first)])
        for number, port in zip((9100, 9101), self.metrics_ports):
            settings = settings.replace(":%d\"" % number, ":%d\"" % port)
        name = "%d-%s" % (machine, role)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w") as out:
            out.write(settings)
        command = [word.replace("/etc/mimosapath/local.yaml", path)
                   for word in self.roles[role]["run"].split()]
        with open(os.path.join(self.folder, name + ".log"), "a") as log:
            self.processes[machine, role] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log)

    def start_all(self):
        for machine in range(self.machines):
            if machine < 3:
                self.start(machine, "control")
            self.start(machine, "router")

    def end(self, machine, role, number=signal.SIGKILL):
        process = self.processes[machine, role]
        process.send_signal(number)
        process.wait(15)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, document, seconds=15):
        body = json.dumps(document).encode()

        def put():
            for machine in range(3):
                answer = ask((self.ip(machine), self.control_port), "POST",
                             "/config/replace",
                             {"Content-Type": "application/json"}, body, 2)
                if answer.status == 200:
                    return True
            return False
        if not wait_for(put, seconds):
            raise CannotRun("the configuration is not acknowledged")

    def wait_ready(self, seconds=20):
        def is_ready(machine):
            return ask((self.ip(machine), self.ready_port), "GET",
                       "/readyz", timeout=2).status == 200
        if not wait_for(lambda: all(is_ready(m)
                                    for m in range(self.machines)), seconds):
            raise CannotRun("machines do not get ready")


class Record:
    def __init__(self, file):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.out = open(os.path.join(os.path.dirname(os.path.abspath(file)),
                                     "record.txt"), "w")

    def write(self, text, *arguments):
        with self.lock:
            self.out.write("%8.3f %s\n" % (time.monotonic() - self.began,
                                           text % arguments))
            self.out.flush()


def main(run, file):
    """Runs run(deployment, record), which returns whether the rule held."""
    def end(number, frame):
        raise CannotRun("ended by signal %d" % number)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end)
    record = Record(file)
    deployment = None
    code = 2
    try:
        deployment = run.deployment()
        held = run.play(deployment, record)
        text = "the rule held" if held else "the rule was broken"
        code = 0 if held else 1
    except Exception as error:
        text = "cannot run: %s: %s" % (type(error).__name__, error)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    if deployment:
        deployment.stop()
    record.write("%s", text)
    print(text, flush=True)
    os._exit(code)
