"""Many clients at once send bodies of legal size up to just short of their
end, and stay.  Guards against an instance that holds all of them, whatever
they come to."""
from clients import BODY_MAX, Crowd, chunk, in_chunks, play_cases, with_length
from pathfleet import respond

CLIENTS = 48
PIECE = 32768
PATHS = {"path": "/x/", "native": "/services/raw/x/"}


def send_pieces(client, piece, count):
    for _ in range(count):
        if not client.send(piece):
            return


def of_length(path):
    def play(client, number):
        client.send(with_length(path, BODY_MAX))
        send_pieces(client, b"b" * PIECE, BODY_MAX // PIECE - 1)
        client.send(b"b" * (PIECE - 1))
    return lambda fleet: Crowd(fleet, CLIENTS, play)


def chunked(path):
    def play(client, number):
        client.send(in_chunks(path))
        send_pieces(client, chunk(PIECE), BODY_MAX // PIECE - 1)
    return lambda fleet: Crowd(fleet, CLIENTS, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name + ", with a length", of_length(path))
            for name, path in PATHS.items()] +
           [(name + ", in chunks", chunked(path))
            for name, path in PATHS.items()])
