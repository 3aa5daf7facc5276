"""Many clients at once send large bodies, or take little of large responses, by
way of another instance.  Guards against instances on both ends of the tunnels
that hold more than they count."""
import time

from clients import BODY_MAX, MB, Crowd, chunk, fleet_of_three, head, \
    in_chunks, with_length
from pathfleet import respond, wait_targets

REFUSED = "i1"  # has no path to the target of /x/
RESPONSE_BYTES, PLAY_S = 8 * MB, 3


def handle_request(target, request, conn):
    if "/large" in request["path"]:
        return respond(conn, request, "a" * RESPONSE_BYTES)
    if "/now" not in request["path"]:
        time.sleep(PLAY_S)
    respond(conn, request)


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
    fleet, target = fleet_of_three(handle_request, [REFUSED])
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
