"""Clients send bodies far over the limit, announced or just sent.  Guards
against an instance that holds them until its memory is used up."""
from clients import BODY_MAX, MB, Crowd, chunk, in_chunks, play_cases, \
    with_length
from pathfleet import respond

CLIENTS, BODY_BYTES = 40, 8 * BODY_MAX
PATHS = {"path": "/x/", "native": "/services/raw/x/"}


def announced(path):
    def play(client, number):
        client.send(with_length(path, BODY_BYTES))
        for _ in range(BODY_BYTES // MB):
            if not client.send(b"b" * MB):
                return
    return lambda fleet: Crowd(fleet, CLIENTS, play)


def just_sent(path):
    def play(client, number):
        client.send(in_chunks(path))
        for _ in range(BODY_BYTES // 65536):
            if not client.send(chunk(65536)):
                return
    return lambda fleet: Crowd(fleet, CLIENTS, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name + ", announced", announced(path))
            for name, path in PATHS.items()] +
           [(name + ", in chunks", just_sent(path))
            for name, path in PATHS.items()])
