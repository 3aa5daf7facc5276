"""Many clients at once send large bodies up to just short of their end, and then
go on with a byte now and then, so that none is without progress.  Guards against
an instance that holds them all, or serves nobody else meanwhile."""
from clients import BODY_MAX, Crowd, chunk, in_chunks, play_cases, with_length
from pathfleet import respond

SPARE = 1000  # bytes that are left for the trickle


def of_length(client, number):
    client.send(with_length("/x/", BODY_MAX) + b"b" * (BODY_MAX - SPARE))


def small_chunks(client, number):
    client.send(in_chunks("/x/") + chunk(1) * 100000)


def held(clients, play, trickle):
    return lambda fleet: Crowd(fleet, clients, play, stays=True,
                               trickle=trickle)


play_cases(lambda t, r, c: respond(c, r), [
    ("with a length", held(48, of_length, b"b")),
    ("in small chunks", held(200, small_chunks, chunk(1)))])
