"""Many clients at once send large bodies and heads to the operators' address,
without a token, up to just short of their end.  Guards against an instance that
holds them before it looks at the token."""
from clients import MB, Crowd, chunk, play_cases
from pathfleet import respond

ACCOUNT_BYTES = 20 * MB
BODY_BYTES = 8 * MB - 1
HEAD = "PUT /control/v1/document HTTP/1.1\r\nhost: h\r\n"
LENGTH = (HEAD + "content-length: %d\r\n\r\n" % (BODY_BYTES + 1)).encode()
CHUNKED = (HEAD + "transfer-encoding: chunked\r\n\r\n").encode()
# name: clients, first bytes, bytes repeated, how often
CASES = {
    "bodies with a length": (48, LENGTH, b"b" * 32768, BODY_BYTES // 32768),
    "bodies in chunks": (48, CHUNKED, chunk(32768), BODY_BYTES // 32768),
    "bodies in small chunks": (200, CHUNKED, chunk(1) * 4096, 40),
    "heads": (300, HEAD.encode(), b"x-a: " + b"b" * 32768, 9),
}


def at_operators(clients, first, piece, count):
    def play(client, number):
        client.send(first)
        for _ in range(count):
            if not client.send(piece):
                return
    return lambda fleet: Crowd(fleet, clients, play, address=fleet.operators)


play_cases(lambda t, r, c: respond(c, r),
           [(name, at_operators(*case)) for name, case in CASES.items()],
           operator_memory_max_bytes=ACCOUNT_BYTES)
