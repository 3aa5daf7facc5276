"""A caller closes its stream: the engine stops and the tokens used so far are
billed.  When the caller repeats the key, the whole answer has one bill.  A
booking whose caller disconnects runs to its end, and its answer is kept."""
import json
import socket
import time
from fleet import Fleet, KEY, wait_for

with Fleet(instances=2, control=1, engine_options=["--token-us", "50000"],
           service_options=["--call-us", "600000"]) as fleet:
    def send_request(path, key, body):
        conn = socket.create_connection(("127.0.0.1", fleet.callers["i1"]))
        conn.sendall(("POST %s HTTP/1.1\r\nhost: x\r\nauthorization: Bearer "
                      "%s\r\nidempotency-key: %s\r\ncontent-length: %d\r\n\r\n"
                      "%s" % (path, KEY, key, len(body), body)).encode())
        return conn
    text = "id=long #long"
    conn = send_request("/v1/chat/completions", "s", json.dumps({
        "model": "m", "stream": True, "max_tokens": 200,
        "messages": [{"role": "user", "content": text}]}))
    received = b""
    while received.count(b"long:") < 5:
        received += conn.recv(4096)
    conn.close()
    account = fleet.wait_settled()
    prompt = len("user\n" + text + "\n") // 4
    used = account["settled_mtok"] // 1000
    print("billed a part", prompt + 5 <= used <= prompt + 60)
    again = fleet.chat("i0", text, key="s", tokens=20, stream=True)
    print("again", again.status, again.body.endswith("[DONE]\n\n"))
    other = fleet.call("i0", "/v1/chat/completions", json.dumps({
        "model": "m", "stream": True, "max_tokens": 200,
        "messages": [{"role": "user", "content": text}]}), "s")
    print("same request", other.status, ":199:end" in other.body)
    account = fleet.wait_settled()
    print("one bill", account["settled_mtok"] == (prompt + 200) * 1000)
    conn = send_request("/services/s/lots", "lot", "id=lot")
    time.sleep(0.2)
    conn.close()
    response = fleet.retry(lambda: fleet.call("i0", "/services/s/lots",
                                              "id=lot", key="lot"))
    print("booking", response.status, response.headers.get(
        "x-mimosapath-replayed"), "runs", fleet.run_count("lot"))
