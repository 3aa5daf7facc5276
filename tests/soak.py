#!/usr/bin/env python3
"""Soak test: real processes, callers with persistent connections, and faults
that follow each other and overlap.

    tests/soak.py SEED [SECONDS]

Instances are killed, terminated and restarted, or stopped for a while
(SIGSTOP).  Two of them lose the control replicas behind proxies that drop
bytes; with an odd seed, instances lend budget to each other.  Targets crash
and restart, reset the requests they run, or stop responding.  Some requests
crash every target that runs them, and one part of a prompt crashes each
target that begins to answer a request with it.  The targets have two software
versions, and some name a rate limit for a while.

Checked, from what callers and targets see:
- an at-most-once request runs once, and a refused request has not run;
- each caller gets its own complete response;
- the events of a stream arrive once and in order, and from one version, also
  when its caller takes it up;
- a target gets no more than its limit allows, and a margin;
- no more than the prepaid amount is delivered;
- a request that crashes its targets is refused after a few retries, and so are
  requests with the part;
- after the last fault all requests are served again, those with the other parts
  too.

Prints the violations, and exits with 1 if there are any.
"""
import http.client
import os
import random
import re
import signal
import socket
import sys
import threading
import time

from fleet import KEY, Fleet, in_background, wait_for
from pathfleet import (LendingFleet, SimTarget, respond, end_chunks, path_conf,
                       path_fleet, send, send_chunk, start_event_stream,
                       status_of, wait_targets)

PROPAGATION_S = 3
RETRIES_MAX = 3
CRASHING_PART = "dead:7"
RECOVERY_S = 15
EVENTS, EVENT_TOKENS, PROMPT = 8, 3, 50
PREPAID = 40000
QUIET_S = 8
ALL_KINDS = "kill term freeze cut crash resets silent limit"
LIMIT, LIMIT_S, LIMIT_KNOWN_S, WINDOW_S = 4.0, 9, 3, 4
LIMIT_FACTOR, LIMIT_MARGIN = 1.5, 5
VERSIONS = ["v1", "v2"]


class VersionedTarget(SimTarget):
    """A target with a software version, which each of its events names."""

    def entry(self, leaving=False):
        entry = super().entry(leaving)
        entry["version"] = self.version
        return entry


