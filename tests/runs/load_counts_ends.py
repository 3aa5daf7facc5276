"""The load test fails where instances count other ends of its requests than it
saw: answered, refused, cut in the answer, closed without a byte."""
import json
import subprocess
from fleet import PROGRAM
from pathfleet import SimTarget, respond

ENDS = ["answered", "refused", "cut", "caller-left", "unanswered"]


def answer(target, request, conn):
    if request["path"] == "/metrics":
        target.requests.pop()
        if target.names is None:
            return respond(conn, request, "other_total 3\n")
        lines = ["mimosapath_caller_requests_read_total %d" % sum(
            target.ends.values())]
        lines += ['mimosapath_caller_requests_ended_total{end="%s"} %d' % (
            target.names.get(end, end), target.ends[end]) for end in ENDS]
        return respond(conn, request, "\n".join(lines) + "\n")
    end = ENDS[request["count"] % 5]
    end = "answered" if end == "caller-left" else end
    target.ends[end] += 1
    if end == "unanswered":
        return False
    if end == "refused":
        conn.sendall(b"HTTP/1.1 503 X\r\nx-mimosapath-run: no\r\n"
                     b"Content-Length: 24\r\n\r\n"
                     b'{"error":{"run":"no"  }}')
        return None
    key = request["body"].decode().partition("id=")[2]
    body = '{"tag":"%s"}' % key
    conn.sendall(("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body), body))[:-3 if end == "cut" else None].encode())
    return end != "cut"


def run_load(label, names):
    """names maps ends to those under which the metrics show them."""
    server = SimTarget("server", answer)
    server.names, server.ends = names, dict.fromkeys(ENDS, 0)
    address = "127.0.0.1:%d" % server.port
    result = subprocess.run(
        [PROGRAM, "load", "--rate", "60", "--seconds", "2", "--quiet",
         "--retries", "0", "--direct", "--mix", "bookings",
         "--instance", address, "--metrics", address],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, timeout=60)
    print("%s: exit %d, as the server saw it %s, each end %s" % (
        label, result.returncode,
        json.loads(result.stdout)["ends"] == server.ends,
        all(server.ends[e] for e in ENDS if e != "caller-left")))
    print("".join("  %s\n" % line.split(":")[1].strip()
                  for line in result.stderr.splitlines()
                  if line.startswith("load: ")), end="")


run_load("same counts", {})
run_load("no byte counted as an answer", {"unanswered": "answered"})
run_load("no counts", None)
