"""A response has as many bytes as its head says.  Callers that keep their
connection split what they receive by the heads and find one response for each
request and nothing between or behind them.  Printed for each response: status
+ bytes of its body, and how its end is told if not by that length."""
from fleet import TOKEN
from pathfleet import (KeptCaller, ReadError, relay_fleet,
                       request_text, respond, wait_for_service,
                       wait_targets)

TEXT = "text of the target"
CHUNKS = "5\r\nhello\r\n0\r\n\r\n"
# What the target sends behind the status line and the id of the request.
RESPONSES = {
    "empty": ("200", "Content-Length: 0\r\n\r\n"),
    "chunks": ("200", "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS),
    "to-the-end": ("200", "\r\n" + TEXT),
    "too-short": ("200", "Content-Length: 30\r\n\r\n" + TEXT),
    "too-long": ("200", "Content-Length: 4\r\n\r\n" + TEXT),
    "chunks-and-length": (
        "200", "Content-Length: 18\r\nTransfer-Encoding: chunked\r\n\r\n" +
        CHUNKS),
    "two-lengths": (
        "200", "Content-Length: 4\r\nContent-Length: 18\r\n\r\n" + TEXT),
    "same-length-twice": (
        "200", "Content-Length: 18\r\nContent-Length: 18\r\n\r\n" + TEXT),
    "torn-chunk": ("200", "Transfer-Encoding: chunked\r\n\r\n5\r\nhel"),
    "204": ("204", "\r\n"),
    "204-length": ("204", "Content-Length: 18\r\n\r\n"),
    "204-body": ("204", "Content-Length: 18\r\n\r\n" + TEXT),
    "204-chunks": ("204", "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS),
    "304": ("304", "ETag: \"1\"\r\n\r\n"),
    "304-length": ("304", "Content-Length: 18\r\n\r\n"),
    "304-body": ("304", "Content-Length: 18\r\n\r\n" + TEXT),
    "404-empty": ("404", "Content-Length: 0\r\n\r\n"),
    "500-to-the-end": ("500", "\r\n" + TEXT),
    "500-too-short": ("500", "Content-Length: 30\r\n\r\n" + TEXT),
    "500-torn-chunk": (
        "500", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nhel"),
    "encoded": ("200", "Content-Encoding: gzip\r\nContent-Length: 18\r\n\r\n" +
                TEXT),
    "last": ("200", "Connection: close\r\nContent-Length: 18\r\n\r\n" + TEXT),
}
# The target closes its connection after the others.
KEPT = ("empty", "chunks", "404-empty", "304", "304-length", "304-body", "204",
        "204-length", "204-body", "204-chunks")


def handle_request(target, req, conn):
    name = req["path"].split("/")[2]
    if name == "ok":
        return respond(conn, req, "next")
    interim = ""
    if name.startswith("interim-"):
        name = name[len("interim-"):]
        interim = ("HTTP/1.1 103 X\r\nLink: a\r\n\r\n"
                   "HTTP/1.1 100 Continue\r\n\r\n")
    status, rest = RESPONSES[name]
    head, _, body = rest.partition("\r\n\r\n")
    if rest.startswith("\r\n"):
        head, body = "", rest[2:]
    if req["method"] == "HEAD":
        body = ""
    if name not in KEPT and "Connection" not in head:
        head += ("\r\n" if head else "") + "Connection: close"
    conn.sendall(("%sHTTP/1.1 %s X\r\nx-mimosapath-request: %s\r\n%s\r\n%s" % (
        interim, status, req["headers"].get("x-mimosapath-request", ""),
        head + "\r\n" if head else "", body)).encode())
    return name in KEPT


def exchange(port, requests, is_pipelined):
    """Sends requests (method and bytes); returns what came back for each."""
    caller = KeptCaller(port)
    seen = []
    try:
        if is_pipelined:
            caller.methods = [method for method, _ in requests]
            caller.conn.sendall(b"".join(text for _, text in requests))
        for method, text in requests:
            if not is_pipelined:
                caller.write(method, text)
            answer = caller.read()
            seen.append("%d+%d" % (answer.status, len(answer.body)))
            if answer.first("content-length") != str(len(answer.body)):
                seen[-1] += ":" + (answer.first("content-length") or
                                   answer.first("transfer-encoding") or "end")
            if answer.status == 204 and answer.has_length():
                seen[-1] += "-WITH-A-LENGTH"
            claim = answer.first("x-mimosapath-run")
            if claim:
                seen[-1] += "-" + claim
    except (ReadError, ConnectionError) as error:
        text = str(error) if isinstance(error, ReadError) else "cut"
        seen.append(text[:30].replace(" ", "_"))
        caller.data = b""
    if caller.left_over(0.05):
        seen.append("LEFT-OVER")
    caller.close()
    return " ".join(seen)


def report(port, name, method, path, prefix, **how):
    results = []
    body = "" if method in ("GET", "HEAD") else "{}"
    next_one = ("POST", request_text("POST", prefix + "ok/", body="{}"))
    first = (method, how.get("text") or request_text(
        method, path, how.get("headers", ()), body,
        how.get("version", "1.1")))
    for is_pipelined in (False, True):
        results.append(exchange(port, [first, next_one], is_pipelined))
    if results[0] != results[1]:
        results[0] += " PIPELINED: " + results[1]
    print(name, method, results[0])


def make_text(line, *fields, body=""):
    return "".join(f + "\r\n" for f in (line, "Host: h.example") + fields +
                   ("", )).encode() + body.encode()


# Requests that the HTTP library or a check before the handler turns away.
MALFORMED = {
    "no-http": ("GET", b"\x01\x02\r\n\r\n"),
    "no-version": ("GET", b"GET /x/ok/\r\n\r\n"),
    "no-path": ("GET", make_text("GET nothing HTTP/1.1")),
    "asterisk": ("OPTIONS", make_text("OPTIONS * HTTP/1.1")),
    "head-no-path": ("HEAD", make_text("HEAD nothing HTTP/1.1")),
    "bad-length": ("POST", make_text("POST /x/ok/ HTTP/1.1",
                                     "Content-Length: x")),
    "huge-length": ("POST", make_text("POST /x/ok/ HTTP/1.1",
                                      "Content-Length: 99999999999")),
    "two-lengths": ("POST", make_text(
        "POST /x/ok/ HTTP/1.1", "Content-Length: 1", "Content-Length: 2",
        body="ab")),
    "bad-chunk": ("POST", make_text(
        "POST /x/ok/ HTTP/1.1", "Transfer-Encoding: chunked", body="zz\r\n")),
    "huge-head": ("GET", make_text("GET /x/ok/ HTTP/1.1",
                                   "X-Pad: " + "p" * 70000)),
    "large-head": ("GET", make_text("GET /x/ok/ HTTP/1.1",
                                    "X-Pad: " + "p" * 20000)),
    "bad-expect": ("POST", make_text("POST /x/ok/ HTTP/1.1", "Expect: more",
                                     "Content-Length: 2", body="{}")),
    "no-key": ("POST", make_text("POST /x/ok/ HTTP/1.1", "Content-Length: 2",
                                 body="{}")),
    "head-no-key": ("HEAD", make_text("HEAD /x/ok/ HTTP/1.1")),
    "no-path-of-ours": ("HEAD", make_text("HEAD /none HTTP/1.1")),
}

# Errors of the console are pages, not the JSON of errors of h2o.
def report_console(port, method):
    caller = KeptCaller(port)
    text = ("%s /none HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n"
            % (method, TOKEN)).encode()
    try:
        for turn in ("first", "second"):
            caller.write(method, text)
            answer = caller.read()
            print("console", method, turn, answer.status,
                  answer.first("content-type"), answer.body[:15])
    except ReadError as error:
        print("console", method, error)
    if caller.left_over(0.05):
        print("LEFT-OVER")
    caller.close()


fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    port = fleet.callers["i0"]
    for api, prefix in prefixes.items():
        for name in RESPONSES:
            for method in ("POST", "HEAD"):
                report(port, api + " " + name, method, prefix + name + "/",
                       prefix)
        for name in ("chunks", "204", "interim-chunks", "interim-204",
                     "interim-500-to-the-end"):
            report(port, api + " " + name, "GET", prefix + name + "/", prefix)
        for name in ("empty", "chunks", "to-the-end", "too-short",
                     "torn-chunk", "204"):
            report(port, api + " 1.0-kept " + name, "POST",
                   prefix + name + "/", prefix, version="1.0",
                   headers=[("connection", "keep-alive")])
            report(port, api + " closing " + name, "POST",
                   prefix + name + "/", prefix,
                   headers=[("connection", "close")])
    for name, (method, text) in MALFORMED.items():
        report(port, "malformed " + name, method, "", "/x/", text=text)
        for kind, other in (("operator", fleet.operators["i0"]),
                            ("simulated-target", fleet.targets["service-0"])):
            seen = exchange(other, [(method, text)], False)
            print(kind, name, seen)
    for method in ("GET", "HEAD"):
        report_console(fleet.operators["i0"], method)
