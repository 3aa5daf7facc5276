"""A chat stream breaks off after three events, and the next engine answers with
an error or with no stream.  The stream goes on at a third engine, or it ends
with an error event and without its end; no other answer stands in it."""
import json
import socket

from fleet import KEY, Fleet
from pathfleet import SimTarget, chunks_of, respond, status_of

TOKENS = 6
STREAM = "text/event-stream"


def token(number):
    return "data: %s\n\n" % json.dumps(
        {"choices": [{"index": 0, "delta": {"content": "t%d" % number}}]})


def send_stream(conn, first, last, is_done, content_type=STREAM, extra=""):
    conn.sendall(("HTTP/1.1 200 X\r\nContent-Type: %s\r\n%s"
                  "Connection: close\r\n\r\n" % (content_type,
                                                 extra)).encode())
    text = "".join(token(n) for n in range(first, last))
    conn.sendall((text + ("data: [DONE]\n\n" if is_done else
                          "data: {\"cho")).encode())
    return False


ANSWERS = {
    "error-404": lambda c, r: respond(c, r, "FOREIGN", 404),
    "error-400": lambda c, r: respond(c, r, "FOREIGN", 400),
    "error-500": lambda c, r: respond(c, r, "FOREIGN", 500),
    "json": lambda c, r: respond(
        c, r, "{\"FOREIGN\": 1}", 200, "Content-Type: application/json\r\n"),
    "text": lambda c, r: respond(c, r, "FOREIGN"),
    "longer-type": lambda c, r: send_stream(
        c, 0, 1, True, "text/event-streams"),
    "encoded": lambda c, r: send_stream(
        c, 3, TOKENS, True, extra="Content-Encoding: gzip\r\n"),
    "other-case": lambda c, r: send_stream(
        c, 3, TOKENS, True, "Text/Event-Stream;charset=utf-8"),
}
state = {"how": "", "third": False, "number": 0}


def handle_request(target, request, conn):
    if request["method"] == "GET":
        return respond(conn, request, json.dumps({"boot": target.name}))
    state["number"] += 1
    if state["number"] == 1:
        if state["how"] == "unreachable":
            for other in targets:
                other.listener.shutdown(socket.SHUT_RDWR)
        return send_stream(conn, 0, 3, False)
    if state["number"] == 2 or not state["third"]:
        ANSWERS[state["how"]](conn, request)
        return False
    return send_stream(conn, 3, TOKENS, True)


def ask(how, third):
    for _ in range(10):  # each request earns a part of a retry
        state.update(how="other-case", third=True, number=2)
        fleet.chat("i0", "sound", tokens=20, stream=True)
    state.update(how=how, third=third, number=0)
    body = json.dumps({"model": "m", "stream": True, "max_tokens": 20,
                       "messages": [{"role": "user", "content": how}]})
    conn = socket.create_connection(("127.0.0.1", fleet.callers["i0"]), 10)
    conn.sendall(("POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n"
                  "authorization: Bearer %s\r\nconnection: close\r\n"
                  "content-length: %d\r\n\r\n%s" % (
                      KEY, len(body), body)).encode())
    data = b""
    while True:
        part = conn.recv(65536)
        if not part:
            break
        data += part
    conn.close()
    body, end = chunks_of(data)
    events = body.split("\n\n")
    tokens = [e for e in events if "choices" in e]
    print(how, "third" if third else "no third", status_of(data), end,
          "tokens", len(tokens), "in order", tokens == [
              token(n).rstrip() for n in range(len(tokens))],
          "foreign", "FOREIGN" in body, "done", "[DONE]" in body,
          "error event", bool(events[-2:-1]) and events[-1] == "" and
          "stream_cut" in events[-2])


targets = [SimTarget("e%d" % n, handle_request) for n in range(8)]
fleet = Fleet(instances=1, control=1, engines=1, services=1,
              extra_document={
                  "targets": dict({t.name: {
                      "address": "127.0.0.1:%d" % t.port, "zone": "a",
                      "capacity": 64} for t in targets}),
                  "services": {"s": {"targets": ["e0"], "price_mtok": 1,
                                     "timeout_ms": 3000}},
                  "models": {"m": {"targets": [t.name for t in targets],
                                   "prompt_price_mtok": 1,
                                   "output_price_mtok": 1,
                                   "first_token_ms": 2000,
                                   "between_tokens_ms": 1000,
                                   "resumes": True}}})
with fleet:
    for how in ANSWERS:
        ask(how, False)
        if how != "other-case":
            ask(how, True)
    ask("unreachable", False)
    print("reserved", fleet.wait_settled()["reserved_mtok"])
