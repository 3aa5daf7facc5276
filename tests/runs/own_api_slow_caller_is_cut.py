"""A caller reads a long stream of our own API late, and the time between two
tokens passes meanwhile: the stream goes on, from the same target.  One that
reads nothing for as long as a connection may be idle is cut off."""
import json
import socket
import time
from fleet import KEY, Fleet, wait_for
from pathfleet import SimTarget, id_line, respond

EVENTS = 900
EVENT = 'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % (
    "x" * 16000)
DONE = "data: [DONE]\n\n"
streams = []


def chunk(text):
    return ("%x\r\n%s\r\n" % (len(text), text)).encode()


def handle_request(target, request, conn):
    if request["path"].startswith("/status"):
        return respond(conn, request, "{}", status=404)
    streams.append(target.name)
    conn.sendall(("HTTP/1.1 200 X\r\n%sContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  % id_line(request)).encode())
    for _ in range(EVENTS):
        conn.sendall(chunk(EVENT))
    conn.sendall(chunk(DONE) + b"0\r\n\r\n")
    return False


def request_stream():
    body = json.dumps({"model": "m", "stream": True, "max_tokens": 1000,
                       "messages": [{"role": "user", "content": "long"}]})
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.settimeout(20)
    conn.connect(("127.0.0.1", fleet.callers["i0"]))
    conn.sendall(("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                  "authorization: Bearer %s\r\ncontent-length: %d\r\n\r\n%s"
                  % (KEY, len(body), body)).encode())
    return conn


def read_stream(conn, data):
    """Returns the number of events, and whether the stream ends whole."""
    while not data.endswith(b"0\r\n\r\n"):
        part = conn.recv(1 << 20)
        if not part:
            break
        data += part
    return data.count(b"data: {"), data.endswith(chunk(DONE) + b"0\r\n\r\n")


def log_has(text):
    with open(fleet.path("i0.log")) as log:
        return text in log.read()


targets = [SimTarget("engine-%d" % n, handle_request) for n in range(2)]
document = {
    "targets": {t.name: {"address": "127.0.0.1:%d" % t.port, "zone": "a",
                         "capacity": 8} for t in targets},
    "services": {"s": {"targets": ["engine-0"], "price_mtok": 10000,
                       "timeout_ms": 3000}},
    "limits": {"idle_timeout_ms": 6000}}
with Fleet(instances=1, control=1, engines=2, services=0,
           extra_document=document) as fleet:
    late = request_stream()
    first = late.recv(3000)
    time.sleep(3)  # the time between two tokens is 1 s
    print("late", read_stream(late, first), "attempts", len(streams))
    stalled = request_stream()
    print("stalled", wait_for(lambda: log_has("caller-stalled"), 20),
          wait_for(lambda: log_has("outcome=cut error=stream_cut")))
    print("settled", bool(fleet.wait_settled()))
