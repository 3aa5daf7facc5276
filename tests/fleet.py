"""Starts fleets of real processes on loopback, for the scripts in tests/runs.

The output of a script is compared with its .expected file, so a script
prints only what is the same in every run.
"""

import atexit
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


reserved_sockets = []


def free_port():
    """Returns a port that no other process is given: the socket stays bound,
    and a process that sets SO_REUSEADDR can still listen on the port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    reserved_sockets.append(sock)
    return sock.getsockname()[1]


def wait_for(check, seconds=15, step=0.02):
    """Calls check until it returns a true value or the time is up; returns
    the last value."""
    end = time.monotonic() + seconds
    value = check()
    while not value and time.monotonic() < end:
        time.sleep(step)
        value = check()
    return value


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    # Returns the instance's claim whether the request has run: no or unknown,
    # - if there is none.
    def run_claim(self):
        return self.headers.get("x-mimosapath-run", "-")


def request(port, method, path, body=None, headers=None, timeout=20):
    """Sends a request; status 0 of the response is a failed connection, with
    the part of the body that was received."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        response = conn.getresponse()
        names = {k.lower(): v for k, v in response.getheaders()}
        return Response(response.status, names, response.read().decode())
    except http.client.IncompleteRead as error:
        return Response(0, {}, error.partial.decode(errors="replace"))
    except (OSError, http.client.HTTPException) as error:
        return Response(0, {}, type(error).__name__)
    finally:
        conn.close()


def send_raw(port, text, timeout=10):
    """Sends text unchanged and reads the response."""
    with socket.create_connection(("127.0.0.1", port), timeout) as conn:
        conn.sendall(text.encode())
        response = http.client.HTTPResponse(conn)
        try:
            response.begin()
            names = {k.lower(): v for k, v in response.getheaders()}
            return Response(response.status, names, response.read().decode())
        except (OSError, http.client.HTTPException) as error:
            return Response(0, {}, type(error).__name__)


