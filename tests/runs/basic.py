"""One request of each kind, invalid requests, and a drain."""
import signal
from fleet import Fleet, KEY, send_raw, request

with Fleet() as fleet:
    response = fleet.chat("i0", "id=abc write", tokens=9, stream=True)
    tokens = [line for line in response.body.split("\n\n") if "abc:" in line]
    print("stream", response.status, len(tokens), "end" in tokens[-1],
          response.body.endswith("data: [DONE]\n\n"))
    response = fleet.chat("i1", "id=abc write", tokens=9)
    print("plain", response.status,
          response.json()["usage"]["completion_tokens"])
    first = fleet.call("i0", "/services/s/lots", "id=lot", key="booking")
    again = fleet.call("i2", "/services/s/lots", "id=lot", key="booking")
    print("booking", first.status, again.status, first.body == again.body,
          again.headers.get("x-mimosapath-replayed"), "runs",
          fleet.run_count("booking"))
    other = fleet.call("i1", "/services/s/lots", "id=other", key="booking")
    print("reused key", other.status, other.json()["error"]["type"])
    stock = fleet.call("i1", "/services/s/stock/5", method="GET")
    print("stock", stock.status)

    port = fleet.callers["i0"]
    def show(name, response):
        error = response.json()["error"]
        print(name, response.status, error["type"], error["code"],
              error["run"], response.run_claim())
    auth = {"authorization": "Bearer " + KEY}
    show("no key", request(port, "POST", "/v1/chat/completions", "{}"))
    show("unknown key", request(port, "POST", "/v1/chat/completions", "{}",
                                {"authorization": "Bearer nobody"}))
    show("wrong json", request(port, "POST", "/v1/chat/completions",
                               "{\"model\":", auth))
    show("not allowed", request(port, "POST", "/v1/chat/completions",
                                '{"model":"x","messages":[{"role":"user",'
                                '"content":"a"}]}', auth))
    show("no such path", request(port, "GET", "/nothing", None, auth))
    show("too large", send_raw(
        port, "POST /services/s/lots HTTP/1.1\r\nhost: x"
        "\r\ncontent-length: 5000000\r\n\r\n"))
    # The HTTP library responds to malformed HTTP itself, in plain text.
    print("broken http", send_raw(port, "POST /services\r\n\r\n").status)
    account = fleet.wait_settled()
    print("settled", account["settled_mtok"], "reserved",
          account["reserved_mtok"])
    print("drain", fleet.kill("i0", signal.SIGTERM))
    response = fleet.retry(lambda: fleet.chat("i1", "id=x after", tokens=3))
    print("after drain", response.status)
