"""Each request of our own API has one line that tells how it ended for its
caller, and `explain` finds it by the id in the answer."""
import json
import re
import socket
import subprocess
from fleet import KEY, PROGRAM, Fleet, wait_for


def ends_of(request_id):
    with open(fleet.path("i0.log")) as log:
        return re.findall(r"request-ended id=%s workspace=(\S+) outcome=(\S+) "
                          r"error=(\S+) status=(\d+)"
                          % request_id, log.read())


def show(what, response):
    request_id = response.headers["x-mimosapath-request"]
    wait_for(lambda: ends_of(request_id))
    print(what, response.status, ends_of(request_id))
    return request_id


def leave_stream():
    """Requests a stream, leaves after its first event and returns the id."""
    body = json.dumps({"model": "m", "stream": True, "max_tokens": 40,
                       "messages": [{"role": "user", "content": "#long"}]})
    with socket.create_connection(("127.0.0.1", fleet.callers["i0"])) as conn:
        conn.sendall(("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                      "authorization: Bearer %s\r\ncontent-length: %d\r\n\r\n"
                      "%s" % (KEY, len(body), body)).encode())
        data = b""
        while b"data:" not in data:
            data += conn.recv(4096)
    return re.search(rb"x-mimosapath-request: (\S+)", data)[1].decode()


with Fleet(instances=1, control=1, engine_options=["--token-us", "50000"],
           budget_tokens=1000) as fleet:
    show("service", fleet.call("i0", "/services/s/lots", "id=a", key="a"))
    show("replayed", fleet.call("i0", "/services/s/lots", "id=a", key="a"))
    show("chat", fleet.chat("i0", "id=b", tokens=2))
    show("stream", fleet.chat("i0", "id=c", tokens=2, stream=True))
    show("no service", fleet.call("i0", "/services/x/lots", "id=d"))
    show("bad chat", fleet.call("i0", "/v1/chat/completions", "{}"))
    over = show("over the budget", fleet.chat("i0", "id=e", tokens=5000))
    left = leave_stream()
    print("left", wait_for(lambda: ends_of(left)))
    fleet.kill("service-0")
    show("no target", fleet.call("i0", "/services/s/lots", "id=f", key="f"))
    told = subprocess.run([PROGRAM, "explain", over, fleet.path("i0.log")],
                          stdout=subprocess.PIPE, text=True).stdout
    print("explained", "outcome on i0: refused, budget_exhausted" in told)
