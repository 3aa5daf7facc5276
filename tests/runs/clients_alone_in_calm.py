"""One client sends a body of the largest size, announced or in chunks of any
size, to an instance with the least memory that its settings allow.  Guards
against limits that refuse a single request within the documented ones."""
from clients import BODY_MAX, Client, chunk, crowded_fleet, in_chunks, \
    wait_ready, with_length
from pathfleet import read_all, respond, status_of

PATHS = {"path": "/x/", "native": "/services/raw/x/"}


def in_chunks_of(size):
    return lambda path: in_chunks(path) + chunk(size) * (
        (BODY_MAX - 1) // size) + b"0\r\n\r\n"


BODIES = {
    "with a length": lambda path: with_length(path, BODY_MAX) +
    b"b" * BODY_MAX,
    "in one chunk": in_chunks_of(BODY_MAX - 1),
    "in chunks of 4096 bytes": in_chunks_of(4096),
    "in chunks of 16 bytes": in_chunks_of(16),
    "in chunks of one byte": in_chunks_of(1),
}

fleet = crowded_fleet(lambda t, r, c: respond(c, r),
                      memory_max_bytes=2 * BODY_MAX)
with fleet:
    print("ready", wait_ready(fleet))
    for name, path in PATHS.items():
        for shape, request in BODIES.items():
            client = Client(fleet)
            client.send(request(path).replace(
                b"\r\n", b"\r\nconnection: close\r\n", 1))
            print(name, shape, status_of(read_all(client.conn)))
