"""A part of a prompt crashes each target that begins to answer a request with
it.  The requests come at all instances and no two are equal.  Few targets may
crash, and requests with the other parts are answered meanwhile."""
import itertools
import time
from fleet import in_background
from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, path_conf,
                       path_fleet, send, send_chunk, start_event_stream,
                       status_of, wait_targets)

PROPAGATION_S = 3
CRASHES_MOST = 8
counter = itertools.count()
crashes = {}


def handle_request(target, req, conn):
    parts = req["headers"].get("x-mimosapath-parts", "")
    for crashing, when in (("dead1:9", "head"), ("dead2:9", "event"),
                           ("dead3:9", "start")):
        if crashing in parts:
            if when != "start":
                start_event_stream(conn, req)
            if when == "event":
                send_chunk(conn, "id: 0\ndata: pie")
            time.sleep(0.05)
            crashes.setdefault(crashing, []).append(time.monotonic())
            target.crash(down_s=1)
            return False
    start_event_stream(conn, req)
    for event in range(4):
        time.sleep(0.02)
        send_chunk(conn, EVENT % (event, event))
    end_chunks(conn)
    return True


def ask(fleet, parts, answers):
    """Sends one request; records whether it was answered in full."""
    number = next(counter)
    data = send(fleet, "i%d" % (number % 3), "/stream/x", {
        "x-mimosapath-request": "r%d" % number,
        "x-mimosapath-parts": "%s,own%d:50" % (parts, number)},
        "body %d" % number)
    answers.append(status_of(data) == "200" and chunks_of(data)[1] == "whole")


def play(fleet, crashing, seconds=9):
    """Sends requests with the part beside sound ones that share its other
    parts; returns the answers of the sound ones."""
    sound, others, threads = [], [], []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for parts, answers in (
                ("sys:100,topic:20,%s" % crashing, others),
                ("sys:100,topic:20", sound), ("sys:100,rare:30", sound)):
            threads.append(in_background(
                lambda p=parts, a=answers: ask(fleet, p, a)))
            time.sleep(0.07)
    for thread in threads:
        thread.join(20)
    return sound


targets = [SimTarget("t%d" % n, handle_request) for n in range(12)]
fleet, listed = path_fleet(targets, [
    path_conf("/plain/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
    instances=3, control=3)
with fleet:
    print("ready", all(wait_targets(fleet, n, "/plain/") for n in fleet.names))
    for crashing in ("dead1:9", "dead2:9", "dead3:9"):
        sound = play(fleet, crashing)
        times = crashes[crashing]
        late = sum(at > times[4] + PROPAGATION_S for at in times[5:])
        print(crashing, "crashes within the bound of 8:",
              len(times) <= CRASHES_MOST,
              "late ones within the bound of 3:", late <= 3,
              "nine in ten of the others answered:",
              sum(sound) >= 0.9 * len(sound))
        if len(times) > CRASHES_MOST or sum(sound) < 0.9 * len(sound):
            print("  crashes", len(times), "answered", sum(sound), "of",
                  len(sound))
        time.sleep(1.5)
