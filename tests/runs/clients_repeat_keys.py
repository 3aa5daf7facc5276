"""Clients send chats of legal size whose keys are repeated, or all have
one hash in a table without a seed.  Guards against an instance that stands still
while it looks for duplicate keys."""
import json
from itertools import islice, product

from clients import MB, Crowd, play_cases, with_length
from pathfleet import respond

BODY_MAX, ACCOUNT_BYTES = 4 * MB, 64 * MB
CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "extra": {}})
# "Ez" and "FY" have the same value in a hash that multiplies by 33.
ALIKE = ["".join(pairs) for pairs in
         islice(product(("Ez", "FY"), repeat=17), 80000)]
# name: clients, members of an object
CASES = {
    "repeated": (8, ['"a":1'] * 140000),
    "of one hash": (2, ['"%s":1' % key for key in ALIKE]),
}


def keyed(clients, members):
    body = CHAT.replace("{}", "{%s}" % ",".join(members), 1).encode()

    def play(client, number):
        client.send(with_length("/v1/chat/completions", len(body)) + body)
        client.receive()
    return lambda fleet: Crowd(fleet, clients, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, keyed(*case)) for name, case in CASES.items()],
           body_most_bytes=BODY_MAX, memory_max_bytes=ACCOUNT_BYTES)
