"""A router that has lost control and its path to the targets does not know
that a zone was drained.  The other instances, which know it, open no
connections for it to the targets of that zone; its requests go by way of them
to another zone."""
import re

from fleet import request, wait_for
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

CUT = "i3"
ZONES = {"t0": "a", "t1": "b"}


def handle_request(target, req, conn):
    # Each request needs a new connection.
    respond(conn, req, target.name, extra_headers="Connection: close\r\n")
    return False


class ZoneTarget(SimTarget):
    def entry(self, leaving=False):
        return dict(super().entry(leaving), zone=ZONES[self.name])


targets = [ZoneTarget(name, handle_request) for name in ZONES]
fleet, _ = path_fleet(
    targets, [path_conf("/ready/", "any", attempts=2),
              path_conf("/x/", "any", attempts=2)],
    instances=4, control=3, behind_proxy=[CUT], refusable=[CUT])
with fleet:
    def call(name):
        data = send(fleet, name, "/x/")
        return status_of(data), data.partition(b"\r\n\r\n")[2].decode()

    def drained_count(name):
        metrics = request(fleet.operators[name], "GET", "/metrics").body
        return int(re.search(r"mimosapath_zones_drained (\d+)",
                             metrics).group(1))

    print("ready:", all(wait_targets(fleet, n) for n in fleet.names))
    fleet.refuse_connections(CUT, [t.port for t in targets])
    print("by way of others:", wait_for(
        lambda: call(CUT) == ("200", "t0")))
    fleet.set_partitioned()
    print("drain:", fleet.operator_request(
        "POST", "/control/v1/zones/a/drain", None,
        {"idempotency-key": "1"}).status)
    print("in force:", all(wait_for(lambda: drained_count(n) == 1)
                           for n in fleet.control),
          "there:", drained_count(CUT) == 1)
    before = len(targets[0].requests)
    answers = [call(CUT) for _ in range(30)]
    print("requests to the drained zone:", len(targets[0].requests) - before,
          "served elsewhere:", ("200", "t1") in answers)
    refused = 'mimosapath_events_total{event="tunnel-refused"}'
    print("tunnels refused:", any(
        refused in request(fleet.operators[n], "GET", "/metrics").body
        for n in fleet.control))
    fleet.set_partitioned(False)
    print("drained there too:", bool(wait_for(
        lambda: all(call(CUT) == ("200", "t1") for _ in range(5)))))
