"""A fleet of real processes on loopback, for scripted runs.

The scripts print what they see; the output is compared with the expected
one, so they print only what must be the same each time.
"""

import hashlib
import http.client
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

PROGRAM = os.environ.get("MIMOSAPATH", "build/mimosapath")
KEY = "workspace-key"
TOKEN = "operator-token"


held_ports = []


def free_port():
    """A port that nobody else gets: the socket stays bound, and a process
    that sets SO_REUSEADDR can still listen there."""
    probe = socket.socket()
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    probe.bind(("127.0.0.1", 0))
    held_ports.append(probe)
    return probe.getsockname()[1]


def wait_for(check, seconds=15, step=0.02):
    """Calls check until it is true; returns the last value."""
    end = time.monotonic() + seconds
    value = check()
    while not value and time.monotonic() < end:
        time.sleep(step)
        value = check()
    return value


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def run(self):
        return self.headers.get("x-mimosapath-run", "-")


def request(port, method, path, body=None, headers=None, timeout=20):
    """One request; status 0 stands for a connection that failed."""
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        link.request(method, path, body, headers or {})
        answer = link.getresponse()
        names = {k.lower(): v for k, v in answer.getheaders()}
        return Answer(answer.status, names, answer.read().decode())
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, type(error).__name__)
    finally:
        link.close()


