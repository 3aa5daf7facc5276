"""Streams whose router ends without a word to the quorum, as targets of a
second software version come, are refused although their version serves."""
import re
import signal
import time

from fleet import wait_for
from pathfleet import (LendingFleet, SimTarget, end_chunks, path_conf,
                       path_fleet, respond, send, send_chunk,
                       start_event_stream, status_of, wait_targets)

ROUTERS = ["i1", "i2", "i3", "i4"]
VERSIONS = {"a0": "v1", "a1": "v1", "b0": "v2", "b1": "v2", "c0": "v3"}
EVENTS, TAKEN_AT, STREAMS = 8, 3, 12


class VersionedTarget(SimTarget):
    slots = 64

    def entry(self, leaving=False):
        return dict(super().entry(leaving), version=VERSIONS[self.name])


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    start_event_stream(conn, req)
    for event in range(int(req["headers"].get("last-event-id", -1)) + 1,
                       EVENTS):
        send_chunk(conn, "id: %d\ndata: %s\n\n" % (event,
                                                  VERSIONS[target.name]))
    end_chunks(conn)


targets = [VersionedTarget(name, handle_request) for name in VERSIONS]
fleet, listed = path_fleet(targets[:2], [
    path_conf("/ready/"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=3)],
    instances=5, control=1, fleet_class=LendingFleet,
    extra_settings={"retries": {"slack": 500}})
count = 0


def list_only(*versions):
    listed.entries = [t.entry() for t in targets
                      if VERSIONS[t.name] in versions]


def request_id():
    global count
    count += 1
    return "s-%d" % count


def begin(name):
    """Begins a stream; returns its id and the versions of its events."""
    own_id = request_id()
    data = send(fleet, name, "/stream/x", {"x-mimosapath-request": own_id})
    return own_id, re.findall("data: (v[0-9])", data.decode())


def begin_many(names):
    streams = [begin(names[k % len(names)]) for k in range(STREAMS)]
    return [s for s in streams if len(s[1]) == EVENTS]


def take_up(name, stream, is_named=True):
    """Takes a stream up after its first events."""
    headers = {"x-mimosapath-request": request_id(),
               "last-event-id": str(TAKEN_AT - 1)}
    if is_named:
        headers["x-mimosapath-resumes"] = stream[0]
    data = send(fleet, name, "/stream/x", headers)
    if status_of(data) != "200":
        return status_of(data)
    rest = re.findall("data: (v[0-9])", data.decode())
    if len(rest) != EVENTS - TAKEN_AT:
        return "short"
    return "went on" if set(rest) == set(stream[1]) else "joined"


def take_up_all(streams, names, is_named=True):
    """Returns what came of the streams, as a text."""
    results = [take_up(names[k % len(names)], s, is_named)
               for k, s in enumerate(streams)]
    return "all " + results[0] if len(set(results)) == 1 else str(results)


def versions_of(streams):
    return sorted({v for s in streams for v in s[1]})


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    time.sleep(1)
    frozen, killed = begin_many(["i1"]), begin_many(["i2"])
    print("begun at one version", len(frozen) + len(killed))
    fleet.kill("i1", signal.SIGSTOP)
    fleet.kill("i2", signal.SIGKILL)
    list_only("v1", "v2")
    time.sleep(2)
    print("router frozen, then a second version:",
          take_up_all(frozen, ["i3", "i4"]))
    print("router killed, then a second version:",
          take_up_all(killed, ["i3", "i4"]))
    print("not named by their callers:",
          take_up_all(frozen, ["i3", "i4"], is_named=False))
    fleet.kill("i1", signal.SIGCONT)
    print("router awake:", take_up_all(frozen, ["i1"]))
    fleet.start("i2")
    print("router back", wait_for(lambda: fleet.is_ready("i2")) and
          wait_targets(fleet, "i2"))
    time.sleep(1)

    later = begin_many(["i2"])
    print("begun at two versions", len(later), versions_of(later))
    fleet.kill("i2", signal.SIGKILL)
    print("router killed:", take_up_all(later, ["i3", "i4"]))
    list_only("v1", "v2", "v3")
    time.sleep(0.7)
    list_only("v1", "v3")
    time.sleep(2)
    print("the second version gone, of the first:", take_up_all(
        [s for s in later if s[1][0] == "v1"] + frozen, ["i1", "i3"]))
    print("of the second:", take_up_all(
        [s for s in later if s[1][0] == "v2"][:1], ["i1", "i3"]))
    list_only("v1", "v2", "v3")
    time.sleep(2)
    print("and back:", take_up_all(later + frozen, ["i1", "i3"]))

    # Without the quorum no record can be made.
    fleet.kill("i0", signal.SIGSTOP)
    time.sleep(2)
    alone = begin_many(["i3"])
    print("quorum away, begun", len(alone), versions_of(alone))
    fleet.kill("i0", signal.SIGCONT)
    print("quorum back", wait_for(lambda: take_up("i4", alone[0]) ==
                                  "went on"))
    print("taken up:", take_up_all(alone + later + frozen, ["i1", "i4"]))
