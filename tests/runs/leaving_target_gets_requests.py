"""A target says in its answers that it leaves while the list says otherwise:
each router sends it nothing more from its first such answer on, and its
streams end in their own time.  Another incarnation at its address, the same
name after the list has shown that it left, and targets that say something else
get requests."""
import time
from fleet import in_background, wait_for
from pathfleet import (EVENT, SimTarget, chunks_of, end_chunks, path_conf,
                       path_fleet, respond, send, send_chunk,
                       start_event_stream, status_of, wait_targets)

ROUTERS = ["i1", "i2", "i3"]
LEAVING = "x-mimosapath-leaving: %s\r\n"
said = {}  # target -> value of its header
answered = {}  # (target, router) -> time of the first answer that says so
late = []
cuts_streams = []


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    router = req["path"].split("/")[2]
    value = said.get(target.name)
    extra = LEAVING % value if value else ""
    if (target.name, router) in answered:
        late.append((target.name, req["path"]))
    wanted = req["headers"].get("x-mimosapath-incarnation")
    if wanted != target.name:
        return respond(conn, req, "not me", 421, LEAVING % "1")
    if not req["path"].startswith("/stream/"):
        respond(conn, req, target.name, extra_headers=extra)
    else:
        start_event_stream(conn, req, extra)
        first = int(req["headers"].get("last-event-id", -1)) + 1
        for event in range(first, 8):
            send_chunk(conn, EVENT % (event, event))
            if event == 3 and target.name in cuts_streams:
                return False
            time.sleep(0.1)
        end_chunks(conn)
    if value and value.strip() == "1":
        answered[target.name, router] = time.monotonic()


def hears(target, router):
    """Calls until the router has read from the target that it leaves."""
    for _ in range(60):
        send(fleet, router, "/call/%s/" % router)
        if (target, router) in answered:
            return True
    return False


def calls(count, prefixes=("/call/", "/once/")):
    return {status_of(send(fleet, router, prefix + router + "/"))
            for _ in range(count) for router in ROUTERS
            for prefix in prefixes}


def count_of(target):
    return sum(1 for r in target.requests if "/ready/" not in r["path"])


targets = [SimTarget("t%d" % n, handle_request) for n in range(3)]
alone = SimTarget("q0", handle_request, pool="q")
fleet, listed = path_fleet(targets + [alone], [
    path_conf("/ready/"), path_conf("/call/", repeat="any", attempts=3),
    path_conf("/once/", repeat="once"),
    path_conf("/alone/", repeat="any", attempts=3, pool="q"),
    path_conf("/stream/", repeat="resume", stream=True, attempts=3)],
    instances=4, control=1,
    extra_settings={"retries": {"slack": 500}}, extra_pools=["q"])
listed.entries[1]["born_ms"] = 1000
with fleet:
    print("ready", all(wait_targets(fleet, name) for name in ROUTERS))
    running = []

    def run_stream():
        running.append(send(fleet, "i1", "/stream/i1/"))

    streams = [in_background(run_stream) for _ in range(6)]
    time.sleep(0.3)
    said["t0"] = "1"
    print("all routers hear it", all(hears("t0", r) for r in ROUTERS))
    print("answers", calls(20), "to one that leaves", len(late))
    for stream in streams:
        stream.join(5)
    print("its streams are whole", {
        chunks_of(data)[1] for data in running},
        {chunks_of(data)[0].count("data:") for data in running})

    listed.entries[1]["slots"] = 9  # the list changes elsewhere
    listed.entries[0]["slots"] = 9  # and here, and still says otherwise
    time.sleep(1)
    print("the list says otherwise", calls(20), len(late))

    cuts_streams.append("t1")
    resumed = [send(fleet, r, "/stream/%s/" % r) for r in ROUTERS * 6]
    print("resumed streams", {chunks_of(d)[0].count("data:")
                              for d in resumed}, len(late))
    cuts_streams.clear()

    said["q0"] = "1"
    print("the last target", [status_of(send(fleet, "i2", "/alone/i2/"))
                              for _ in range(4)], len(late))

    listed.entries[1]["slots"] = 10
    for value in ["0", "yes", "2", "11", "1;1", "true", "1, 0"]:
        said["t1"] = value
        calls(2)
    before = count_of(targets[1])
    print("other values", wait_for(
        lambda: calls(2) == {"200"} and count_of(targets[1]) - before > 20))
    del said["t1"]

    # Another incarnation at the same address: the old one gets 421.
    answered.clear()
    said.clear()
    targets[0].name = "t0-new"
    calls(4)
    listed.entries[0]["incarnation"] = "t0-new"
    before = count_of(targets[0])
    print("next incarnation", wait_for(
        lambda: calls(2) == {"200"} and count_of(targets[0]) - before > 10))

    # The list shows that it has left, then the same name again.
    said["t2"] = "1"
    all(hears("t2", r) for r in ROUTERS)
    listed.entries[2]["leaving"] = True
    calls(4)
    time.sleep(1)
    print("leaves by both", len(late))
    said.clear()
    answered.clear()
    listed.entries[2]["leaving"] = False
    before = count_of(targets[2])
    print("same name again", wait_for(
        lambda: calls(2) == {"200"} and count_of(targets[2]) - before > 10))
    said["t2"] = "1"
    all(hears("t2", r) for r in ROUTERS)
    gone = listed.entries.pop(2)
    time.sleep(1)
    said.clear()
    answered.clear()
    listed.entries.append(gone)
    before = count_of(targets[2])
    print("back after it was gone", wait_for(
        lambda: calls(2) == {"200"} and count_of(targets[2]) - before > 10))

    # The same name with a later start, while the list never named it so.
    said["t1"] = "1"
    all(hears("t1", r) for r in ROUTERS)
    said.clear()
    answered.clear()
    before = count_of(targets[1])
    listed.entries[1]["born_ms"] = 2000
    print("later start", wait_for(
        lambda: calls(2) == {"200"} and count_of(targets[1]) - before > 10))
