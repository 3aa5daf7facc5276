"""Clients of requests that may run once leave before their deadline, while the
servers of the service fall silent for a second now and then."""
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import (HOST, KEY, TENANT, TROUBLE, Client, Deployment, Listener,
                   in_background, main, respond)

# Servers, work, objective and deadline are those of court-control and
# court-switch on the sheet of the site; machines and traffic are a half.
SERVICE, MACHINES, SERVERS, SLOTS, WAITING = "court-control", 37, 4, 6, 3
WORK_S, OBJECTIVE_S, DEADLINE_S = 0.03, 0.15, 1.5
PER_S, SECONDS = 174 / 2, 48
LEAVE_SHARE, LEAVE_S, LEAVE_EACH_S = 0.3, 5.0, 8
SILENT_S, SILENT_EACH_S = 1.2, 2.0
LATE_S, FEW = 0.5, 10


class Server(Listener):
    def __init__(self, run, number):
        self.run_ = run
        self.id = "i-%08x" % (0x5b000000 + number)
        self.born = int(time.time() * 1000)
        self.zone = "zone-%s" % "abc"[number % 3]
        self.gate = threading.Condition()
        self.running = self.waiting = 0
        self.silent_until = 0
        super().__init__((run.deployment_.ip(100 + number), 0))

    def entry(self):
        return {"id": self.id, "service": SERVICE, "version": "v1",
                "address": "%s:%d" % self.address, "zone": self.zone,
                "slots": SLOTS, "state": "ready", "cold-remaining-ms": 0,
                "born": self.born}

    def answer(self, conn, request, status, extra=""):
        respond(conn, request, status, b"x", "X-Server-Load: %d,%d,%d\r\n%s"
                % (self.running, self.waiting, SLOTS, extra))

    def admit(self):
        """Takes a slot, after a wait if there is room.  Returns False if the
        server is full."""
        with self.gate:
            if self.running >= SLOTS and self.waiting >= WAITING:
                return False
            self.waiting += 1
            self.gate.wait_for(lambda: self.running < SLOTS)
            self.waiting -= 1
            self.running += 1
            return True

    def serve(self, request, conn):
        name = request["headers"].get("x-attempt-id")
        self.run_.note_arrival(self, name)
        while (left := self.silent_until - time.monotonic()) > 0:
            time.sleep(left)
        if request["headers"].get("x-expect-instance", self.id) != self.id:
            return self.answer(conn, request, 421)
        if not name:
            return self.answer(conn, request, 400, "X-Not-Executed: 1\r\n")
        if not self.admit():
            self.run_.record.write("server %s is full and rejects %s", self.id,
                                   name)
            return self.answer(conn, request, 503, "X-Not-Executed: 1\r\n")
        self.run_.note_run(self, name)
        time.sleep(WORK_S)
        with self.gate:
            self.running -= 1
            self.gate.notify()
        return self.answer(conn, request, 200)


def configuration():
    return {
        "version": 1,
        "routes": [{
            "name": "r-switch", "host": HOST, "path-prefix": "/switch/",
            "route-type": "non_idempotent", "timeout-ms": 1500,
            "target-latency-ms": int(OBJECTIVE_S * 1000), "priority": 1,
            "service": SERVICE, "max-attempts": 2, "anonymous": False}],
        "services": [{"name": SERVICE, "health-path": "/healthz",
                      "max-connections": 500, "protocol": "h1",
                      "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}]}


class Run:
    def deployment(self):
        return Deployment(MACHINES)

    def note_arrival(self, server, name):
        """A request has reached a server, also one that is silent."""
        now = time.monotonic()
        with self.lock:
            left_at = self.left.get(name)
        late_s = now - left_at if left_at else 0
        self.record.write("server %s is sent %s%s", server.id, name,
                          ", %.3f s after its client left" % late_s
                          if left_at else "")
        if late_s > LATE_S:
            with self.lock:
                self.late.add(name)

    def note_run(self, server, name):
        self.record.write("server %s runs %s", server.id, name)
        with self.lock:
            self.late_runs += name in self.late

    def call(self, number):
        name, machine = "%016x" % number, number % MACHINES
        spell_s = (time.monotonic() - self.began) % LEAVE_EACH_S
        leaves = (TROUBLE and spell_s < LEAVE_S and
                  random.random() < LEAVE_SHARE)
        status = "no connection"
        try:
            client = Client(self.deployment_.front(machine), DEADLINE_S)
            client.send("POST", "/switch/%d" % number, {
                "X-Attempt-Id": name, "X-Api-Key": KEY,
                "X-Deadline-Ms": int(DEADLINE_S * 1000)}, b"on")
            self.record.write("client: %s sent to edge-%d", name, machine)
            if leaves:
                time.sleep(random.uniform(0.02, OBJECTIVE_S / 2))
                client.close()
                with self.lock:
                    self.left[name] = time.monotonic()
                self.record.write("client: %s leaves", name)
                return
            status = client.read().status
            client.close()
        except OSError:
            pass
        self.record.write("client: %s gets %s", name, status)
        with self.lock:
            self.answers[status] = self.answers.get(status, 0) + 1

    def silence(self):
        """One server after the other falls silent."""
        number = 0
        while not self.is_over:
            server = self.servers[number % SERVERS]
            self.record.write("server %s falls silent", server.id)
            server.silent_until = time.monotonic() + SILENT_S
            number += 1
            time.sleep(SILENT_EACH_S)

    def play(self, deployment, record):
        self.deployment_, self.record = deployment, record
        self.lock, self.answers, self.is_over = threading.Lock(), {}, False
        self.left, self.late, self.late_runs = {}, set(), 0
        self.servers = [Server(self, i) for i in range(SERVERS)]
        deployment.platform.show([s.entry() for s in self.servers])
        deployment.start_all()
        deployment.configure(configuration())
        deployment.wait_ready()
        time.sleep(4)
        self.began = began = time.monotonic()
        in_background(self.silence)
        threads = []
        for number in range(1, int(PER_S * SECONDS) + 1):
            threads.append(in_background(self.call, number))
            time.sleep(max(0, began + number / PER_S - time.monotonic()))
        for thread in threads:
            thread.join(5)
        time.sleep(1.5)
        self.is_over = True
        record.write("answers: %s; %d clients left", self.answers,
                     len(self.left))
        record.write("%d requests reached a server over %.1f s after their "
                     "client had left, %d of them ran; %d are allowed",
                     len(self.late), LATE_S, self.late_runs, FEW)
        return len(self.late) <= FEW


main(Run(), __file__)
