"""Requests of paths that are allowed in one region reach no target in another
one, also while the allowed target refuses them or is down; without an allowed
target they are refused at once and have not run."""
import time
from fleet import wait_for
from pathfleet import (SimTarget, header_of, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)

ZONES = {"north": "a", "south": "c", "nowhere": "d"}
is_refusing = [False]


class ZoneTarget(SimTarget):
    def entry(self, leaving=False):
        return dict(super().entry(leaving), zone=ZONES[self.name])


def handle_request(target, req, conn):
    if is_refusing[0] and target.name == "north":
        return respond(conn, req, status=503,
                       extra_headers="x-mimosapath-not-run: 1\r\n")
    respond(conn, req, body=target.name)


def path(prefix, *regions):
    conf = path_conf(prefix, repeat="any", attempts=3)
    if regions:
        conf["allowed_regions"] = list(regions)
    return conf


targets = [ZoneTarget(name, handle_request) for name in ZONES]
fleet, listed = path_fleet(
    targets, [path("/ready/"), path("/north/", "moka"),
              path("/both/", "moka", "rio"), path("/west/", "west")],
    instances=2, control=1, extra_settings={
        "region": "moka", "zones": {"a": "moka", "b": "moka", "c": "rio"}})


def bodies(prefix, count=30):
    answers = [send(fleet, "i1", prefix + "x") for _ in range(count)]
    return sorted({status_of(a) + " " + a.split(b"\r\n\r\n", 1)[1].decode()
                   if status_of(a) == "200" else status_of(a)
                   for a in answers})


def count_of(name, prefix):
    target = next(t for t in targets if t.name == name)
    return sum(r["path"].startswith(prefix) for r in target.requests)


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    print("any", bodies("/ready/", 60))
    print("one region", bodies("/north/"))
    print("two regions", bodies("/both/", 60))
    begun = time.monotonic()
    refused = send(fleet, "i1", "/west/x")
    print("no region", status_of(refused), "at once",
          time.monotonic() - begun < 0.5)
    is_refusing[0] = True
    print("refused there", bodies("/north/", 5))
    is_refusing[0] = False
    print("taken again", wait_for(
        lambda: bodies("/north/", 1) == ["200 north"]))
    targets[0].restart = lambda: None  # it stays down
    targets[0].crash(0)
    print("down", set(bodies("/north/", 5)) <= {"502", "503", "504"})
    print("elsewhere", [count_of(name, prefix)
                        for name in ("south", "nowhere")
                        for prefix in ("/north/", "/west/")],
          count_of("nowhere", "/both/"))
