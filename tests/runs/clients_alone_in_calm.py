"""One client sends a body of the largest size, announced or in chunks of any
size, to an instance with the least memory that its settings allow, or by way of
it to another one.  Guards against limits that refuse a single request within the
documented ones."""
import json

from clients import BODY_MAX, Client, crowded_fleet, fleet_of_three, \
    in_chunks, wait_ready, with_length
from pathfleet import read_all, respond, status_of, wait_targets

REFUSED = "i1"  # has no path to the target of /x/
CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "x": "b"}).encode()
PATHS = {
    "path": ("/x/", b"b" * BODY_MAX),
    "native": ("/services/raw/x/", b"b" * BODY_MAX),
    "chat": ("/v1/chat/completions",
             CHAT.replace(b'"b"', b'"%s"' % (b"b" * (
                 BODY_MAX - len(CHAT) + 1)))),
}


def in_chunks_of(size):
    def request(path, body):
        parts = [body[at:at + size] for at in range(0, len(body), size)]
        return in_chunks(path) + b"".join(
            b"%x\r\n%s\r\n" % (len(part), part)
            for part in parts) + b"0\r\n\r\n"
    return request


SHAPES = {
    "with a length": lambda path, body: with_length(path, len(body)) + body,
    "in one chunk": in_chunks_of(BODY_MAX),
    "in chunks of 4096 bytes": in_chunks_of(4096),
    "in chunks of 16 bytes": in_chunks_of(16),
    "in chunks of one byte": in_chunks_of(1),
}


def play(fleet, name, path, body, at="i0"):
    for shape, request in SHAPES.items():
        client = Client(fleet, at=at)
        client.send(request(path, body).replace(
            b"\r\n", b"\r\nconnection: close\r\n", 1))
        print(name, shape, status_of(read_all(client.conn)))


single = crowded_fleet(lambda t, r, c: respond(c, r),
                       memory_max_bytes=2 * BODY_MAX)
with single:
    print("ready", wait_ready(single))
    for kind, (where, what) in PATHS.items():
        play(single, kind, where, what)
three, target = fleet_of_three(lambda t, r, c: respond(c, r), [REFUSED],
                               memory_max_bytes=2 * BODY_MAX)
with three:
    print("ready", all(wait_targets(three, n) for n in three.names))
    three.refuse_connections(REFUSED, [target.port])
    print("reached", wait_targets(three, REFUSED, "/x/"))
    play(three, "by another instance", *PATHS["path"], at=REFUSED)
