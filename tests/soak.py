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
versions, and some name a rate limit for a while.  With PATH_KINDS, one to all
instances lose their path to all targets for a while.  Targets also garble their
answers for a while (answers.GARBLES): they write one twice or late, refuse
twice, tear answers or write them in pieces, answer with errors of their own,
without a body, length or id, or with something else than the stream that is
taken up.  Callers keep their connections after errors, pipeline, read slowly,
leave, name no id, or one that they used before.

With CHANGE_KINDS the document changes in series (idle timeouts that are short
and long in turn, timeouts, attempts, paths, keys, prepaid amounts) and all
instances get SIGHUP; callers then leave their connections idle for up to four
fifths of the timeout, and send requests in pieces.  BUSY=N keeps N processes
running beside.

Checked, from what callers and targets see:
- a request that was sent whole is answered, refused or visibly cut; one that is
  closed without a byte was at an instance that was killed, or crossed the close
  at the end of a process; an idle connection is not closed before;
- what the instances count of that (mimosapath_caller_requests_*) is the same;
- an at-most-once request runs once, and a refused request has not run;
- each byte on a connection of a caller belongs to the answer to its request,
  as the target made it, or to an error of the instance;
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
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time
import traceback

from answers import (GARBLES, Answers, Caller, GarbledWriter, number_of,
                     token_of)
from callerends import CallerEnds
from cutproxy import CutProxy
from fleet import Fleet, in_background, wait_for
from pathfleet import (LendingFleet, SimTarget, respond, path_conf, path_fleet,
                       send, start_event_stream, status_of, wait_targets)
from soakchanges import CHANGE_KINDS, IDLE_LONG_MS, DocumentChanges

PROPAGATION_S = 3
RETRIES_MAX = 3
CRASHING_PART = "dead:7"
RECOVERY_S = 15
EVENTS, EVENT_TOKENS, PROMPT = 8, 3, 50
# The smaller amount is used up within seconds, the larger one leaves later
# streams to see faults.
PREPAID_AMOUNTS = [120000, 40000]
QUIET_S = 8
ALL_KINDS = "kill term freeze cut crash resets silent limit %s" % (
    " ".join("garble/" + how for how in GARBLES))
# Instances lose their path to all targets; not among ALL_KINDS, as the proxies
# in front of the targets change how bytes arrive.
PATH_KINDS = "path/silent path/reset path/refuse path/one-way"
LIMIT, LIMIT_S, LIMIT_KNOWN_S, WINDOW_S = 4.0, 9, 3, 4
LIMIT_FACTOR, LIMIT_MARGIN = 1.5, 5
ID = "x-mimosapath-request"
VERSIONS = ["v1", "v2"]


class VersionedTarget(SimTarget):
    """A target with a software version, which each of its events names."""

    def entry(self, leaving=False):
        entry = super().entry(leaving)
        entry["version"] = self.version
        return entry


