"""More clients than the instance has descriptors connect to the operators'
address and stay.  Guards against an instance that has no descriptors left for
callers."""
from clients import Crowd, play_cases
from pathfleet import respond

DESCRIPTORS, CLIENTS = 256, 400
# Left for targets and control connections.
RESERVE = 32
CASES = {
    "nothing": b"",
    "part of a head": b"GET /healthz HTTP/1.1\r\nhost",
    "part of a body": b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nb",
    "a request": b"GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n",
}


def held(data):
    def play(client, number):
        client.send(data)
    return lambda fleet: Crowd(
        fleet, CLIENTS, play, at_once=16, stays=True,
        address=fleet.operators, descriptors_max=DESCRIPTORS - RESERVE)


play_cases(lambda t, r, c: respond(c, r),
           [(name, held(data)) for name, data in CASES.items()],
           descriptors=DESCRIPTORS)