class TcpProxy:
    """Forwards connections to a port.  While is_partitioned is set, bytes are
    dropped and the connections stay open, as in a network partition."""

    def __init__(self, upstream_port):
        self.upstream_port = upstream_port
        self.is_partitioned = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        in_background(self.accept)

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(
                    ("127.0.0.1", self.upstream_port), 5)
            except OSError:
                client.close()
                continue
            in_background(lambda c=client, s=server: self.forward(c, s))
            in_background(lambda c=client, s=server: self.forward(s, c))

    def forward(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if not self.is_partitioned:
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# Instances i0, i1, ... and simulated targets.  The first instances are control
# instances as well as routers.  persistent lists the instances with a data
# folder (default: the control instances).  behind_proxy lists the instances
# that reach the control instances through proxies, which set_partitioned()
# blocks.  file_size_limits maps instances to the maximum size of the files
# they write, in bytes, descriptor_limits to the number of their descriptors.
# refusable lists the instances whose connections
# refuse_connections() may refuse, fillable and stallable those whose disk
# fill_disk() may fill and stall_disk() stall.
class Fleet:
    def __init__(self, instances=3, control=3, engines=2, services=1,
                 partition="refuse", engine_options=(), service_options=(),
                 budget_tokens=1000000, concurrent_max=64, persistent=None,
                 behind_proxy=(), file_size_limits=None, workspaces=None,
                 capacity=64, routing=None, extra_document=None,
                 extra_settings=None, wait=True, refusable=(), fillable=(),
                 stallable=(), descriptor_limits=None):
        self.folder = tempfile.mkdtemp(prefix="mimosapath-")
        self.processes = {}
        atexit.register(self.stop_all)  # where the fleet does not start
        self.callers, self.operators, self.rpc = {}, {}, {}
        self.targets = {}
        self.engine_options = list(engine_options)
        self.service_options = list(service_options)
        self.control = ["i%d" % i for i in range(control)]
        self.names = ["i%d" % i for i in range(instances)]
        self.persistent = self.control if persistent is None else persistent
        self.partition = partition
        self.concurrent_max = concurrent_max
        self.behind_proxy = behind_proxy
        self.proxies = []
        self.file_size_limits = file_size_limits or {}
        self.descriptor_limits = descriptor_limits or {}
        self.refusable = refusable
        self.fillable = fillable
        self.stallable = stallable
        self.workspaces = workspaces or {"w": KEY}
        self.capacity = capacity
        self.routing = routing
        self.topup_count = 0
        self.extra_document = extra_document or {}
        self.extra_settings = extra_settings or {}
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
                "concurrent_most": self.concurrent_max,
                "rate_per_s": 100000,
                "partition": self.partition}
                for name, key in self.workspaces.items()},
        }
        for name, value in self.extra_document.items():
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
        settings.update(self.extra_settings)
        if self.routing:
            settings["routing"] = self.routing
        if name in self.persistent:
            settings["data_folder"] = "data-" + name
        self.write(name + ".json", json.dumps(settings))

    def control_ports(self, name):
        if name not in self.behind_proxy:
            return [(c, self.rpc[c]) for c in self.control]
        pairs = []
        for instance in self.control:
            self.proxies.append(TcpProxy(self.rpc[instance]))
            pairs.append((instance, self.proxies[-1].port))
        return pairs

    def set_partitioned(self, is_partitioned=True):
        for proxy in self.proxies:
            proxy.is_partitioned = is_partitioned

    # -- processes --

    def spawn(self, name, arguments):
        log = open(self.path(name + ".log"), "a")
        limits = [(kind, sizes[name]) for kind, sizes in (
            (resource.RLIMIT_FSIZE, self.file_size_limits),
            (resource.RLIMIT_NOFILE, self.descriptor_limits))
            if name in sizes]

        def set_limits():
            for kind, size in limits:
                resource.setrlimit(kind, (size, size))
        self.processes[name] = subprocess.Popen(
            [PROGRAM] + arguments, stderr=log, stdout=log,
            env=self.preload_environment(name),
            preexec_fn=set_limits if limits else None)
        log.close()

    def preload_environment(self, name):
        """Returns the environment that preloads into an instance what lets
        its calls fail or wait, None if it needs nothing of that."""
        variables, libraries = {}, []
        if name in self.refusable:
            variables["REFUSE_CONNECT"] = self.path(name + ".refused")
            libraries.append(self.build_library("refuse_connect"))
        if name in self.fillable:
            variables["FILL_DISK"] = os.path.realpath(
                self.path("data-" + name))
            libraries.append(self.build_library("fill_disk"))
        if name in self.stallable:
            variables["STALL_SYNC"] = self.path(name + ".stalled")
            libraries.append(self.build_library("stall_sync"))
        if not libraries:
            return None
        return dict(os.environ, LD_PRELOAD=":".join(libraries),
                    ASAN_OPTIONS=":".join(filter(None, [
                        os.environ.get("ASAN_OPTIONS"),
                        "verify_asan_link_order=0"])), **variables)

    def build_library(self, name):
        library = self.path(name + ".so")
        if not os.path.exists(library):
            subprocess.check_call(["cc", "-shared", "-fPIC", "-o", library,
                                   os.path.join(os.path.dirname(__file__),
                                                name + ".c")])
        return library

    def stall_disk(self, name, is_stalled=True):
        """Lets what the instance writes reach its disk only when the disk is
        no longer stalled."""
        if is_stalled:
            self.write(name + ".stalled", "")
        else:
            os.unlink(self.path(name + ".stalled"))

    def fail_disk(self, name):
        """Lets the syncs of a stallable instance fail."""
        self.write(name + ".stalled", "fail")

    def fill_disk(self, name, room_bytes=0):
        """Lets the instance's disk be full; of each write so many bytes still
        find room."""
        self.write("data-%s.new" % name, str(room_bytes))
        os.replace(self.path("data-%s.new" % name),
                   self.path("data-%s.full" % name))

    def empty_disk(self, name):
        os.remove(self.path("data-%s.full" % name))

    def refuse_connections(self, name, ports):
        """Refuses the instance's new connections to these ports of targets;
        live ones go on."""
        closed = free_port()
        self.write(name + ".refused.new", " ".join(
            str(port) for port in [closed] + list(ports)))
        os.replace(self.path(name + ".refused.new"),
                   self.path(name + ".refused"))

    def start(self, name):
        self.spawn(name, ["run", "--settings", self.path(name + ".json")])

    def start_target(self, name):
        kind = [] if name in self.engine_names else ["--service"]
        options = (self.engine_options if name in self.engine_names
                else self.service_options)
        self.spawn(name, ["target", "--listen",
                          "127.0.0.1:%d" % self.targets[name],
                          "--name", name, "--run-log",
                          self.path(name + ".runs")] + kind + options)

    # Sends a signal; returns the exit status if the signal ends the process.
    def kill(self, name, signal_number=signal.SIGKILL):
        self.processes[name].send_signal(signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            return self.processes[name].wait(30)
        return None

    def stop_all(self):
        atexit.unregister(self.stop_all)
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

    # Sends a request to the operator port of the named instance, or of the
    # first running instance that serves it.
    def operator_request(self, method, path, body=None, headers=None,
                         name=None):
        all_headers = {"authorization": "Bearer " + TOKEN}
        all_headers.update(headers or {})
        candidates = [name] if name else self.names
        response = Response(0, {}, "")
        for candidate in candidates:
            process = self.processes.get(candidate)
            if process and process.poll() is None:
                response = request(self.operators[candidate], method, path,
                                   body, all_headers)
                if response.status not in (0, 503):
                    return response
        return response

    def topup(self, workspace, tokens, topup_id=None, name=None):
        self.topup_count += 1
        topup_id = topup_id or "topup-%d" % self.topup_count
        return wait_for(lambda: (lambda a: a if a.status == 200 else None)(
            self.operator_request("POST", "/control/v1/workspaces/%s/topups"
                                  % workspace,
                                  json.dumps({"amount_mtok": tokens * 1000}),
                                  {"idempotency-key": topup_id}, name)))

    def account(self, workspace="w", name=None):
        return wait_for(lambda: (
            lambda a: a.json() if a.status == 200 else None)(
                self.operator_request(
                    "GET", "/control/v1/workspaces/" + workspace,
                    name=name)))

    def status(self, name=None):
        return wait_for(lambda: (
            lambda a: a.json() if a.status == 200 else None)(
                self.operator_request("GET", "/control/v1/status", name=name)))

    def leader(self):
        for member in (self.status() or {}).get("control", []):
            if member["leader"]:
                return member["instance"]
        return None

    def put_document(self, document, base, submission, name=None):
        return self.operator_request("PUT", "/control/v1/document",
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

    def retry(self, call, accepted=(200,), seconds=15):
        """Repeats a call until its status is one of accepted; returns the
        response."""
        return wait_for(lambda: (
            lambda a: a if a.status in accepted else None)(call()), seconds,
            0.05)

    # -- targets --

    def run_count(self, key):
        """Returns how often the targets ran the request with this key."""
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
        """Waits until nothing is reserved any more; returns the account."""
        return wait_for(lambda: (lambda a: a if a and not a["reserved_mtok"]
                                 else None)(self.account(workspace)),
                        20)


def in_background(work):
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread
