"""Many clients at once send chats of legal size with as many JSON values as
fit.  Guards against an instance that counts a parsed chat by the size of its
text."""
import json

from clients import BODY_MAX, Crowd, play_cases, with_length
from pathfleet import respond

CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word"}], "extra": []})
# name: the value that is repeated, clients, bytes of a body
CASES = {
    "numbers": ("1,", 24, BODY_MAX),
    "lists": ("[],", 24, BODY_MAX),
    "objects": ('{"a":{}},', 24, BODY_MAX),
    "numbers, small bodies": ("1,", 200, 32768),
    "lists, small bodies": ("[],", 200, 32768),
    "objects, small bodies": ('{"a":{}},', 200, 32768),
    "objects behind a quote in a comment": ('{"a":{}},', 200, 32768),
}


def nested(name, value, clients, size):
    opening = '/*"*/[' if "comment" in name else "["
    count = (size - len(CHAT) - len(opening)) // len(value)
    body = CHAT.replace("[]", "%s%s1]" % (opening, value * count), 1).encode()

    def play(client, number):
        client.send(with_length("/v1/chat/completions", len(body)) + body)
        client.receive()
    return lambda fleet: Crowd(fleet, clients, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, nested(name, *case)) for name, case in CASES.items()])
