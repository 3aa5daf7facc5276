"""A target refuses with 503 and Retry-After: no router sends it anything from
then on until that time has passed; then it gets its share back without a
burst.  Values that are no time pause nothing.  When all targets of a pool are
paused, callers hear at once when the first takes requests again."""
import time
from fleet import in_background, wait_for
from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, header_of,
                       path_conf, path_fleet, respond, send, send_chunk,
                       start_event_stream, status_of, wait_targets)

ROUTERS = ["i1", "i2", "i3"]
said = {}  # target -> value of Retry-After
refused = {}  # (target, router) -> times of its refusals
arrivals = []  # (time, target, router, path)
cuts_streams = []


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    router = req["path"].split("/")[2]
    arrivals.append((time.monotonic(), target.name, router, req["path"]))
    value = said.get(target.name)
    if value is not None:
        respond(conn, req, "later", 503, "Retry-After: %s\r\n" % value)
        refused.setdefault((target.name, router), []).append(time.monotonic())
    elif not req["path"].startswith("/stream/"):
        time.sleep(0.02)
        respond(conn, req, target.name)
    else:
        start_event_stream(conn, req)
        first = int(req["headers"].get("last-event-id", -1)) + 1
        for event in range(first, 8):
            send_chunk(conn, EVENT % (event, event))
            if event == 3 and target.name in cuts_streams:
                return False
            time.sleep(0.02)
        end_chunks(conn)


def call(router, prefix):
    return status_of(send(fleet, router, prefix + router + "/"))


def load(seconds, prefixes, callers=1):
    """Calls all routers for a time; returns the statuses."""
    end = time.monotonic() + seconds
    seen = set()

    def run(router):
        while time.monotonic() < end:
            for prefix in prefixes:
                seen.add(call(router, prefix))

    threads = [in_background(lambda r=r: run(r))
               for r in ROUTERS for _ in range(callers)]
    for thread in threads:
        thread.join(20)
    return seen


def arrived(target, begin, end):
    return sum(1 for at, name, _, _ in arrivals
               if name == target and begin <= at < end)


def in_pauses(pause_s):
    """Requests that came to a target within a pause, of the same router."""
    return sum(1 for at, name, router, _ in arrivals
               for told in refused.get((name, router), [])
               if told + 0.1 < at < told + pause_s - 0.05)


def reset():
    said.clear()
    refused.clear()
    arrivals.clear()
    cuts_streams.clear()


def answers_after(value):
    """The answers to requests after one that was refused with the value."""
    reset()
    said["v0"] = value
    call("i1", "/value/")
    said.clear()
    return [call("i1", "/value/") for _ in range(3)]


targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
pair = [SimTarget("q%d" % n, handle_request, pool="q") for n in range(2)]
single = SimTarget("v0", handle_request, pool="v")
fleet, listed = path_fleet(targets + pair + [single], [
    path_conf("/ready/"), path_conf("/call/", repeat="any", attempts=3),
    path_conf("/once/", repeat="once"),
    path_conf("/pair/", repeat="any", attempts=3, pool="q"),
    path_conf("/value/", repeat="once", pool="v"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=3)],
    instances=4, control=1,
    extra_settings={"retries": {"slack": 500}}, extra_pools=["q", "v"])
with fleet:
    print("ready", all(wait_targets(fleet, name) for name in ROUTERS))
    # Requests that may be repeated, that may not, and streams.
    said["t0"] = "2.5"
    begin = time.monotonic()
    statuses = load(1, ["/call/", "/once/", "/call/"])
    said.clear()
    cuts_streams.append("t1")
    streams = [send(fleet, r, "/stream/%s/" % r) for r in ROUTERS * 6]
    cuts_streams.clear()
    load(max(2.4 - (time.monotonic() - begin), 0.1), ["/call/"])
    print("routers refused", len({r for _, r in refused}),
          "in pauses", in_pauses(2.5))
    print("streams", {chunks_of(d)[0].count("data:") for d in streams})
    print("used again", wait_for(lambda: load(0.2, ["/call/"]) == {"200"} and
                                 arrived("t0", begin + 2.5, begin + 9) > 10))

    # A pause ends while many callers wait: no burst.
    reset()
    load(0.5, ["/call/"], callers=8)
    share = arrived("t0", 0, time.monotonic())
    reset()
    said["t0"] = "1.5"
    in_background(lambda: load(4.5, ["/call/"], callers=8))
    time.sleep(0.7)
    said.clear()
    time.sleep(3.8)
    told = max((times[-1] for times in refused.values()), default=0)
    first = [min((at for at, name, router, _ in arrivals if name == "t0" and
                  router == r and at > told + 0.2), default=0)
             for r in ROUTERS]
    print("in pauses", in_pauses(1.5))
    print("one request first", all(sum(
        1 for at, name, router, _ in arrivals if name == "t0" and
        router == r and start <= at < start + 0.015) <= 2
        for r, start in zip(ROUTERS, first)))
    print("share is back", arrived("t0", told + 2.5, told + 3.0) >=
          share * 0.5)

    for value in ["0", "-5", "soon", "", "nan", "inf", "1e9", "2,3", "+2",
                  "Fri, 01 Jan 2100 00:00:00 GMT"]:
        print("value", value or "(none)", answers_after(value))
    print("value 0.75", answers_after("0.75"))
    time.sleep(1.1)
    print("value 0.75 afterwards", call("i1", "/value/"))

    value = "99999999999999999999999999999999"
    print("value", value, answers_after(value))

    # A new incarnation is not paused.
    reset()
    said["t0"] = "3000"
    load(0.4, ["/call/"])
    said.clear()
    begin = time.monotonic()
    load(0.3, ["/call/"])
    print("in a long pause", arrived("t0", begin, begin + 0.3))
    listed.entries[0]["incarnation"] = "t0-new"
    begin = time.monotonic()
    print("next incarnation", wait_for(
        lambda: load(0.2, ["/call/"]) == {"200"} and
        arrived("t0", begin, begin + 9) > 10))

    # All are paused.
    reset()
    said.update(q0="3", q1="4")
    load(0.3, ["/pair/"])
    told = max((times[-1] for (name, _), times in refused.items()
                if name == "q0"), default=0)
    arrivals.clear()
    answers = []
    for _ in range(10):
        for router in ROUTERS:
            sent = time.monotonic()
            data = send(fleet, router, "/pair/%s/" % router)
            answers.append((status_of(data), time.monotonic() - sent < 0.3,
                            sent + int(header_of(data, "retry-after") or 0) - told))
    said.clear()
    print("all paused", {a[0] for a in answers}, "at once",
          all(a[1] for a in answers), "true",
          all(2.9 <= a[2] <= 5.5 for a in answers), "sent", len(arrivals))
    time.sleep(max(told + 4 - time.monotonic(), 0))
    print("served again", load(0.3, ["/pair/"]))
