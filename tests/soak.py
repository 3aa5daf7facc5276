#!/usr/bin/env python3
"""A soak: real processes, callers that keep their connections, and faults that
come in series and overlap.

    tests/soak.py SEED [SECONDS]

Instances are killed, stopped and started, or stand still; two of them lose the
control replicas behind a relay that swallows bytes, and lend to each other
where the seed is odd; targets end and come back,
reset what they run, or fall silent; one request ends each target that runs it.
Checked, from what callers and targets see: a request that must not run twice
runs once; what is refused has not run; each caller gets its own whole answer;
events of a stream come once and in order; nobody gets more than the prepaid
amount; a request that ends its targets is stopped; when all is well again,
everything is served.  Prints what was broken, and ends with 1 if anything was.
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
from pathfleet import (EVENT, LendingFleet, Target, answer, end_chunks,
                       path_conf, path_fleet, send, send_chunk, start_events,
                       status_of, wait_targets)

CONTACT_S = 3
RETRIES_MOST = 3
BACK_S = 15
EVENTS, EVENT_TOKENS, PROMPT = 8, 3, 50
PREPAID = 40000
CALM_S = 8
ALL_KINDS = "kill term freeze cut crash resets silent"


class Soak:
    def __init__(self, seed, seconds):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.lock = threading.Lock()
        self.broken = []
        self.runs = {}          # id -> runs at targets
        self.refused = set()    # ids that were told not to have run
        self.ends = {}          # body -> times of the ends of targets
        self.sends = []         # time, body, id of requests that end targets
        self.sent_to = {}       # id -> instance
        self.trouble = {}       # instance -> when its trouble was last seen
        self.delivered = 0      # tokens that callers have got
        self.delivered_to = {}  # id -> tokens
        self.counts = {}
        self.is_over = False
        self.kinds = os.environ.get("KINDS", ALL_KINDS).split()
        self.number = 0
        self.targets = [Target("t%d" % n, self.behave) for n in range(6)]
        for target in self.targets:
            target.mode = "well"

    def note(self, text):
        with self.lock:
            self.broken.append(text)

    def count(self, name):
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    # -- targets --

    def behave(self, target, sent, link):
        name = sent["headers"].get("x-mimosapath-request", "-")
        if sent["path"].startswith("/ready/"):
            return answer(link, sent)
        with self.lock:
            self.runs[name] = self.runs.get(name, 0) + 1
            if self.runs[name] > 1 and sent["path"].startswith("/once/"):
                self.broken.append("%s ran twice" % name)
            if name in self.refused:
                self.broken.append("%s ran after it was refused" % name)
        body = sent["body"].decode()
        if body.startswith("#end"):
            with self.lock:
                self.sends.append((time.monotonic(), body, name))
                self.ends.setdefault(body, []).append(time.monotonic())
            target.crash(1)
            return False
        if target.mode == "resets" and hash(name) % 2:
            return False
        if target.mode == "silent":
            time.sleep(1)
        if not sent["path"].startswith("/stream/"):
            return answer(link, sent, body="own " + name)
        after = int(sent["headers"].get("last-event-id", "-1"))
        start_events(link, sent)
        for event in range(after + 1, EVENTS):
            send_chunk(link, EVENT % (event, event))
            time.sleep(0.01)
        end_chunks(link)

    # -- callers --

    def next_id(self, kind, name):
        with self.lock:
            self.number += 1
            identity = "%s-%d" % (kind, self.number)
            self.sent_to[identity] = name
        return identity

    def exchange(self, links, name, kind, identity, body, headers):
        """Returns status and body; status 0: the connection ended."""
        link = links.get(name)
        if not link:
            link = http.client.HTTPConnection(
                "127.0.0.1", self.fleet.callers[name], timeout=6)
            links[name] = link
        try:
            link.request("POST", "/%s/x" % kind, body, headers)
            got = link.getresponse()
            return got.status, got.read().decode(), got
        except (OSError, http.client.HTTPException) as error:
            link.close()
            del links[name]
            partial = getattr(error, "partial", b"") or b""
            return 0, partial.decode(), None

    def check(self, kind, identity, status, text):
        if status == 503 or status == 429:
            with self.lock:
                self.refused.add(identity)
                if self.runs.get(identity) and kind != "any":
                    self.broken.append("%s was refused and ran" % identity)
        if kind == "stream":
            ids = [int(i) for i in re.findall(r"^id: (\d+)\n", text, re.M)]
            if ids != list(range(len(ids))):
                self.note("%s got events %s" % (identity, ids))
            if status == 200 and len(ids) != EVENTS:
                self.note("%s looks whole with %d events" % (
                    identity, len(ids)))
            tokens = (PROMPT if ids else 0) + EVENT_TOKENS * len(ids)
            with self.lock:
                self.delivered += tokens
                self.delivered_to[identity] = tokens
        elif status == 200 and text != "own " + identity:
            self.note("%s got %r" % (identity, text[:40]))

    def call_on(self, seed):
        chance = random.Random(seed)
        links = {}
        while not self.is_over:
            name = chance.choice(self.fleet.names)
            kind = chance.choice(["once", "any", "stream"])
            identity = self.next_id(kind, name)
            headers = {"host": "h.example", "authorization": "Bearer " + KEY,
                       "x-mimosapath-request": identity}
            if kind == "stream":
                headers["x-mimosapath-tokens"] = "%d,%d" % (
                    PROMPT, EVENTS * EVENT_TOKENS)
            status, text, _ = self.exchange(links, name, kind, identity,
                                            identity, headers)
            self.count("%s %d" % (kind, status))
            self.check(kind, identity, status, text)
            time.sleep(0.01)

    def crash_on(self, body, pace_s):
        links = {}
        while not self.is_over:
            name = self.random.choice(self.fleet.names)
            kind = "any" if body.endswith("1") else "once"
            identity = self.next_id("end", name)
            self.exchange(links, name, kind, identity, body, {
                "host": "h.example", "authorization": "Bearer " + KEY,
                "x-mimosapath-request": identity})
            time.sleep(pace_s)

    # -- faults --

    def troubled(self, names):
        for name in names:
            self.trouble[name] = time.monotonic()

    def restart(self, name, number, pause_s):
        self.troubled([name])
        process = self.fleet.processes[name]
        process.send_signal(number)
        try:
            process.wait(15)
        except Exception:
            self.note("%s did not end" % name)
            process.kill()
            process.wait()
        if number == signal.SIGTERM and process.returncode != 0:
            self.note("%s ended with %d" % (name, process.returncode))
        time.sleep(pause_s)
        self.fleet.start(name)
        self.troubled([name])

    def freeze(self, name, seconds):
        self.troubled([name])
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.troubled([name])

    def cut(self, seconds):
        self.troubled(self.cut_names)
        self.fleet.cut(True)
        time.sleep(seconds)
        self.fleet.cut(False)
        self.troubled(self.cut_names)

    def spoil(self, target, mode, seconds):
        target.mode = mode
        time.sleep(seconds)
        target.mode = "well"

    def fault(self, busy):
        """One fault on what is not in trouble; control replicas one at a
        time."""
        chance = self.random
        kind = chance.choice(self.kinds)
        length_s = chance.uniform(0.3, 2.5)
        if kind in ("kill", "term", "freeze"):
            free = [n for n in self.fleet.names if n not in busy and not (
                n in self.fleet.control and busy & set(self.fleet.control))]
            if not free:
                return
            name = chance.choice(free)
            busy.add(name)

            def run():
                if kind == "freeze":
                    self.freeze(name, length_s)
                else:
                    self.restart(name, signal.SIGKILL if kind == "kill"
                                 else signal.SIGTERM, length_s / 4)
                time.sleep(1)
                busy.discard(name)
        elif kind == "cut":
            if "cut" in busy:
                return
            busy.add("cut")

            def run():
                self.cut(length_s * 2)
                busy.discard("cut")
        else:
            target = chance.choice(self.targets)

            def run():
                if kind == "crash":
                    target.crash(length_s)
                else:
                    self.spoil(target, kind, length_s)
        self.count(kind)
        return in_background(run)

    # -- the whole --

    def check_ends(self):
        """Sends later than 3 s after the third end, by instances that were
        without trouble as long, with control replicas that were, too."""
        for body, ends in self.ends.items():
            if len(ends) < 3:
                continue
            late = 0
            for at, sent, identity in self.sends:
                calm = [self.sent_to[identity]] + self.fleet.control
                if sent == body and at > sorted(ends)[2] + CONTACT_S and all(
                        at - self.trouble.get(n, 0) > CONTACT_S
                        for n in calm):
                    late += 1
            if late > RETRIES_MOST:
                self.note("%s: %d retries after the third end" % (body, late))

    def check_bills(self):
        """What the logs say that a request was billed, where they have its
        end, is what its caller got, or more if it left; and all of it is in
        the account, or set aside for lives that ended."""
        total = 0
        for name in self.fleet.names:
            with open(self.fleet.path(name + ".log")) as log:
                for identity, billed in re.findall(
                        r" request-ended id=(stream-\d+) .* billed=(\d+) ",
                        log.read()):
                    total += int(billed)
                    got = self.delivered_to.get(identity, 0)
                    if got > int(billed):
                        self.note("%s got %d tokens, %s are billed" % (
                            identity, got, billed))
        account = self.fleet.account()
        kept = account["settled_mtok"] + account["leased_mtok"]
        if total * 1000 > kept:
            self.note("%d tokens are billed, %d in the account" % (
                total, kept // 1000))

    def check_served(self):
        for name in self.fleet.names:
            for kind in ("once", "any"):
                if not wait_for(lambda n=name, k=kind: status_of(send(
                        self.fleet, n, "/%s/x" % k, {
                            "x-mimosapath-request": self.next_id(
                                "last", n)})) == "200", BACK_S, 0.1):
                    self.note("%s does not serve %s" % (name, kind))

    def play(self):
        self.cut_names = ["i3", "i4"]
        self.fleet, _ = path_fleet(self.targets, [
            path_conf("/ready/"), path_conf("/once/"),
            path_conf("/any/", repeat="any", attempts=2),
            path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
            prepaid=PREPAID, instances=5, control=3,
            behind_relay=self.cut_names,
            kind=LendingFleet if self.seed % 2 else Fleet,
            more_settings={"stop_within_s": 8})
        with self.fleet:
            if not all(wait_targets(self.fleet, n) for n in self.fleet.names):
                self.note("not ready")
                return
            threads = [in_background(lambda s=s: self.call_on(s))
                       for s in range(6)]
            threads += [in_background(lambda b=b: self.crash_on(b, 0.3))
                        for b in ("#end0", "#end1")]
            end = time.monotonic() + self.seconds
            busy, faults = set(), []
            while time.monotonic() < end:
                faults.append(self.fault(busy))
                time.sleep(self.random.uniform(0.1, 1.2))
            for thread in faults:
                if thread:
                    thread.join(30)
            time.sleep(CALM_S)
            self.is_over = True
            for thread in threads:
                thread.join(10)
            self.check_ends()
            self.check_bills()
            self.check_served()
            account = self.fleet.account()
            if self.delivered > PREPAID:
                self.note("%d tokens delivered of %d" % (
                    self.delivered, PREPAID))
            if account["settled_mtok"] > PREPAID * 1000:
                self.note("settled %d" % account["settled_mtok"])
            if self.broken and os.environ.get("KEEP"):
                print("logs in", self.fleet.folder)


def main():
    seed = int(sys.argv[1])
    soak = Soak(seed, float(sys.argv[2]) if len(sys.argv) > 2 else 20)
    soak.play()
    for text in soak.broken[:20]:
        print("broken:", text)
    print("seed", seed, "broken", len(soak.broken))
    if os.environ.get("COUNTS"):
        print(dict(sorted(soak.counts.items())), "delivered", soak.delivered,
              "ends", {b: len(e) for b, e in soak.ends.items()})
    return 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())
