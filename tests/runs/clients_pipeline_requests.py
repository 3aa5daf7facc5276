"""Clients send many requests on a few connections and read no responses.
Guards against an instance that reads ahead, or makes responses, without
bound."""
import time

from clients import Crowd, play_cases, with_length
from pathfleet import respond

CLIENTS, PLAY_S = 6, 3
BODY = b"b" * 2000
PATHS = {"path": "/x/", "native": "/services/raw/x/"}


def pipelined(path):
    requests = (with_length(path, len(BODY)) + BODY) * 100

    def play(client, number):
        end = time.monotonic() + PLAY_S
        client.conn.settimeout(0.5)
        while time.monotonic() < end and client.send(requests):
            pass
    return lambda fleet: Crowd(fleet, CLIENTS, play, window=16384)


play_cases(lambda t, r, c: respond(c, r, "a" * 50000),
           [(name, pipelined(path)) for name, path in PATHS.items()])
