"""Targets that garble their answers, on paths and behind the API of our own:
each byte on a connection of a caller belongs to the answer to its request, or
to an error of the instance."""
import json
import random
import threading
import time
import traceback

from answers import GARBLES, ID, Answers, Caller, GarbledWriter, token_of
from fleet import Fleet, in_background
from pathfleet import (SimTarget, path_conf, path_fleet, respond,
                       wait_targets)

EVENTS = 6
SECONDS_OF_EACH = 0.9
HEAD_BYTES = 240   # more than a head has here
VERSIONS = ["v"]
STATUS = json.dumps({"boot": "b", "sequence": 1, "running": 0, "waiting": 0,
                     "leaving": False, "events": []})
violations = []
answers = Answers(violations.append)
mode = "healthy"
lock = threading.Lock()
state = {"number": 0, "whole": 0, "at": 0, "sized": 0}


class ServiceFleet(Fleet):
    """A fleet whose service b has the simulated targets of the script."""

    def document(self):
        document = super().document()
        names = []
        for target in services:
            document["targets"][target.name] = {
                "address": "127.0.0.1:%d" % target.port, "zone": "a"}
            names.append(target.name)
        document["services"]["b"] = {"targets": names, "price_mtok": 0,
                                     "timeout_ms": 1500}
        for workspace in document["workspaces"].values():
            workspace["services"].append("b")
        return document


def new_target(name, seed):
    target = SimTarget(name, handle_request)
    target.writer = GarbledWriter(answers, seed)
    return target


def handle_request(target, request, conn):
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    if request["path"].startswith("/status"):
        return respond(conn, request, STATUS)
    how = mode if target.writer.random.random() < 0.6 else "healthy"
    writer, token = target.writer, token_of(request)
    if how.startswith("refuse") and writer.random.random() < 0.5:
        return writer.refuse(conn, request, how)
    answers.note_run(token, not token.startswith("once"))
    if how == "late":
        time.sleep(0.8)
    if request["path"].startswith("/stream/"):
        return writer.respond_events(conn, request, how, EVENTS, VERSIONS[0])
    if mode == "each-byte":
        with lock:
            state["at"] += 1
        data = writer.format(request, size=60)
        at = state["at"] % len(data)
        conn.sendall(data[:at])
        time.sleep(0.002)
        return conn.sendall(data[at:])
    return writer.respond(conn, request, how)


def check(kind, token, response, method):
    with lock:
        state["whole"] += response.is_whole and response.status == 200
        state["sized"] += response.is_whole and response.status == 304 and (
            response.fields.get("content-length", "0") != "0")
    answers.check(token, response, method)


def next_token(kind, name):
    with lock:
        state["number"] += 1
        return "%s-%d-x" % (kind.replace("/", "-"), state["number"])


def request_stream(caller):
    token = next_token("stream", "i0")
    response = caller.send("i0", token, "/stream/", fields={ID: token})
    if response.status == 200 and "x-answer" not in response.fields:
        with lock:
            state["whole"] += response.is_whole
        answers.check_events(token, response, 0, EVENTS, VERSIONS)
    else:
        answers.check(token, response)


def run_caller(seed, kinds, end):
    rng = random.Random(seed)
    caller = Caller(answers, rng, fleet.callers, next_token, check)
    while time.monotonic() < end or (mode == "each-byte" and
                                     state["at"] < HEAD_BYTES):
        kind = rng.choice(kinds)
        if kind == "stream":
            request_stream(caller)
        else:
            caller.request("i0", kind)


def run_checked(seed, kinds, end):
    try:
        run_caller(seed, kinds, end)
    except Exception:
        violations.append(traceback.format_exc())


def play(how, number):
    global mode
    mode = how
    del violations[:]
    state["whole"] = 0
    end = time.monotonic() + SECONDS_OF_EACH
    callers = [in_background(lambda n=n, k=k: run_checked(
        "%d %d" % (number, n), k, end)) for n, k in enumerate([
            ["once"], ["once", "any", "stream"], ["any", "stream"],
            ["services/b"], ["once", "services/b"]])]
    for caller in callers:
        caller.join(20)
    print(how, "whole", state["whole"] > 0, "violations", len(violations),
          violations[:4])


targets = [new_target("t%d" % n, n) for n in range(2)]
services = [new_target("b%d" % n, n + 10) for n in range(2)]
fleet, _ = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/once/", timeout_ms=1500),
    path_conf("/any/", repeat="any", attempts=2, timeout_ms=1500),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2,
              timeout_ms=1500)], instances=1, control=1,
    fleet_class=ServiceFleet)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for number, how in enumerate(("healthy", "each-byte") + GARBLES):
        play(how, number)
    print("304 with a length arrived", state["sized"] > 0)
    print("instance runs", fleet.processes["i0"].poll() is None)
