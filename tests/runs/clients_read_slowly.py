"""Many clients at once ask for large responses and take little of them.
Guards against an instance that holds what they have not taken."""
import time

from clients import Crowd, head, play_cases
from pathfleet import respond

CLIENTS, ANSWER_BYTES, PLAY_S = 32, 8 << 20, 3
PATHS = {"path": "/x/", "native": "/services/raw/x/"}


def slow(path):
    def play(client, number):
        client.send(head(path, "content-length: 0"))
        end = time.monotonic() + PLAY_S
        client.conn.settimeout(0.5)
        while time.monotonic() < end:
            try:
                if not client.conn.recv(256):
                    return
            except OSError:
                pass
            time.sleep(0.05)
    return lambda fleet: Crowd(fleet, CLIENTS, play, window=16384)


play_cases(lambda t, r, c: respond(c, r, "a" * ANSWER_BYTES),
           [(name, slow(path)) for name, path in PATHS.items()])
