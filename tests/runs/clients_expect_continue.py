"""Many clients at once wait for 100 (Continue) before they send large bodies,
and chats with large prompts arrive at once.  Guards against bodies that are not
counted once the server library has sent that response, and against what parsing
them takes."""
import json

from clients import BODY_MAX, MB, Crowd, head, play_cases, with_length
from pathfleet import respond

CLIENTS = 48
PATHS = {"path": "/x/", "native": "/services/raw/x/"}
CHAT = json.dumps({"model": "m", "max_tokens": 5, "messages": [
    {"role": "user", "content": "word " * (MB // 6)}]}).encode()


def receive(client):
    try:
        client.conn.recv(1000)
    except OSError:
        pass


def expecting(path):
    def play(client, number):
        client.send(head(path, "content-length: %d" % BODY_MAX,
                         "expect: 100-continue"))
        receive(client)
        client.send(b"b" * (BODY_MAX - 1))
    return lambda fleet: Crowd(fleet, CLIENTS, play)


def play_chat(client, number):
    client.send(with_length("/v1/chat/completions", len(CHAT)) + CHAT)
    receive(client)


play_cases(lambda t, r, c: respond(c, r),
           [(name + ", after 100", expecting(path))
            for name, path in PATHS.items()] +
           [("chats", lambda fleet: Crowd(fleet, CLIENTS, play_chat))])
