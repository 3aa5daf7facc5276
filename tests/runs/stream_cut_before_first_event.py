"""A target sends the head of a stream and fails before the first event: it
closes, resets, garbles or stays silent; the callers' deadline passes, or the
drain ends.  The caller gets the stream of another target or a true error, on a
connection that lives on, and is billed for nothing that it did not get."""
import re
import signal
import socket
import struct
import time
from fleet import in_background, wait_for
from pathfleet import (EVENT, NATIVE, PLATFORM, KeptCaller, ReadError,
                       SimTarget, end_chunks, id_line, path_conf, path_fleet,
                       platform_fleet, respond, respond_stream, send_chunk,
                       start_event_stream)

EVENTS = 4
WHOLE = "".join(EVENT % (n, n) for n in range(EVENTS)).encode()


def fail(conn, req, how):
    """Fails after the head of a stream."""
    if how == "length":
        conn.sendall(("HTTP/1.1 200 X\r\n%sContent-Type: text/event-stream"
                      "\r\nContent-Length: 900\r\n\r\n" %
                      id_line(req)).encode())
        return False
    if how == "unframed":
        conn.sendall(("HTTP/1.1 200 X\r\n%sContent-Type: text/event-stream"
                      "\r\n\r\n" % id_line(req)).encode())
        return False
    start_event_stream(conn, req)
    if how == "inside":
        send_chunk(conn, EVENT[:12])
    elif how == "garbled":
        conn.sendall(b"no chunk\r\n")
    elif how == "silent":
        time.sleep(20)
    elif how == "reset":
        time.sleep(0.1)  # the head is read first
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    return False


def handle_request(target, req, conn):
    path = req["path"]
    if path.startswith("/ready/"):
        return respond(conn, req)
    how, fails = path.split("/")[2:4]
    sent = sum(path == r["path"] for t in targets for r in t.requests)
    if sent <= int(fails):
        return fail(conn, req, how)
    return respond_stream(conn, req, EVENTS)


def billed(fleet, request_id):
    with open(fleet.path("i0.log")) as log:
        return re.findall(r"request-ended id=%s .* billed=(\d+)" % request_id,
                          log.read())


def call(caller, names, path, request_id):
    caller.send("POST", path, list(names["caller"].items()) + [
        (names["id"], request_id),
        ("x-token-usage" if names is PLATFORM else "x-mimosapath-tokens",
         "100,60")])
    try:
        answer = caller.read()
    except ReadError as error:
        return "no answer: %s" % error
    if answer.status == 200:
        return "200 " + ("whole" if answer.body == WHOLE else repr(
            answer.body))
    return "%d run %s" % (answer.status, answer.first("x-mimosapath-run"))


def is_served(fleet, names):
    """Returns whether streams are served, which takes budget too."""
    caller = KeptCaller(fleet.callers["i0"], timeout=10)
    result = call(caller, names, "/stream/whole/0/ready/", "ready")
    caller.close()
    return result == "200 whole"


def report(fleet, names, path):
    request_id = path.strip("/").replace("/", "-")
    caller = KeptCaller(fleet.callers["i0"], timeout=10)
    result = call(caller, names, path, request_id)
    try:
        caller.send("GET", "/ready/", list(names["caller"].items()))
        goes_on = caller.read().status == 200
    except (ReadError, OSError):
        goes_on = False
    runs = sum(r["path"] == path for t in targets for r in t.requests)
    print(" ", path, result, "sent", runs, "billed", *billed(
        fleet, request_id), "goes on" if goes_on else "closed")
    caller.close()


def report_drain(fleet, names):
    """The drain ends while a stream has no event."""
    caller = KeptCaller(fleet.callers["i0"], timeout=10)
    results = []
    thread = in_background(lambda: results.append(call(
        caller, names, "/long/silent/9/drain/", "drain")))
    time.sleep(0.5)
    fleet.processes["i0"].send_signal(signal.SIGTERM)
    thread.join(15)
    print("  at the end of the drain", *results, "billed",
          *billed(fleet, "drain"))


def paths():
    silent = path_conf("/deadline/", stream=True, timeout_ms=1200)
    again = path_conf("/stream/", repeat="resume", stream=True, attempts=2)
    again["event_gap_ms"] = 200
    return [path_conf("/ready/"), path_conf("/once/", stream=True), again,
            silent, path_conf("/long/", stream=True, timeout_ms=4000)]


def play(name, make_fleet, names, **options):
    targets[:] = [SimTarget("t%d" % n, handle_request) for n in range(6)]
    for target in targets:
        target.slots = 64
    fleet, _ = make_fleet(targets, paths(), instances=1, control=1,
                          extra_settings={"drain_ms": 2000, "retries": {
                              "slack": 500}}, **options)
    with fleet:
        print(name, "ready", wait_for(lambda: is_served(fleet, names)))
        report(fleet, names, "/stream/silent/1/x/")
        for how in ("closed", "reset", "inside", "garbled", "length",
                    "unframed"):
            report(fleet, names, "/once/%s/9/x/" % how)
            report(fleet, names, "/stream/%s/1/x/" % how)
        report(fleet, names, "/stream/closed/9/x/")
        report(fleet, names, "/deadline/silent/9/x/")
        report_drain(fleet, names)


targets = []
play("native", path_fleet, NATIVE, prepaid=1000000)
play("platform", platform_fleet, PLATFORM, prepaid=1000000)
