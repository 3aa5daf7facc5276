"""A request whose head tells two lengths is refused on all interfaces: what
one reader takes for its body, another takes for the next request."""
from fleet import KEY
from pathfleet import (KeptCaller, relay_fleet, respond, wait_for_service,
                       wait_targets)

LENGTHS = {
    "two": ["Content-Length: 1", "Content-Length: 2"],
    "same": ["Content-Length: 2", "Content-Length: 2"],
    "encoded": ["Content-Length: 2", "Transfer-Encoding: chunked"],
    "encoded-first": ["Transfer-Encoding: chunked", "Content-Length: 2"],
}
seen = []


def handle_request(target, req, conn):
    seen.append(req["body"])
    return respond(conn, req)


def report(name, port, path, fields):
    caller = KeptCaller(port)
    del seen[:]
    body = "2\r\n{}\r\n0\r\n\r\n" if "T" in "".join(fields) else "{}"
    head = ["POST %s HTTP/1.1" % path, "Host: h.example",
            "Authorization: Bearer " + KEY] + fields
    caller.write("POST", ("\r\n".join(head) + "\r\n\r\n" + body).encode())
    answer = caller.read()
    more = caller.left_over()
    print(name, answer.status, answer.first("x-mimosapath-run"),
          answer.first("connection"), more, "requests", len(seen))
    caller.close()


fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for name, fields in LENGTHS.items():
        for api, prefix in prefixes.items():
            report(api + " " + name, fleet.callers["i0"], prefix, fields)
        report("operator " + name, fleet.operators["i0"], "/metrics", fields)