class Soak:
    def __init__(self, seed, seconds):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.lock = threading.Lock()
        self.violations = []
        self.run_counts = {}       # request id -> runs at targets
        self.refused = set()       # request ids that were refused as not run
        self.crashes = {}          # body -> times when it crashed a target
        self.crash_sends = []      # time, body, id of requests that crash
        self.sent_to = {}          # request id -> instance
        self.fault_times = {}      # instance -> start or end of its last fault
        self.delivered = 0         # tokens delivered to callers
        self.delivered_by_id = {}  # request id -> tokens
        self.counts = {}
        self.is_stopped = False
        self.fault_kinds = os.environ.get("KINDS", ALL_KINDS).split()
        self.number = 0
        self.targets = [VersionedTarget("t%d" % n, self.handle_request)
                        for n in range(6)]
        self.limit_times = []      # target, start, end of a limit
        for n, target in enumerate(self.targets):
            target.mode = "healthy"
            target.version = VERSIONS[n % 2]
            target.arrivals = []
            target.is_limited = False

    def report_violation(self, text):
        with self.lock:
            self.violations.append(text)

    def count(self, name):
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    # -- targets --

    def handle_request(self, target, req, conn):
        name = req["headers"].get("x-mimosapath-request", "-")
        if req["path"].startswith("/ready/"):
            return respond(conn, req, extra_headers=self.limit_header(target))
        target.arrivals.append(time.monotonic())
        with self.lock:
            self.run_counts[name] = self.run_counts.get(name, 0) + 1
            if self.run_counts[name] > 1 and req["path"].startswith("/once/"):
                self.violations.append("%s ran twice" % name)
            if name in self.refused:
                self.violations.append("%s ran after it was refused" % name)
        body = req["body"].decode()
        has_part = CRASHING_PART in req["headers"].get(
            "x-mimosapath-parts", "").split(",")
        if body.startswith("#end") or has_part:
            cause = CRASHING_PART if has_part else body
            if has_part:
                start_event_stream(conn, req)
                time.sleep(0.02)
            with self.lock:
                self.crash_sends.append((time.monotonic(), cause, name))
                self.crashes.setdefault(cause, []).append(time.monotonic())
            target.crash(1)
            return False
        if target.mode == "resets" and hash(name) % 2:
            return False
        if target.mode == "silent":
            time.sleep(1)
        if not req["path"].startswith("/stream/"):
            return respond(conn, req, body="own " + name,
                           extra_headers=self.limit_header(target))
        after = int(req["headers"].get("last-event-id", "-1"))
        start_event_stream(conn, req, self.limit_header(target))
        for event in range(after + 1, EVENTS):
            send_chunk(conn, "id: %d\ndata: %s\n\n" % (event, target.version))
            time.sleep(0.01)
        end_chunks(conn)

    def limit_header(self, target):
        return ("x-mimosapath-limit: %g\r\n" % LIMIT
                if target.is_limited else "")

    # -- callers --

    def next_id(self, kind, name):
        with self.lock:
            self.number += 1
            request_id = "%s-%d" % (kind, self.number)
            self.sent_to[request_id] = name
        return request_id

    def send_request(self, conns, name, kind, request_id, body, headers):
        """Returns status, body and response; status 0 is a connection that
        ended early."""
        conn = conns.get(name)
        if not conn:
            conn = http.client.HTTPConnection(
                "127.0.0.1", self.fleet.callers[name], timeout=6)
            conns[name] = conn
        try:
            conn.request("POST", "/%s/x" % kind, body, headers)
            response = conn.getresponse()
            return response.status, response.read().decode(), response
        except (OSError, http.client.HTTPException) as error:
            conn.close()
            del conns[name]
            partial = getattr(error, "partial", b"") or b""
            return 0, partial.decode(), None

    def check_response(self, kind, request_id, status, text):
        if status == 503 or status == 429:
            with self.lock:
                self.refused.add(request_id)
                if self.run_counts.get(request_id) and kind != "any":
                    self.violations.append(
                        "%s was refused and ran" % request_id)
        if kind == "stream":
            ids = [int(i) for i in re.findall(r"^id: (\d+)\n", text, re.M)]
            if ids != list(range(len(ids))):
                self.report_violation("%s got events %s" % (request_id, ids))
            if len(set(re.findall(r"^data: (\w+)\n", text, re.M))) > 1:
                self.report_violation("%s got two versions" % request_id)
            if status == 200 and len(ids) != EVENTS:
                self.report_violation("%s looks whole with %d events" % (
                    request_id, len(ids)))
            tokens = (PROMPT if ids else 0) + EVENT_TOKENS * len(ids)
            with self.lock:
                self.delivered += tokens
                self.delivered_by_id[request_id] = tokens
        elif status == 200 and text != "own " + request_id:
            self.report_violation("%s got %r" % (request_id, text[:40]))

    def run_caller(self, seed):
        rng = random.Random(seed)
        conns = {}
        while not self.is_stopped:
            name = rng.choice(self.fleet.names)
            kind = rng.choice(["once", "any", "stream"])
            request_id = self.next_id(kind, name)
            headers = {"host": "h.example", "authorization": "Bearer " + KEY,
                       "x-mimosapath-request": request_id}
            if kind == "stream":
                headers["x-mimosapath-tokens"] = "%d,%d" % (
                    PROMPT, EVENTS * EVENT_TOKENS)
                headers["x-mimosapath-parts"] = self.sound_parts(
                    rng.randrange(4), request_id)
            status, text, _ = self.send_request(conns, name, kind, request_id,
                                                request_id, headers)
            self.count("%s %d" % (kind, status))
            self.check_response(kind, request_id, status, text)
            if kind == "stream" and not self.is_stopped:
                self.take_up(conns, rng, request_id, headers, text)
            time.sleep(0.01)

    def take_up(self, conns, rng, request_id, headers, text):
        """Takes a stream up that broke off, and now and then a whole one, as
        if its last events had been lost."""
        events = re.findall(r"^id: (\d+)\ndata: (\w+)\n\n", text, re.M)
        if not events or (len(events) == EVENTS and rng.random() < 0.8):
            return
        after = int(events[rng.randrange(len(events))][0])
        if after == EVENTS - 1:
            return
        name = rng.choice(self.fleet.names)
        later_id = self.next_id("later", name)
        status, text, _ = self.send_request(
            conns, name, "stream", later_id, request_id,
            dict(headers, **{"x-mimosapath-request": later_id,
                             "x-mimosapath-resumes": request_id,
                             "last-event-id": str(after)}))
        self.count("taken up %d" % status)
        rest = re.findall(r"^id: (\d+)\ndata: (\w+)\n\n", text, re.M)
        with self.lock:
            self.delivered += EVENT_TOKENS * len(rest) + (
                PROMPT if rest else 0)
        if [int(i) for i, _ in rest] != list(range(after + 1, after + 1 +
                                                   len(rest))):
            self.report_violation("%s took %s up after %d and got %s" % (
                later_id, request_id, after, rest))
        if rest and {v for _, v in rest} != {events[0][1]}:
            self.report_violation("%s of %s goes on at %s" % (
                request_id, events[0][1], rest[0][1]))

    def sound_parts(self, topic, request_id):
        return "system:20,topic%d:20,%s:10" % (topic, request_id)

    def run_part_crasher(self, interval_s):
        conns = {}
        while not self.is_stopped:
            name = self.random.choice(self.fleet.names)
            request_id = self.next_id("part", name)
            self.send_request(conns, name, "stream", request_id, request_id, {
                "host": "h.example", "authorization": "Bearer " + KEY,
                "x-mimosapath-request": request_id,
                "x-mimosapath-parts": "system:20,%s,%s:10" % (
                    CRASHING_PART, request_id)})
            time.sleep(interval_s)

    def run_crasher(self, body, interval_s):
        conns = {}
        while not self.is_stopped:
            name = self.random.choice(self.fleet.names)
            kind = "any" if body.endswith("1") else "once"
            request_id = self.next_id("end", name)
            self.send_request(conns, name, kind, request_id, body, {
                "host": "h.example", "authorization": "Bearer " + KEY,
                "x-mimosapath-request": request_id})
            time.sleep(interval_s)

    # -- faults --

    def note_fault(self, names):
        for name in names:
            self.fault_times[name] = time.monotonic()

    def restart(self, name, signal_number, pause_s):
        self.note_fault([name])
        process = self.fleet.processes[name]
        process.send_signal(signal_number)
        try:
            process.wait(15)
        except Exception:
            self.report_violation("%s did not exit" % name)
            process.kill()
            process.wait()
        if signal_number == signal.SIGTERM and process.returncode != 0:
            self.report_violation("%s ended with %d" % (
                name, process.returncode))
        time.sleep(pause_s)
        self.fleet.start(name)
        self.note_fault([name])

    def freeze(self, name, seconds):
        self.note_fault([name])
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.note_fault([name])

    def partition(self, seconds):
        self.note_fault(self.partitioned_names)
        self.fleet.set_partitioned(True)
        time.sleep(seconds)
        self.fleet.set_partitioned(False)
        self.note_fault(self.partitioned_names)

    def set_mode(self, target, mode, seconds):
        target.mode = mode
        time.sleep(seconds)
        target.mode = "healthy"

    def set_limit(self, target):
        with self.lock:
            if target.is_limited:
                return
            target.is_limited = True
        start = time.monotonic()
        time.sleep(LIMIT_S)
        target.is_limited = False
        self.limit_times.append((target, start, time.monotonic()))

    def start_fault(self, faulty):
        """Starts a fault on an instance or a target.  Instances that already
        have a fault are left out, and only one control replica at a time
        gets one."""
        rng = self.random
        kind = rng.choice(self.fault_kinds)
        length_s = rng.uniform(0.3, 2.5)
        if kind in ("kill", "term", "freeze"):
            candidates = [
                n for n in self.fleet.names if n not in faulty and not (
                    n in self.fleet.control and
                    faulty & set(self.fleet.control))]
            if not candidates:
                return
            name = rng.choice(candidates)
            faulty.add(name)

            def run():
                if kind == "freeze":
                    self.freeze(name, length_s)
                else:
                    self.restart(name, signal.SIGKILL if kind == "kill"
                                 else signal.SIGTERM, length_s / 4)
                time.sleep(1)
                faulty.discard(name)
        elif kind == "cut":
            if "cut" in faulty:
                return
            faulty.add("cut")

            def run():
                self.partition(length_s * 2)
                faulty.discard("cut")
        else:
            target = rng.choice(self.targets)

            def run():
                if kind == "crash":
                    target.crash(length_s)
                elif kind == "limit":
                    self.set_limit(target)
                else:
                    self.set_mode(target, kind, length_s)
        self.count(kind)
        return in_background(run)

    # -- checks --

    def check_crashes(self):
        """Limits the retries of a crashing request that are sent later than
        PROPAGATION_S after its third crash, and the requests with a crashing
        part later than that after its fifth.  Only requests to an instance
        that had no fault in that time count, and only while the control
        replicas had none either."""
        for body, crashes in self.crashes.items():
            most = 5 if body == CRASHING_PART else 3
            if len(crashes) < most:
                continue
            late = 0
            for at, sent, request_id in self.crash_sends:
                used = [self.sent_to[request_id]] + self.fleet.control
                if sent == body and at > sorted(crashes)[
                        most - 1] + PROPAGATION_S and all(
                            at - self.fault_times.get(n, 0) > PROPAGATION_S
                            for n in used):
                    late += 1
            if late > RETRIES_MAX:
                self.report_violation("%s: %d retries after %d crashes" %
                                      (body, late, most))

    def check_limits(self):
        allowed = LIMIT * WINDOW_S * LIMIT_FACTOR + LIMIT_MARGIN
        for target, start, end in self.limit_times:
            times = [t for t in target.arrivals
                     if start + LIMIT_KNOWN_S <= t < end]
            most = max((sum(1 for u in times if t <= u < t + WINDOW_S)
                        for t in times), default=0)
            if most > allowed:
                self.report_violation("%s got %d requests in %d s, its limit "
                                      "is %g" % (target.name, most, WINDOW_S,
                                                 LIMIT))

    def check_billing(self):
        """The logs must show at least what the caller got as billed, for each
        request whose end was logged; more if the caller disconnected.  The
        sum must be in the account, as settled or as leased to former
        incarnations."""
        total = 0
        for name in self.fleet.names:
            with open(self.fleet.path(name + ".log")) as log:
                for request_id, billed in re.findall(
                        r" request-ended id=(stream-\d+) .* billed=(\d+) ",
                        log.read()):
                    total += int(billed)
                    received = self.delivered_by_id.get(request_id, 0)
                    if received > int(billed):
                        self.report_violation(
                            "%s got %d tokens, %s are billed" % (
                                request_id, received, billed))
        account = self.fleet.account()
        accounted = account["settled_mtok"] + account["leased_mtok"]
        if total * 1000 > accounted:
            self.report_violation("%d tokens are billed, %d in the account" % (
                total, accounted // 1000))

    def check_served(self):
        for name in self.fleet.names:
            for kind in ("once", "any"):
                if not wait_for(lambda n=name, k=kind: status_of(send(
                        self.fleet, n, "/%s/x" % k, {
                            "x-mimosapath-request": self.next_id(
                                "last", n)})) == "200", RECOVERY_S, 0.1):
                    self.report_violation("%s does not serve %s" % (
                        name, kind))
            for topic in range(4):
                if not wait_for(lambda n=name, t=topic: status_of(send(
                        self.fleet, n, "/stream/x", {
                            "x-mimosapath-request": self.next_id("last", n),
                            "x-mimosapath-parts": self.sound_parts(
                                t, "last")})) == "200", RECOVERY_S, 0.1):
                    self.report_violation("%s does not serve topic %d" % (
                        name, topic))

    def run_all(self):
        self.partitioned_names = ["i3", "i4"]
        self.fleet, _ = path_fleet(self.targets, [
            path_conf("/ready/"), path_conf("/once/"),
            path_conf("/any/", repeat="any", attempts=2),
            path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
            prepaid=PREPAID, instances=5, control=3,
            behind_proxy=self.partitioned_names,
            fleet_class=LendingFleet if self.seed % 2 else Fleet,
            extra_settings={"stop_within_s": 8})
        with self.fleet:
            if not all(wait_targets(self.fleet, n) for n in self.fleet.names):
                self.report_violation("not ready")
                return
            threads = [in_background(lambda s=s: self.run_caller(s))
                       for s in range(6)]
            threads += [in_background(lambda b=b: self.run_crasher(b, 0.3))
                        for b in ("#end0", "#end1")]
            threads.append(in_background(lambda: self.run_part_crasher(0.4)))
            end = time.monotonic() + self.seconds
            faulty, faults = set(), []
            while time.monotonic() < end:
                faults.append(self.start_fault(faulty))
                time.sleep(self.random.uniform(0.1, 1.2))
            for thread in faults:
                if thread:
                    thread.join(30)
            time.sleep(QUIET_S)
            self.is_stopped = True
            for thread in threads:
                thread.join(10)
            self.check_crashes()
            self.check_limits()
            self.check_billing()
            self.check_served()
            account = self.fleet.account()
            if self.delivered > PREPAID:
                self.report_violation("%d tokens delivered of %d" % (
                    self.delivered, PREPAID))
            if account["settled_mtok"] > PREPAID * 1000:
                self.report_violation("settled %d" % account["settled_mtok"])
            if self.violations and os.environ.get("KEEP"):
                print("logs in", self.fleet.folder)


def main():
    seed = int(sys.argv[1])
    soak = Soak(seed, float(sys.argv[2]) if len(sys.argv) > 2 else 20)
    soak.run_all()
    for text in soak.violations[:20]:
        print("violation:", text)
    print("seed", seed, "violations", len(soak.violations))
    if os.environ.get("COUNTS"):
        print(dict(sorted(soak.counts.items())), "delivered", soak.delivered,
              "crashes", {b: len(e) for b, e in soak.crashes.items()})
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
