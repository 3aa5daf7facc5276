"""More clients than the instance has descriptors connect and stay: without a
request, with a part of one, or with one that was answered.  Guards against an
instance that has no descriptors left for others."""
from clients import Crowd, chunk, head, in_chunks, play_cases
from pathfleet import respond

DESCRIPTORS, CLIENTS = 256, 400
# Left for targets and control connections.
RESERVE = 32


def send_nothing(client, number):
    pass


def send_part_of_head(client, number):
    client.send(head("/x/", "content-length: 0")[:40])


def send_part_of_body(client, number):
    client.send(in_chunks("/x/") + chunk(100))


def send_request(client, number):
    client.send(head("/x/", "content-length: 0"))
    client.receive()


# name: what each client sends, and what all of them go on sending
CASES = {
    "nothing": (send_nothing, None),
    "part of a head": (send_part_of_head, None),
    "part of a body": (send_part_of_body, None),
    "a byte now and then": (send_part_of_body, chunk(1)),
    "a request": (send_request, None),
}


def held(play, trickle):
    return lambda fleet: Crowd(
        fleet, CLIENTS, play, at_once=16, stays=True, trickle=trickle,
        descriptors_max=DESCRIPTORS - RESERVE)


play_cases(lambda t, r, c: respond(c, r),
           [(name, held(*case)) for name, case in CASES.items()],
           descriptors=DESCRIPTORS)
