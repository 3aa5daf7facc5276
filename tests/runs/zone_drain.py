"""Operators take a zone out of use and bring it back, on the platform's
interface.  While the zone is drained its targets get nothing: requests go
elsewhere, and are refused as not run where no other zone serves the pool.  What
was acknowledged survives the end of all control processes; instances without
a quorum keep what they know."""
import json
import signal
import time

from fleet import request, wait_for
from pathfleet import (KEY, PLATFORM, SimTarget, header_of, path_conf,
                       platform_entry, platform_fleet, respond, send,
                       status_of)

ZONES = {"t0": "a", "t1": "a", "t2": "b", "only-a": "a"}
ROUTER = "i3"  # of zone a, without a data folder
ZONE_A = ["i0", ROUTER]


def handle_request(target, req, conn):
    return respond(conn, req, target.name)


def order(fleet, verb, zone="a", names=None):
    """Sends an order as operators do, again at another instance, until one
    acknowledges it; returns the last status."""
    def attempt():
        for name in names or fleet.names:
            process = fleet.processes[name]
            if process.poll() is None:
                response = request(fleet.operators[name], "POST",
                                   "/evacuations/%s/%s" % (zone, verb),
                                   timeout=1)
                if response.status not in (0, 503):
                    return response.status
        return None
    return wait_for(attempt, seconds=20) or 503


def call(fleet, name, path="/x/"):
    """Returns the status, the body, and whether the request may have run."""
    try:
        data = send(fleet, name, path, dict(PLATFORM["caller"]))
    except ConnectionError:
        return "none", "", None
    body = data.partition(b"\r\n\r\n")[2].decode()
    return status_of(data), body, header_of(data, "x-mimosapath-run")


def serving(fleet, name):
    """Returns the statuses and the targets of some requests."""
    return {call(fleet, name)[:2] for _ in range(24)}


def is_drained(served):
    return served == {("200", "t2")}


def is_used(served):
    """Instances prefer the targets of their own zone; one in zone a uses
    those of zone a, if it may."""
    return served <= {("200", "t0"), ("200", "t1")}


def settle(fleet, names, is_wanted):
    """Whether the targets that each instance uses become as is wanted."""
    return all(wait_for(lambda: is_wanted(serving(fleet, name)), 10)
               for name in names)


def drained_targets(targets):
    return [t for t in targets if ZONES[t.name] == "a"]


def count_requests(targets):
    return sum(len(t.requests) for t in targets)


targets = [SimTarget(name, handle_request,
                     "q" if name == "only-a" else "p") for name in ZONES]
paths = [path_conf("/x/", repeat="any", attempts=2),
         path_conf("/q/", repeat="any", attempts=2, pool="q")]
fleet, listed = platform_fleet(targets, [paths[0]], instances=4, control=3)
with fleet:
    listed.entries = [dict(platform_entry(t), zone=ZONES[t.name])
                      for t in targets]
    document = {
        "version": 2, "tenants": [{"name": "w", "api-keys": [KEY]}],
        "services": [{"name": "p"}, {"name": "q"}],
        "routes": [{"name": p["prefix"].strip("/"), "host": "h.example",
                    "path-prefix": p["prefix"],
                    "service": p["shares"][0]["pool"],
                    "route-type": "idempotent", "timeout-ms": 5000,
                    "max-attempts": 2} for p in paths]}
    fleet.operator_request("POST", "/config/replace", json.dumps(document))
    print("at first the zone is used:",
          settle(fleet, ZONE_A, is_used))
    print("pool of one zone:", wait_for(
        lambda: all(call(fleet, n, "/q/")[0] == "200" for n in fleet.names)))

    print("begin:", order(fleet, "begin"))
    print("in force everywhere:", settle(fleet, fleet.names, is_drained))
    before = count_requests(drained_targets(targets))
    began_s = time.monotonic()
    status, _, may_have_run = call(fleet, ROUTER, "/q/")
    print("pool of the drained zone:", status, "run:", may_have_run,
          "at once:", time.monotonic() - began_s < 2)
    print("begin again, at each instance:",
          [order(fleet, "begin", names=[n]) for n in fleet.names])
    print("other names:", order(fleet, "begin", zone="no%20zone"),
          order(fleet, "finish", zone="z" * 65),
          order(fleet, "finish", zone="never-drained"))

    for name in fleet.control:
        fleet.kill(name)
    print("without control:", sorted(serving(fleet, ROUTER)))
    for name in fleet.control:
        fleet.start(name)
    print("after the restart:", settle(fleet, fleet.names, is_drained))
    fleet.kill(ROUTER)
    fleet.start(ROUTER)
    wait_for(lambda: call(fleet, ROUTER)[0] == "200")
    print("a new router:", sorted(serving(fleet, ROUTER)))
    print("requests to the drained zone:",
          count_requests(drained_targets(targets)) - before)

    status = fleet.operator_request("GET", "/control/v1/status").json()
    print("status:", [(z["zone"], z["drained"]) for z in status["zones"]])
    print("finish:", order(fleet, "finish"))
    print("back in use:", settle(fleet, ZONE_A, is_used))
    print("finish again:", order(fleet, "finish"))
    print("pool of one zone:", wait_for(
        lambda: all(call(fleet, n, "/q/")[0] == "200" for n in fleet.names)))

    # A stopped router finds a drain of long ago when it goes on.
    fleet.kill(ROUTER, signal.SIGSTOP)
    late = request(fleet.operators[ROUTER], "POST", "/evacuations/a/begin",
                   timeout=1).status
    print("begin at a stopped router:", late, "elsewhere:",
          order(fleet, "begin", names=["i0"]), "finish:",
          order(fleet, "finish", names=["i1"]))
    fleet.kill(ROUTER, signal.SIGCONT)
    time.sleep(2)
    zones = fleet.operator_request("GET", "/control/v1/status").json()["zones"]
    print("after the late begin:", [(z["zone"], z["drained"]) for z in zones])
    print("back in use:", settle(fleet, ZONE_A, is_used))
