"""Many clients in turn send whole bodies in small chunks to targets that take
their time, and leave.  Guards against an instance that counts less of the bodies
that it keeps for the targets than they take."""
import threading

from clients import Crowd, chunk, in_chunks, play_cases
from pathfleet import respond

KB = 1024
# name: clients, bytes of a body
CASES = {"95 KB": (110, 95 * KB), "20 KB": (240, 20 * KB)}
may_respond = threading.Event()


def handle_request(target, request, conn):
    may_respond.wait(60)
    respond(conn, request)


def left(clients, body_bytes):
    def play(client, number):
        client.send(in_chunks("/x/") + chunk(1) * body_bytes + b"0\r\n\r\n")
        client.conn.settimeout(0.3)
        client.receive()
        client.close()

    def run(fleet):
        may_respond.clear()
        return Crowd(fleet, clients, play, at_once=16)
    return run


play_cases(handle_request,
           [(name, left(*case)) for name, case in CASES.items()],
           after=may_respond.set)