def raw(port, text, timeout=10):
    """Sends bytes as they are and reads the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout) as link:
        link.sendall(text.encode())
        answer = http.client.HTTPResponse(link)
        try:
            answer.begin()
            names = {k.lower(): v for k, v in answer.getheaders()}
            return Answer(answer.status, names, answer.read().decode())
        except (OSError, http.client.HTTPException) as error:
            return Answer(0, {}, type(error).__name__)


class Relay:
    """Carries connections to a port, until it is cut: then bytes vanish
    while the connections stay open, as in a network partition."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        in_background(self.accept)

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(("127.0.0.1", self.target), 5)
            except OSError:
                near.close()
                continue
            in_background(lambda n=near, f=far: self.carry(n, f))
            in_background(lambda n=near, f=far: self.carry(f, n))

    def carry(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if not self.is_cut:
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Fleet:
    def __init__(self, instances=3, control=3, engines=2, services=1,
                 partition="refuse", engine_options=(), service_options=(),
                 budget_tokens=1000000, concurrent=64, disks=None,
                 behind_relay=(), limits=None, workspaces=None,
                 capacity=64, routing=None, more_document=None,
                 more_settings=None, wait=True):
        self.folder = tempfile.mkdtemp(prefix="mimosapath-")
        self.processes = {}
        self.callers, self.operators, self.rpc = {}, {}, {}
        self.targets = {}
        self.engine_options = list(engine_options)
        self.service_options = list(service_options)
        self.control = ["i%d" % i for i in range(control)]
        self.names = ["i%d" % i for i in range(instances)]
        self.disks = self.control if disks is None else disks
        self.partition = partition
        self.concurrent = concurrent
        self.behind_relay = behind_relay
        self.relays = []
        self.limits = limits or {}
        self.workspaces = workspaces or {"w": KEY}
        self.capacity = capacity
        self.routing = routing
        self.topup_count = 0
        self.more_document = more_document or {}
        self.more_settings = more_settings or {}
        self.engine_names = ["engine-%d" % i for i in range(engines)]
        self.service_names = ["service-%d" % i for i in range(services)]
        self.write("fleet.key", "secret of the fleet")
        self.write("token", TOKEN)
        for name in self.engine_names + self.service_names:
            self.targets[name] = free_port()
            self.start_target(name)
        for name in self.names:
            self.callers[name] = free_port()
            self.operators[name] = free_port()
            self.rpc[name] = free_port()
        self.write("document.json", json.dumps(self.document()))
        for name in self.names:
            self.write_settings(name)
            self.start(name)
        if wait:
            self.wait_ready()
        for workspace in self.workspaces if budget_tokens else []:
            self.topup(workspace, budget_tokens)

    # -- files --

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as out:
            out.write(text)

    def document(self):
        targets = {n: {"address": "127.0.0.1:%d" % p, "zone": "a",
                       "capacity": self.capacity}
                   for n, p in self.targets.items()}
        document = {
            "targets": targets,
            "models": {"m": {"targets": self.engine_names,
                             "prompt_price_mtok": 1000,
                             "output_price_mtok": 1000,
                             "first_token_ms": 2000,
                             "between_tokens_ms": 1000,
                             "resumes": True}},
            "services": {"s": {"targets": self.service_names,
                               "price_mtok": 10000, "timeout_ms": 3000}},
            "workspaces": {name: {
                "key_hashes": [hashlib.sha256(key.encode()).hexdigest()],
                "models": ["m"], "services": ["s"],
                "concurrent_most": self.concurrent,
                "rate_per_s": 100000,
                "partition": self.partition}
                for name, key in self.workspaces.items()},
        }
        for name, value in self.more_document.items():
            if name == "prepaid_tokens":
                for workspace in document["workspaces"].values():
                    workspace[name] = value
            else:
                document[name] = value
        return document

    def write_settings(self, name):
        settings = {
            "instance": name, "zone": "abc"[self.names.index(name) % 3],
            "roles": ["router"],
            "listen": {"callers": "127.0.0.1:%d" % self.callers[name],
                       "operators": "127.0.0.1:%d" % self.operators[name]},
            "control": [{"instance": c, "rpc": "127.0.0.1:%d" % port}
                        for c, port in self.control_ports(name)],
            "fleet_key_file": "fleet.key",
            "operator_token_file": "token",
            "drain_ms": 20000,
        }
        if name in self.control:
            settings["roles"].append("control")
            settings["listen"]["rpc"] = "127.0.0.1:%d" % self.rpc[name]
            settings["first_document"] = "document.json"
        settings.update(self.more_settings)
        if self.routing:
            settings["routing"] = self.routing
        if name in self.disks:
            settings["data_folder"] = "data-" + name
        self.write(name + ".json", json.dumps(settings))

    def control_ports(self, name):
        if name not in self.behind_relay:
            return [(c, self.rpc[c]) for c in self.control]
        pairs = []
        for instance in self.control:
            self.relays.append(Relay(self.rpc[instance]))
            pairs.append((instance, self.relays[-1].port))
        return pairs

    def cut(self, is_cut=True):
        for relay in self.relays:
            relay.is_cut = is_cut

    # -- processes --

    def spawn(self, name, arguments):
        log = open(self.path(name + ".log"), "a")
        size = self.limits.get(name)
        self.processes[name] = subprocess.Popen(
            [PROGRAM] + arguments, stderr=log, stdout=log,
            preexec_fn=(lambda: resource.setrlimit(
                resource.RLIMIT_FSIZE, (size, size))) if size else None)
        log.close()

    def start(self, name):
        self.spawn(name, ["run", "--settings", self.path(name + ".json")])

    def start_target(self, name):
        kind = [] if name in self.engine_names else ["--service"]
        more = (self.engine_options if name in self.engine_names
                else self.service_options)
        self.spawn(name, ["target", "--listen",
                          "127.0.0.1:%d" % self.targets[name],
                          "--name", name, "--run-log",
                          self.path(name + ".runs")] + kind + more)

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            return self.processes[name].wait(30)
        return None

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
                process.wait()
        if os.environ.get("KEEP"):
            print("kept " + self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.stop_all()

    # -- operators --

    def operate(self, method, path, body=None, headers=None, name=None):
        names = {"authorization": "Bearer " + TOKEN}
        names.update(headers or {})
        candidates = [name] if name else self.names
        answer = Answer(0, {}, "")
        for candidate in candidates:
            process = self.processes.get(candidate)
            if process and process.poll() is None:
                answer = request(self.operators[candidate], method, path,
                                 body, names)
                if answer.status not in (0, 503):
                    return answer
        return answer

    def topup(self, workspace, tokens, identity=None, name=None):
        self.topup_count += 1
        identity = identity or "topup-%d" % self.topup_count
        return wait_for(lambda: (lambda a: a if a.status == 200 else None)(
            self.operate("POST", "/control/v1/workspaces/%s/topups"
                         % workspace,
                         json.dumps({"amount_mtok": tokens * 1000}),
                         {"idempotency-key": identity}, name)))

    def account(self, workspace="w", name=None):
        return wait_for(lambda: (
            lambda a: a.json() if a.status == 200 else None)(
                self.operate("GET", "/control/v1/workspaces/" + workspace,
                             name=name)))

    def status(self, name=None):
        return wait_for(lambda: (
            lambda a: a.json() if a.status == 200 else None)(
                self.operate("GET", "/control/v1/status", name=name)))

    def leader(self):
        for member in (self.status() or {}).get("control", []):
            if member["leader"]:
                return member["instance"]
        return None

    def put_document(self, document, base, submission, name=None):
        return self.operate("PUT", "/control/v1/document",
                            json.dumps(document),
                            {"if-match": '"%d"' % base,
                             "idempotency-key": submission}, name)

    # -- callers --

    def is_ready(self, name):
        return request(self.callers[name], "GET", "/readyz").status == 200

    def wait_ready(self, names=None):
        for name in names or self.names:
            if not wait_for(lambda n=name: self.is_ready(n)):
                raise SystemExit("instance %s is not ready" % name)

    def call(self, name, path, body=None, key=None, method="POST",
             timeout=20):
        headers = {"authorization": "Bearer " + KEY}
        if key:
            headers["idempotency-key"] = key
        return request(self.callers[name], method, path, body, headers,
                       timeout)

    def chat(self, name, text, key=None, tokens=12, stream=False,
             timeout=20):
        return self.call(name, "/v1/chat/completions", json.dumps({
            "model": "m", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}]}), key,
            timeout=timeout)

    def retry(self, call, good=(200,), seconds=15):
        """Repeats a call until its status is good; returns the answer."""
        return wait_for(lambda: (
            lambda a: a if a.status in good else None)(call()), seconds,
            0.05)

    # -- targets --

    def runs(self, key):
        """How often the targets ran the request with this key."""
        count = 0
        for name in self.targets:
            try:
                with open(self.path(name + ".runs")) as log:
                    count += sum(1 for line in log
                                 if line.strip() == "w:" + key)
            except FileNotFoundError:
                pass
        return count

    def wait_settled(self, workspace="w"):
        """Waits until nothing is reserved; returns the account."""
        return wait_for(lambda: (lambda a: a if a and not a["reserved_mtok"]
                                 else None)(self.account(workspace)),
                        20)


def in_background(work):
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread
