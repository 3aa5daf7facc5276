"""A sound target falls silent for 1.2 to 1.9 s, before the head of its answer,
in it, before the first event or between events, and goes on.  No other target
takes the request: there is none, it leaves, wants a pause, is at its limit, is
full, or the retry budget is used up.  Nothing is lost or refused that the target serves."""
import time
from collections import Counter
from fleet import in_background, wait_for
from pathfleet import (EVENT, NATIVE, PLATFORM, KeptCaller, ReadError,
                       SimTarget, end_chunks, id_line, path_conf, path_fleet,
                       platform_entry, platform_fleet, respond, send_chunk)

SILENCES_S = [1.2, 1.9]
WHERE = {"any": ["before", "head"],
         "stream": ["before", "head", "first", "between"]}
EVENTS = 4
WHOLE = "".join(EVENT % (n, n) for n in range(EVENTS)).encode()


class Target(SimTarget):
    slots = 64


def answer(conn, req, head, where, silence_s, send_body):
    """Sends an answer and falls silent at one place."""
    if where == "before":
        time.sleep(silence_s)
    head = head.encode()
    if where == "head":
        conn.sendall(head[:25])
        time.sleep(silence_s)
        head = head[25:]
    conn.sendall(head)
    if where == "first":
        time.sleep(silence_s)
    send_body()


def serve(conn, req):
    _, path, where, silence, _ = req["path"].split("/", 4)
    silence_s = float(silence)
    if path == "any":
        return answer(conn, req, "HTTP/1.1 200 X\r\n%sContent-Length: 2\r\n"
                      "\r\n" % id_line(req), where, silence_s,
                      lambda: conn.sendall(b"ok"))

    def send_events():
        first = int(req["headers"].get("last-event-id", -1)) + 1
        for event in range(first, EVENTS):
            if where == "between" and event == 2:
                time.sleep(silence_s)
            send_chunk(conn, EVENT % (event, event))
        end_chunks(conn)
    return answer(conn, req, "HTTP/1.1 200 X\r\n%s"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" % id_line(req),
                  where, silence_s, send_events)


def handle_request(target, req, conn):
    if target.name == "t1" and target.how == "paused":
        return respond(conn, req, status=503, extra_headers=(
            "Retry-After: 60\r\nx-mimosapath-not-run: 1\r\n"
            "x-not-executed: 1\r\n"))
    if req["path"].startswith("/ready/"):
        if target.name == "t1" and target.how == "full":
            time.sleep(8)
        return respond(conn, req, extra_headers=(
            "x-mimosapath-limit: 0.001\r\nServer-Limit: 0.001\r\n"
            if target.name == "t1" and target.how == "limited" else ""))
    return serve(conn, req)


def call(fleet, names, path):
    """Returns the status, or how the answer broke off."""
    caller = KeptCaller(fleet.callers["i0"], timeout=10)
    caller.send("POST", path, list(names["caller"].items()) + [
        (names["id"], path.strip("/").replace("/", "-"))])
    try:
        got = caller.read()
    except ReadError as error:
        return "lost: %s" % error
    finally:
        caller.close()
    is_whole = got.body == (b"ok" if path.startswith("/any/") else WHOLE)
    return "whole" if got.status == 200 and is_whole else str(got.status)


def prepare(fleet, names, targets, how):
    """Has the second target take nothing more."""
    if how in ("paused", "limited"):
        return wait_for(lambda: call(fleet, names, "/ready/x") and
                        len(targets[1].requests) > 0)
    if how == "full":
        in_background(lambda: call(fleet, names, "/ready/x"))
        return wait_for(lambda: call(fleet, names, "/ready/x") and
                        len(targets[1].requests) > 0)
    return True


def paths():
    again = path_conf("/any/", repeat="any", attempts=3)
    stream = path_conf("/stream/", repeat="resume", stream=True, attempts=3)
    for path in (again, stream):
        path["latency_target_ms"] = path["event_gap_ms"] = 200
    return [path_conf("/ready/", repeat="any", attempts=3,
                      timeout_ms=10000), again, stream]


def play(name, make_fleet, names, how):
    targets = [Target("t%d" % n, handle_request)
               for n in range(1 if how == "one" else 2)]
    for target in targets:
        target.how = how
    if how == "full":
        targets[1].slots = 1
    slack = {"slack": 0, "ratio": 0} if how == "budget" else {"slack": 500}
    fleet, listed = make_fleet(targets, paths(), instances=1, control=1,
                               extra_settings={"retries": slack})
    if how == "leaving":
        if names is PLATFORM:
            listed.entries[1] = dict(platform_entry(targets[1]),
                                     state="draining")
        else:
            listed.entries[1] = targets[1].entry(leaving=True)
    with fleet:
        is_ready = wait_for(lambda: call(fleet, names, "/ready/x") == "200"
                            or how in ("paused", "full"))
        time.sleep(0.5)
        is_ready = is_ready and prepare(fleet, names, targets, how)
        results = Counter()
        threads = []
        for path, places in WHERE.items():
            for where in places:
                for silence_s in SILENCES_S:
                    target_path = "/%s/%s/%s/x" % (path, where, silence_s)
                    threads.append(in_background(
                        lambda p=target_path, w=where: results.update(
                            [(w, call(fleet, names, p))])))
        for thread in threads:
            thread.join(15)
    wrong = {k: n for k, n in results.items() if k[1] != "whole"}
    print(" ", how, "ready", bool(is_ready), "whole",
          sum(n for k, n in results.items() if k[1] == "whole"), "of",
          len(threads), *sorted("%s %s: %d" % (*k, n)
                                for k, n in wrong.items()))


for dialect, make, header_names in (("native", path_fleet, NATIVE),
                                    ("platform", platform_fleet, PLATFORM)):
    print(dialect)
    for other in ("one", "leaving", "paused", "limited", "full", "budget"):
        play(dialect, make, header_names, other)
