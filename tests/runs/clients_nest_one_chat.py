"""One client sends a chat of legal size with as many JSON values as fit.  It is
served in calm, within the memory of the instance."""
import json

from clients import BODY_MAX, Crowd, play_cases, with_length
from pathfleet import respond, status_of

CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "extra": []})
SHAPES = {"numbers": "1,", "lists": "[],", "objects": '{"a":{}},'}


def body_of(value):
    count = (BODY_MAX - len(CHAT) - 1) // len(value)
    return CHAT.replace("[]", "[%s1]" % (value * count), 1).encode()


def body_of_members():
    """Returns a body with an object whose many keys all differ."""
    count = (BODY_MAX - len(CHAT)) // len('"00000":1,')
    members = ",".join('"%05x":1' % n for n in range(count))
    return CHAT.replace("[]", "{%s}" % members, 1).encode()


def nested(name, body):

    def play(client, number):
        client.send(with_length("/v1/chat/completions", len(body)) + body)
        print(name, "status", status_of(client.receive()))
    return lambda fleet: Crowd(fleet, 1, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, nested(name, body_of(value)))
            for name, value in SHAPES.items()] +
           [("members", nested("members", body_of_members()))])
