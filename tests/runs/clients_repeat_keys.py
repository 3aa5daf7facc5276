"""Clients send chats of legal size with one key over and over.
Guards against an instance that stands still while it reports duplicate keys."""
import json

from clients import MB, Crowd, play_cases, with_length
from pathfleet import respond

BODY_MAX, ACCOUNT_BYTES = 4 * MB, 64 * MB
CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "extra": {}})
# name: clients, members of an object
CASES = {
    "repeated": (8, ['"a":1'] * 140000),
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
