"""Many clients at once send bodies in chunks of a few bytes, up to just short
of their end, and stay.  Guards against an instance that counts less of them
than it keeps: the framing takes more room than the body."""
from clients import Crowd, chunk, in_chunks, play_cases
from pathfleet import respond

KB = 1024
# name: path, clients, bytes of a chunk, bytes of a body
CASES = {
    "path, 100 KB": ("/x/", 200, 1, 100 * KB),
    "path, 60 KB": ("/x/", 200, 1, 60 * KB),
    "path, 20 KB": ("/x/", 400, 1, 20 * KB),
    "path, 4 KB": ("/x/", 1000, 1, 4 * KB),
    "path, 60 KB in larger ones": ("/x/", 200, 4, 60 * KB),
    "native, 60 KB": ("/services/raw/x/", 200, 1, 60 * KB),
    "native, 4 KB": ("/services/raw/x/", 1000, 1, 4 * KB),
}


def chunked(path, clients, chunk_bytes, body_bytes):
    body = chunk(chunk_bytes) * (body_bytes // chunk_bytes)

    def play(client, number):
        client.send(in_chunks(path) + body)
    return lambda fleet: Crowd(fleet, clients, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, chunked(*case)) for name, case in CASES.items()])
