"""Streams of a machine that freezes while a second software version comes up
are taken up at the other machines.  See claim.txt."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-2"))
from small import (HOST, KEY, TROUBLE, Stream, in_background, judge, wait_for)

SERVICE = "plume"
PATH = "/lohu930/2f"
STREAMS = 30
EVENTS, GAP_S = 90, 0.1
PAUSE_MS = 200      # itl-target-ms; a client waits 2 s for an event
GAP_MAX_S = 2.0
FREEZE_S = 3.5      # for_s of node_freeze in the site file
FROZEN = "edge-c-3"  # one of ten, no machine of the core

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "path-prefix": "/lohu930/",
                "route-type": "streaming", "timeout-ms": 15000,
                "target-latency-ms": 250, "priority": 1, "service": SERVICE,
                "max-attempts": 2, "anonymous": False,
                "session-affinity": True, "stream-resume": True,
                "itl-target-ms": PAUSE_MS}],
    "services": [{"name": SERVICE, "health-path": "/healthz",
                  "max-connections": 380, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv-capacity": 246644, "stride": 3,
                             "models": [{"name": "m"}]}}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1,
                 "prepaid": 50000000}]}


def stream(deployment, machine, **options):
    return Stream(deployment, machine, PATH, GAP_MAX_S,
                  (300, 3 * EVENTS), **options)


def take_up(deployment, first, machine, taken):
    """Runs a stream, and takes it up once where it broke off."""
    first.run()
    if first.is_whole or not first.ids:
        return
    again = stream(deployment, machine, after=first.ids[-1],
                   resumes=first.id, first=first)
    taken.append(again)
    again.run()


def play(deployment):
    deployment.start_all()
    deployment.add_servers(4, SERVICE, "v1", EVENTS, GAP_S)
    if not deployment.replace_config(CONFIG) or not wait_for(
            lambda: all(deployment.is_ready(m) for m in deployment.machines),
            20):
        return 2
    time.sleep(6)  # more than contact-ms, and the versions are known
    others = [m for m in deployment.machines if m != FROZEN]
    firsts = [stream(deployment, FROZEN) for _ in range(STREAMS)]
    taken, fresh = [], []
    threads = [in_background(take_up, deployment, first,
                             others[n % len(others)], taken)
               for n, first in enumerate(firsts)]
    time.sleep(1.5)
    if sum(bool(first.ids) for first in firsts) < STREAMS:
        return 2
    # Servers of a newer version start beside those that are there.
    deployment.add_servers(2, SERVICE, "v1.1", EVENTS, GAP_S)
    frozen_s = time.monotonic()
    if TROUBLE:
        deployment.signal(FROZEN, "router", signal.SIGSTOP)
    else:
        # The clients' connections end when they would have been given up.
        time.sleep(GAP_MAX_S)
        for first in firsts:
            first.leave()
    time.sleep(max(0, frozen_s + 1.5 - time.monotonic()))
    for n in range(STREAMS):
        fresh.append(stream(deployment, others[n % len(others)]))
        threads.append(in_background(fresh[-1].run))
    time.sleep(max(0, frozen_s + FREEZE_S - time.monotonic()))
    if TROUBLE:
        deployment.signal(FROZEN, "router", signal.SIGCONT)
    for thread in threads:
        thread.join(20)
    began = sum(bool(s.ids) for s in fresh)
    went_on = sum(bool(s.ids) for s in taken)
    deployment.note("taken up: %d, went on: %d; new: %d, began: %d" % (
        len(taken), went_on, len(fresh), began))
    print("taken up %d, went on %d; new %d, began %d" % (
        len(taken), went_on, len(fresh), began))
    if len(taken) < 12 or began == 0:
        return 2
    return int(went_on / len(taken) < began / len(fresh) / 2)


judge(play, os.path.join(os.path.dirname(os.path.realpath(__file__)),
                         "record.txt"), (4, 3, 3))
