"""A target of one software version fails between the head of a stream and its
first event.  The stream begins anew at the other version, and is known as one
of that version."""
import re
import time
from pathfleet import (LendingFleet, SimTarget, end_chunks, path_conf,
                       path_fleet, respond, send, send_chunk,
                       start_event_stream, wait_targets)

VERSIONS = {"a0": "v1", "b0": "v2", "b1": "v2"}
EVENTS, STREAMS = 6, 10


class VersionedTarget(SimTarget):
    slots = 64

    def entry(self, leaving=False):
        return dict(super().entry(leaving), version=VERSIONS[self.name])


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    start_event_stream(conn, req)
    if target.name == "a0":
        return False
    after = int(req["headers"].get("last-event-id", -1))
    for event in range(after + 1, EVENTS):
        send_chunk(conn, "id: %d\ndata: %s\n\n" % (event,
                                                  VERSIONS[target.name]))
    end_chunks(conn)


def versions_in(data):
    return re.findall(rb"data: (v\d)", data)


targets = [VersionedTarget(name, handle_request) for name in VERSIONS]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=3)],
    instances=3, control=1, fleet_class=LendingFleet,
    extra_settings={"retries": {"slack": 500}})
with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    time.sleep(2)
    answers = []
    for k in range(STREAMS):
        answers.append(send(fleet, "i1", "/stream/x",
                            {"x-mimosapath-request": "s-%d" % k}))
        time.sleep(0.6)  # a target that broke off is left out for a while
    failed = sum(r["path"] == "/stream/x" for r in targets[0].requests)
    print("failed before the first event", failed > 0)
    print("whole", sum(versions_in(a) == [b"v2"] * EVENTS for a in answers))
    time.sleep(0.5)
    for k in range(STREAMS):
        send(fleet, "i2", "/stream/x", {
            "x-mimosapath-request": "t-%d" % k,
            "x-mimosapath-resumes": "s-%d" % k, "last-event-id": "2"})
    with open(fleet.path("i2.log")) as log:
        named = re.findall(r"stream-taken-up .* version=(\S+)", log.read())
    print("taken up", len(named), "at the version that failed",
          named.count("v1"))
