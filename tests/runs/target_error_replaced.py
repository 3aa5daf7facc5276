"""A target's own error reaches the caller as it is, in one piece or several,
also beside other requests on the same connection; and nothing claims that the
request has not run, not even the target (it tries with two pieces)."""
import time

from pathfleet import (KeptCaller, ReadError, relay_fleet, respond,
                       wait_for_service, wait_targets)

STATUSES = (500, 404, 400, 403, 504, 429, 503)
BODY = "".join("error %03d\n" % n for n in range(30))


def own_headers(status):
    """The target's headers; with 503 a time that asks for no pause."""
    return (("x-own", "own"), ("content-type", "text/own"),
            ("retry-after", "0" if int(status) == 503 else "7"))


def handle_request(target, req, conn):
    _, _, status, pieces, *_ = req["path"].split("/") + ["", ""]
    if status == "ok":
        return respond(conn, req, "answer " + pieces)
    conn.sendall((
        "HTTP/1.1 %s X\r\nx-mimosapath-request: %s\r\n%s"
        "%sConnection: keep-alive, x-hop\r\nx-hop: 1\r\n"
        "Content-Length: %d\r\n\r\n" % (
            status, req["headers"].get("x-mimosapath-request", ""),
            "".join("%s: %s\r\n" % h for h in own_headers(status)),
            "x-mimosapath-run: no\r\n" if pieces == "2" else "",
            len(BODY))).encode())
    step = len(BODY) // int(pieces)
    for at in range(0, len(BODY), step):
        conn.sendall(BODY[at:at + step].encode())
        time.sleep(0.02)


def faults_of(answer, status):
    faults = []
    if answer.status != status:
        faults.append("status %d" % answer.status)
    if answer.body != BODY.encode():
        faults.append("body")
    if answer.first("x-mimosapath-run") is not None:
        faults.append("run " + answer.first("x-mimosapath-run"))
    faults += [name for name, value in own_headers(status)
               if answer.all(name) != [value]]
    if answer.all("x-hop"):
        faults.append("x-hop")
    return faults


def play(port, prefix, status, pieces, is_pipelined):
    caller = KeptCaller(port)
    failing = "%s%d/%d" % (prefix, status, pieces)
    faults = []
    try:
        caller.send("POST", failing, body="{}")
        if is_pipelined:
            caller.send("POST", prefix + "ok/2", body="{}")
            caller.send("POST", failing, body="{}")
            caller.send("POST", prefix + "ok/3", body="{}")
        faults += faults_of(caller.read(), status)
        if not is_pipelined:
            caller.send("POST", prefix + "ok/2", body="{}")
        second = caller.read()
        if (second.status, second.body) != (200, b"answer 2"):
            faults.append("second")
        if is_pipelined:
            faults += faults_of(caller.read(), status)
            if caller.read().body != b"answer 3":
                faults.append("fourth")
    except ReadError as error:
        faults.append(str(error))
    if caller.left_over():
        faults.append("left over")
    caller.close()
    return faults


fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for api, prefix in prefixes.items():
        for status in STATUSES:
            wrong, faults = 0, set()
            for pieces in (1, 2, 3):
                for is_pipelined in (False, True):
                    found = play(fleet.callers["i0"], prefix, status, pieces,
                                 is_pipelined)
                    wrong += bool(found)
                    faults.update(f[:40] for f in found)
            print(api, status, "wrong", wrong, *sorted(faults))
