"""An engine ends a chat stream without a token, and the bill cannot be made
durable.  Nothing has been sent by then, so the caller is told by an error, not by
an answer that breaks off."""
import json
import signal
import threading
from fleet import Fleet, in_background
from pathfleet import SimTarget, respond

has_begun, may_end = threading.Event(), threading.Event()


def handle_request(target, request, conn):
    if request["method"] == "GET":
        return respond(conn, request, json.dumps({"boot": target.name}))
    conn.sendall(b"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
                 b"Connection: close\r\n\r\n")
    has_begun.set()
    may_end.wait(10)
    conn.sendall(b"data: [DONE]\n\n")
    return False


engine = SimTarget("e0", handle_request)
with Fleet(instances=2, control=1, engines=1, services=1, extra_document={
        "targets": {"e0": {"address": "127.0.0.1:%d" % engine.port,
                           "zone": "a", "capacity": 64}},
        "services": {"s": {"targets": ["e0"], "price_mtok": 1,
                           "timeout_ms": 3000}},
        "models": {"m": {"targets": ["e0"], "prompt_price_mtok": 1,
                         "output_price_mtok": 1, "first_token_ms": 8000,
                         "between_tokens_ms": 8000, "resumes": True}}}) as \
        fleet:
    may_end.set()
    sound = fleet.retry(lambda: fleet.chat("i1", "sound", stream=True))
    print("with control:", sound.status, repr(sound.body))
    may_end.clear()
    has_begun.clear()
    answers = []
    thread = in_background(lambda: answers.append(
        fleet.chat("i1", "cut off", stream=True)))
    has_begun.wait(10)
    fleet.kill("i0", signal.SIGKILL)
    may_end.set()
    thread.join(20)
    print("without:", answers[0].status, "run", answers[0].run_claim(),
          json.loads(answers[0].body)["error"]["type"]
          if answers[0].status else repr(answers[0].body[:60]))
