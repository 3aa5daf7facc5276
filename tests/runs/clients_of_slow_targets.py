"""Many clients at once send whole bodies of the largest size to targets that
take their time.  Guards against an instance that holds all of them, some more
than once, until the targets respond."""
import threading

from clients import BODY_MAX, Crowd, play_cases, with_length
from pathfleet import respond

CLIENTS = 48
PATHS = {"path": "/x/", "native": "/services/raw/x/"}
may_respond = threading.Event()


def handle_request(target, request, conn):
    may_respond.wait(60)
    respond(conn, request)


def whole(path):
    def play(client, number):
        client.send(with_length(path, BODY_MAX) + b"b" * BODY_MAX)

    def run(fleet):
        may_respond.clear()
        return Crowd(fleet, CLIENTS, play)
    return run


play_cases(handle_request,
           [(name, whole(path)) for name, path in PATHS.items()],
           after=may_respond.set)