class Soak(CallerEnds, DocumentChanges):
    def __init__(self, seed, seconds, kinds=ALL_KINDS):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.prepaid = PREPAID_AMOUNTS[seed // 2 % 2]
        self.lock = threading.Lock()
        self.violations = []
        self.answers = Answers(self.report_violation)
        self.crashes = {}          # body -> times when it crashed a target
        self.crash_sends = []      # time, body, token of requests that crash
        self.sent_to = {}          # token -> instance
        self.fault_times = {}      # instance -> start or end of its last fault
        self.delivered = 0         # tokens delivered to callers
        self.delivered_by_id = {}  # token of the request -> tokens
        self.counts = {}
        self.start_changes()
        self.start_ends()
        self.is_stopped = False
        self.fault_kinds = os.environ.get("KINDS", kinds).split()
        self.number = 0
        self.targets = [VersionedTarget("t%d" % n, self.handle_request)
                        for n in range(6)]
        self.limit_times = []      # target, start, end of a limit
        for n, target in enumerate(self.targets):
            target.mode = "healthy"
            target.version = VERSIONS[n % 2]
            target.writer = GarbledWriter(self.answers, seed * 10 + n)
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
        token = token_of(req)
        if req["path"].startswith("/ready/"):
            return respond(conn, req, extra_headers=self.limit_header(target))
        target.arrivals.append(time.monotonic())
        how = "healthy"
        if target.mode.startswith("garble/") and target.writer.random.random(
                ) < 0.6:
            how = target.mode.split("/")[1]
        if how.startswith("refuse"):
            if target.writer.random.random() < 0.5:
                return target.writer.refuse(conn, req, how,
                                            self.limit_header(target))
        self.answers.note_run(token, not req["path"].startswith("/once/"))
        body = req["body"].decode()
        has_part = CRASHING_PART in req["headers"].get(
            "x-mimosapath-parts", "").split(",")
        if body.startswith("#end") or has_part:
            return self.crash(target, req, conn, token,
                              CRASHING_PART if has_part else body)
        if target.mode == "resets" and hash(token) % 2:
            return False
        if target.mode == "silent" or how == "late":
            time.sleep(1)
        if not req["path"].startswith("/stream/"):
            return target.writer.respond(conn, req, how,
                                         self.limit_header(target))
        return target.writer.respond_events(conn, req, how, EVENTS,
                                            target.version,
                                            self.limit_header(target))

    def crash(self, target, req, conn, token, cause):
        if cause == CRASHING_PART:
            start_event_stream(conn, req, self.limit_header(target))
            time.sleep(0.02)
        with self.lock:
            self.crash_sends.append((time.monotonic(), cause, token))
            self.crashes.setdefault(cause, []).append(time.monotonic())
        target.crash(1)
        return False

    def limit_header(self, target):
        return ("x-mimosapath-limit: %g\r\n" % LIMIT
                if target.is_limited else "")

    # -- callers --

    def next_token(self, kind, name):
        with self.lock:
            self.number += 1
            token = "%s-%d-%08x" % (kind, self.number,
                                    self.random.getrandbits(32))
            self.sent_to[token] = name
        return token

    def new_caller(self, seed):
        return Caller(self.answers, random.Random(seed), self.fleet.callers,
                      self.next_token, self.check_response, self.note_end,
                      self.note_closed, self.may_use)

    def check_response(self, kind, token, response, method="POST"):
        status = response.status if response.is_whole else 0
        self.count("%s %d" % (kind, status))
        is_own = number_of(response) is not None
        if status in (503, 429) and not is_own:
            if kind == "any":
                self.answers.not_run.add(token)
            else:
                self.answers.note_not_run(token)
        if kind == "stream" and response.status == 200 and not is_own:
            return self.check_events(token, response)
        self.answers.check(token, response, method)
        return []

    def check_events(self, token, response):
        """Checks the events of a stream; returns them."""
        events = self.answers.check_events(token, response, 0, EVENTS,
                                           VERSIONS)
        tokens = (PROMPT if events else 0) + EVENT_TOKENS * len(events)
        with self.lock:
            self.delivered += tokens
            self.delivered_by_id[token] = tokens
        return events

    def start_thread(self, work):
        """Runs work in a thread; an exception in it is a violation."""
        def run():
            try:
                work()
            except Exception:
                self.report_violation(traceback.format_exc())
        return in_background(run)

    def run_caller(self, seed):
        caller = self.new_caller(seed)
        while not self.is_stopped:
            name = caller.random.choice(self.fleet.names)
            kind = caller.random.choice(["once", "any", "stream"])
            if kind == "stream":
                self.request_stream(caller, name)
            else:
                caller.request(name, kind)
            time.sleep(0.01)

    def request_stream(self, caller, name):
        token = self.next_token("stream", name)
        fields = {ID: token, "x-mimosapath-tokens": "%d,%d" % (
            PROMPT, EVENTS * EVENT_TOKENS),
                  "x-mimosapath-parts": self.sound_parts(
                      caller.random.randrange(4), token)}
        response = caller.send(name, token, "/stream/", fields=fields)
        events = self.check_response("stream", token, response)
        if not self.is_stopped:
            self.take_up(caller, token, fields, events)

    def take_up(self, caller, token, fields, events):
        """Takes a stream up that broke off, and now and then a whole one, as
        if its last events had been lost."""
        rng = caller.random
        if not events or (len(events) == EVENTS and rng.random() < 0.8):
            return
        after = events[rng.randrange(len(events))][0]
        if after == EVENTS - 1:
            return
        name = rng.choice(self.fleet.names)
        later = self.next_token("later", name)
        response = caller.send(
            name, later, "/stream/", body=token, fields=dict(fields, **{
                ID: later, "x-mimosapath-resumes": token,
                "last-event-id": str(after)}))
        if "x-answer" in response.fields or response.status != 200:
            self.check_response("later", later, response)
            return
        self.count("later %d" % response.is_whole)
        rest = self.answers.check_events(later, response, after + 1, EVENTS,
                                         VERSIONS)
        with self.lock:
            self.delivered += EVENT_TOKENS * len(rest) + (
                PROMPT if rest else 0)
        if rest and {v for _, v in rest} != {events[0][1]}:
            self.report_violation("%s of %s goes on at %s" % (
                token, events[0][1], rest[0][1]))

    def sound_parts(self, topic, token):
        return "system:20,topic%d:20,%s:10" % (topic, token)

    def run_part_crasher(self, interval_s):
        caller = self.new_caller(0)
        while not self.is_stopped:
            name = self.random.choice(self.fleet.names)
            token = self.next_token("part", name)
            caller.send(name, token, "/stream/", fields={
                ID: token, "x-mimosapath-parts": "system:20,%s,%s:10" % (
                    CRASHING_PART, token)})
            time.sleep(interval_s)

    def run_crasher(self, body, interval_s):
        caller = self.new_caller(1)
        while not self.is_stopped:
            name = self.random.choice(self.fleet.names)
            kind = "any" if body.endswith("1") else "once"
            token = self.next_token("end", name)
            caller.send(name, token, "/%s/" % kind, path="x",
                        fields={ID: token}, body=body)
            time.sleep(interval_s)

    # -- faults --

    def note_fault(self, names):
        for name in names:
            self.fault_times[name] = time.monotonic()

    def restart(self, name, signal_number, pause_s):
        self.note_fault([name])
        process = self.fleet.processes[name]
        self.restarts.append([name, signal_number, time.monotonic(),
                              float("inf")])
        entry = self.restarts[-1]
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
        entry[3] = time.monotonic()
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

    def lose_paths(self, how, seconds):
        """Cuts one to all instances off from all targets."""
        names = self.random.sample(self.fleet.names, self.random.randint(
            1, len(self.fleet.names)))
        self.note_fault(names)
        for proxy in self.proxies:
            proxy.cut(names, how)
        time.sleep(seconds)
        for proxy in self.proxies:
            proxy.cut([], None)
        self.note_fault(names)

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
        elif kind in ("change", "hup"):
            run = self.change_document if kind == "change" else self.reload_all
        elif kind == "cut":
            if "cut" in faulty:
                return
            faulty.add("cut")

            def run():
                self.partition(length_s * 2)
                faulty.discard("cut")
        elif kind.startswith("path/"):
            if "path" in faulty:
                return
            faulty.add("path")

            def run():
                self.lose_paths(kind.split("/")[1], length_s * 2)
                faulty.discard("path")
        else:
            target = rng.choice(self.targets)

            def run():
                if kind == "crash":
                    target.crash(length_s)
                elif kind == "limit":
                    self.set_limit(target)
                else:
                    self.set_mode(target, kind, length_s * (
                        2 if kind.startswith("garble/") else 1))
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
                        r" request-ended id=(stream-[\w-]+) .* billed=(\d+) ",
                        log.read()):
                    total += int(billed)
                    received = self.delivered_by_id.get(request_id, 0)
                    if received > int(billed):
                        self.report_violation(
                            "%s got %d tokens, %s are billed" % (
                                request_id, received, billed))
        if self.delivered_by_id and not total:
            self.report_violation("no log says what was billed")
        account = self.fleet.account()
        accounted = account["settled_mtok"] + account["leased_mtok"]
        if total * 1000 > accounted:
            self.report_violation("%d tokens are billed, %d in the account" % (
                total, accounted // 1000))

    def is_served(self, name, path, fields):
        token = self.next_token("last", name)
        return status_of(send(self.fleet, name, path, dict(
            fields, **{ID: token, "x-token": token}))) == "200"

    def check_served(self):
        for name in self.fleet.names:
            for kind in ("once", "any"):
                if not wait_for(lambda n=name, k=kind: self.is_served(
                        n, "/%s/x" % k, {}), RECOVERY_S, 0.1):
                    self.report_violation("%s does not serve %s" % (
                        name, kind))
            for topic in range(4):
                parts = {"x-mimosapath-parts": self.sound_parts(topic,
                                                                "last")}
                if not wait_for(lambda n=name, p=parts: self.is_served(
                        n, "/stream/x", p), RECOVERY_S, 0.1):
                    self.report_violation("%s does not serve topic %d" % (
                        name, topic))

    def run_all(self):
        self.partitioned_names = ["i3", "i4"]
        has_proxies = any(k.startswith("path/") for k in self.fault_kinds)
        self.proxies = [CutProxy(lambda: self.fleet.processes, t.port)
                        for t in self.targets if has_proxies]
        for target, proxy in zip(self.targets, self.proxies):
            target.proxy = proxy
        self.fleet, listed = path_fleet(
            [] if has_proxies else self.targets, [
            path_conf("/ready/"), path_conf("/once/"),
            path_conf("/any/", repeat="any", attempts=2),
            path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
            prepaid=self.prepaid, instances=5, control=3,
            behind_proxy=self.partitioned_names,
            fleet_class=LendingFleet if self.seed % 2 else Fleet,
            extra_settings={"stop_within_s": 8},
            extra_limits={"idle_timeout_ms": IDLE_LONG_MS})
        if has_proxies:
            listed.entries = [p.entry(t) for p, t in zip(self.proxies,
                                                         self.targets)]
        with self.fleet:
            if not all(wait_targets(self.fleet, n) for n in self.fleet.names):
                self.report_violation("not ready")
                return
            before = {n: self.read_ledger(n) for n in self.fleet.names}
            threads = [self.start_thread(lambda s=s: self.run_caller(s))
                       for s in range(self.seed * 10, self.seed * 10 + 6)]
            threads += [self.start_thread(lambda b=b: self.run_crasher(b, 0.3))
                        for b in ("#end0", "#end1")]
            threads.append(self.start_thread(
                lambda: self.run_part_crasher(0.4)))
            if "change" in self.fault_kinds:
                threads += [self.start_thread(lambda s=s: self.run_idler(s))
                            for s in range(self.seed * 10 + 6,
                                           self.seed * 10 + 10)]
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
            self.check_ledgers(before)
            self.check_crashes()
            self.check_limits()
            self.check_billing()
            self.check_served()
            account = self.fleet.account()
            if self.delivered > self.prepaid:
                self.report_violation("%d tokens delivered of %d" % (
                    self.delivered, self.prepaid))
            if account["settled_mtok"] > self.prepaid * 1000:
                self.report_violation("settled %d" % account["settled_mtok"])
            if self.violations and os.environ.get("KEEP"):
                print("logs in", self.fleet.folder)


def main():
    seed = int(sys.argv[1])
    soak = Soak(seed, float(sys.argv[2]) if len(sys.argv) > 2 else 20)
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(int(os.environ.get("BUSY", "0")))]
    try:
        soak.run_all()
    finally:
        for process in busy:
            process.kill()
            process.wait()
    for text in soak.violations[:20]:
        print("violation:", text)
    print("seed", seed, "violations", len(soak.violations))
    if os.environ.get("COUNTS"):
        print(dict(sorted(soak.counts.items())), "delivered", soak.delivered,
              "ends", {"%s %s" % k: n for k, n in sorted(soak.ends.items())},
              "crashes", {b: len(e) for b, e in soak.crashes.items()})
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
