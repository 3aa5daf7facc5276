"""More clients than the instance has descriptors connect to its addresses for
other instances, have no key of the fleet, and stay.  Guards against an instance
that has no descriptors left for callers."""
import struct

from clients import Crowd, fleet_of_three, play_cases
from pathfleet import respond, wait_targets

DESCRIPTORS, CLIENTS = 256, 400
# Left for targets and control connections.
RESERVE = 32
LAST_FRAGMENT = 0x80000000
CASES = {
    "nothing": b"",
    "part of a mark": b"\x80",
    "part of a record": struct.pack(">I", LAST_FRAGMENT | 512) + b"b" * 256,
    "a record of the largest size": struct.pack(
        ">I", LAST_FRAGMENT | 8 << 20) + b"b" * (1 << 20),
}


def held(data, address, at):
    def play(client, number):
        client.send(data)
    return lambda fleet: Crowd(
        fleet, CLIENTS, play, at_once=16, stays=True, at=at,
        address=getattr(fleet, address), descriptors_max=DESCRIPTORS - RESERVE)


play_cases(lambda t, r, c: respond(c, r),
           [(name, held(data, "rpc", "i0")) for name, data in CASES.items()],
           descriptors=DESCRIPTORS)
for name, data in CASES.items():
    fleet, target = fleet_of_three(lambda t, r, c: respond(c, r),
                                   descriptors=DESCRIPTORS)
    with fleet:
        if not all(wait_targets(fleet, n, "/x/") for n in fleet.names):
            print("peers, %s: not ready" % name)
            continue
        held(data, "peers", "i1")(fleet).report("peers, " + name, "i1")
