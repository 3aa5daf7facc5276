"""Targets of the product's own API say in their answers that they leave, or
refuse with a pause: they get nothing more from a router that has read it,
whatever their status says; callers are told when a pause ends; a target that
has started again is used again."""
import json
import time
from fleet import Fleet, wait_for
from pathfleet import SimTarget, header_of, respond, send, status_of

PREFIX = "/services/%s/x/"
extra = {}  # target -> (status, headers) of its answers
boots = {}
arrivals = []


def handle_request(target, req, conn):
    if req["path"].startswith("/status"):
        return respond(conn, req, json.dumps(
            {"boot": boots.get(target.name, "b1"), "leaving": False}))
    arrivals.append((time.monotonic(), target.name))
    status, headers = extra.get(target.name, (200, ""))
    respond(conn, req, target.name, status, headers)


SERVICES = {"two": ["a-0", "a-1"], "one": ["b-0"], "odd": ["c-0"]}
TARGETS = {name: SimTarget(name, handle_request)
           for names in SERVICES.values() for name in names}


class OwnFleet(Fleet):
    def document(self):
        document = super().document()
        for service, names in SERVICES.items():
            for name in names:
                document["targets"][name] = {
                    "address": "127.0.0.1:%d" % TARGETS[name].port,
                    "zone": "a", "capacity": 64}
            document["services"][service] = {
                "targets": names, "price_mtok": 0, "timeout_ms": 5000}
            for workspace in document["workspaces"].values():
                workspace["services"].append(service)
        return document


def call(service, method="GET"):
    return send(fleet, "i0", PREFIX % service, method=method)


def calls(service, count):
    return {status_of(call(service, method))
            for _ in range(count) for method in ("GET", "POST")}


def count_of(name, since=0):
    return sum(1 for at, n in arrivals if n == name and at >= since)


with OwnFleet(engines=1, services=1, instances=1, control=1) as fleet:
    fleet.topup("w", 100000)
    print("ready", all(wait_for(
        lambda s=s: status_of(call(s)) == "200") for s in SERVICES))
    arrivals.clear()
    extra["a-0"] = (200, "x-mimosapath-leaving: 1\r\n")
    wait_for(lambda: call("two") and count_of("a-0") > 0)
    arrivals.clear()
    print("leaves", calls("two", 20), count_of("a-0"))
    time.sleep(1)  # its status says that it does not
    print("its status says otherwise", calls("two", 20), count_of("a-0"))
    extra.clear()
    boots["a-0"] = "b2"
    print("started again", wait_for(
        lambda: calls("two", 1) == {"200"} and count_of("a-0") > 3))

    arrivals.clear()
    extra["a-1"] = (503, "Retry-After: 2\r\n")
    wait_for(lambda: call("two") and count_of("a-1") > 0)
    begin = time.monotonic()
    print("paused", calls("two", 20), count_of("a-1", begin))
    time.sleep(0.6)
    print("still paused", calls("two", 5), count_of("a-1", begin))
    extra.clear()
    print("afterwards", wait_for(lambda: calls("two", 1) == {"200"} and
                                 count_of("a-1", begin + 1.9) > 3))

    extra["b-0"] = (503, "Retry-After: 3\r\n")
    call("one", "POST")
    told = time.monotonic()
    extra.clear()
    arrivals.clear()
    answers = [call("one", method) for method in ("GET", "POST") * 4]
    print("all paused", {status_of(a) for a in answers},
          {header_of(a, "x-mimosapath-run") for a in answers},
          "at once", time.monotonic() - told < 1, "true",
          all(2.4 <= int(header_of(a, "retry-after") or 0) <= 5
              for a in answers), len(arrivals))
    boots["b-0"] = "b2"
    print("started again", wait_for(
        lambda: status_of(call("one")) == "200" and
        time.monotonic() - told < 2.5))

    for value in ["0", "-1", "soon", "Fri, 01 Jan 2100 00:00:00 GMT"]:
        extra["c-0"] = (503, "Retry-After: %s\r\n"
                             "x-mimosapath-leaving: no\r\n" % value)
        call("odd", "POST")
        extra.clear()
        print("value", value, status_of(call("odd", "POST")))
