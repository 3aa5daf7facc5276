"""Many clients at once send large bodies, or take little of large responses, by
way of another instance.  Guards against instances on both ends of the tunnels
that hold more than they count."""
import time

from clients import ACCOUNT_BYTES, BASE_BYTES, BODY_MAX, MARGIN_BYTES, MB, \
    Crowd, chunk, head, in_chunks, settings, with_length
from pathfleet import LendingFleet, SimTarget, path_conf, path_fleet, respond, \
    wait_targets

REFUSED = "i1"  # has no path to the target of /x/
RESPONSE_BYTES, PLAY_S = 8 * MB, 3


def handle_request(target, request, conn):
    if "/large" in request["path"]:
        return respond(conn, request, "a" * RESPONSE_BYTES)
    if "/now" not in request["path"]:
        time.sleep(PLAY_S)
    respond(conn, request)


class Target(SimTarget):
    slots = 512


def read_little(client, number):
    client.send(head("/x/large", "content-length: 0"))
    end = time.monotonic() + PLAY_S
    client.conn.settimeout(0.5)
    while time.monotonic() < end:
        if not client.receive():
            return
        time.sleep(0.2)


def send_whole(client, number):
    client.send(with_length("/x/", BODY_MAX) + b"b" * BODY_MAX)


def send_small_chunks(client, number):
    client.send(in_chunks("/x/") + chunk(1) * 60000 + b"0\r\n\r\n")


CASES = {
    "responses left unread": (300, read_little, 16384),
    "whole bodies": (48, send_whole, None),
    "bodies in small chunks": (200, send_small_chunks, None),
}

for name, (clients, play, window) in CASES.items():
    target = Target("t0", handle_request)
    other = SimTarget("t1", lambda t, r, c: respond(c, r), pool="q")
    fleet, _ = path_fleet(
        [target, other], [path_conf("/x/", timeout_ms=30000),
                          path_conf("/ready/", "any", attempts=3, pool="q")],
        extra_pools=["q"], instances=3, control=1, fleet_class=LendingFleet,
        refusable=[REFUSED], concurrent_max=512, extra_settings=settings())
    fleet.memory_max_kb = (BASE_BYTES + MARGIN_BYTES + ACCOUNT_BYTES) >> 10
    with fleet:
        if not all(wait_targets(fleet, n) for n in fleet.names):
            print(name, "not ready")
            continue
        fleet.refuse_connections(REFUSED, [target.port])
        if not wait_targets(fleet, REFUSED, "/x/now"):
            print(name, "not reached")
            continue
        crowd = Crowd(fleet, clients, play, window=window, at=REFUSED)
        for instance in fleet.names:
            crowd.report("%s, %s" % (name, instance), instance)
