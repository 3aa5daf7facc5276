"""One client sends a chat of legal size with as many JSON values as fit.  It is
served in calm, within the memory of the instance."""
import json

from clients import BODY_MAX, Crowd, play_cases, with_length
from pathfleet import respond, status_of

CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "extra": []})
SHAPES = {"numbers": "1,", "lists": "[],", "objects": '{"a":{}},'}


def nested(name, value):
    count = (BODY_MAX - len(CHAT) - 1) // len(value)
    body = CHAT.replace("[]", "[%s1]" % (value * count), 1).encode()

    def play(client, number):
        client.send(with_length("/v1/chat/completions", len(body)) + body)
        print(name, "status", status_of(client.receive()))
    return lambda fleet: Crowd(fleet, 1, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, nested(name, value)) for name, value in SHAPES.items()])
