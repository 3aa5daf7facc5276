"""Requests that an instance reads late, as it stood still, are sent to targets
long after their callers have left.  A caller that has closed only its sending
side has not left."""
import signal
import socket
import time

from pathfleet import (NATIVE, PLATFORM, KeptCaller, ReadError, ServiceFleet,
                       SimTarget, path_conf, path_fleet, platform_fleet,
                       request_text, respond, respond_stream, serve_status,
                       wait_for_service, wait_targets)

CALLERS, LEAVE_S, STANDS_S = 30, 0.1, 0.9
seen = []  # paths of the requests that reached a target


def handle_request(target, request, conn):
    if "/ready/" in request["path"]:
        return respond(conn, request)
    seen.append(request["path"])
    if "/stream/" in request["path"]:
        return respond_stream(conn, request, 3)
    return respond(conn, request)


class OwnApiFleet(ServiceFleet):
    def document(self):
        document = super().document()
        document["services"]["raw"]["routes"] = [
            {"method": "POST", "path": "/x/any/", "at_most_once": False}]
        return document


class PatientCaller(KeptCaller):
    """A caller that passes over interim responses, which have no body."""

    def read(self):
        while b"\r\n\r\n" not in self.data and self.fill():
            pass
        if self.data.startswith(b"HTTP/1.1 100"):
            self.take_line(b"\r\n\r\n")
            return self.read()
        return super().read()


def status_of_rest(caller):
    try:
        return caller.read().status
    except ReadError as error:
        return str(error)


def play(name, headers, path, body="", how="leaves"):
    """Callers of an instance that stands still leave, or close their sending
    side; returns how many requests reached a target, and the statuses that
    the others got.  "leaves ahead": after a second request behind the
    first."""
    del seen[:]
    fleet.kill("i1", signal.SIGSTOP)
    callers = []
    for n in range(CALLERS):
        caller = PatientCaller(fleet.callers["i1"], timeout=6)
        own = headers + ([(name["id"], "%s-%s-%d" % (how, path[1:4], n))]
                         if name else [])
        caller.send("POST", path, own, body)
        if how == "leaves ahead":
            caller.send("POST", path, headers + [
                (name["id"], "behind-%s-%d" % (path[1:4], n))], body)
        callers.append(caller)
    time.sleep(LEAVE_S)
    for caller in callers:
        if how == "half":
            caller.conn.shutdown(socket.SHUT_WR)
        elif how != "stays":
            caller.close()
    time.sleep(STANDS_S)
    fleet.kill("i1", signal.SIGCONT)
    statuses = sorted({status_of_rest(c) for c in callers}, key=str) \
        if how in ("half", "stays") else []
    time.sleep(1)
    print(" ", path, "%d bytes," % len(body), how, "reached", len(seen),
          "statuses", statuses)


for label, name, make_fleet, options in (
        ("own interface", NATIVE, path_fleet, {"fleet_class": OwnApiFleet}),
        ("platform", PLATFORM, platform_fleet, {})):
    targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
    for target in targets:
        target.slots = 64
    if name is NATIVE:
        ServiceFleet.service_target = SimTarget(
            "raw-0", serve_status(handle_request))
    fleet, _ = make_fleet(targets, [
        path_conf("/ready/"), path_conf("/once/", attempts=2),
        path_conf("/any/", repeat="any", attempts=2),
        path_conf("/stream/", repeat="resume", stream=True, attempts=2)],
        instances=2, control=1, **options)
    with fleet:
        own = list(name["caller"].items())
        print(label, "ready", all(wait_targets(
            fleet, i, headers=dict(own, **{name["id"]: "first" + i}))
            for i in fleet.names))
        for how in ("stays", "leaves", "half"):
            play(name, own, "/once/x", how=how)
        play(name, own, "/once/x", "x" * 20000)
        play(name, own, "/once/x", how="leaves ahead")
        play(name, own, "/any/x")
        play(name, own, "/stream/x")
        if name is NATIVE:
            print("service ready", wait_for_service(fleet, "i1"))
            for path in ("/services/raw/x/once/", "/services/raw/x/any/"):
                for how in ("stays", "leaves"):
                    play(None, own, path, how=how)
            play(None, own, "/services/raw/x/once/", how="half")
