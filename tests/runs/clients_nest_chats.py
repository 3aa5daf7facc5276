"""Many clients at once send chats of legal size with as many JSON values as
fit.  Guards against an instance that counts a parsed chat by the size of its
text."""
import json

from clients import BODY_MAX, Crowd, play_cases, with_length
from pathfleet import respond

CLIENTS = 24
CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "extra": []})
# name: the value that is repeated
SHAPES = {"numbers": "1,", "lists": "[],", "objects": '{"a":{}},'}


def nested(value):
    count = (BODY_MAX - len(CHAT) - 1) // len(value)
    body = CHAT.replace("[]", "[%s1]" % (value * count), 1).encode()

    def play(client, number):
        client.send(with_length("/v1/chat/completions", len(body)) + body)
        try:
            client.conn.recv(1000)
        except OSError:
            pass
    return lambda fleet: Crowd(fleet, CLIENTS, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, nested(value)) for name, value in SHAPES.items()])
