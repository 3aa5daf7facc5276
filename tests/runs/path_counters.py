"""Counters and log lines agree: each event of a request has as many lines as
its counter says, minus those left out.  Paths have latency histograms;
workspaces count their requests and tokens."""
import collections
import re
import time
from fleet import request
from pathfleet import (EVENT, SimTarget, respond, end_chunks, path_conf,
                       path_fleet, send, send_chunk, start_event_stream,
                       status_of, wait_targets)


def handle_request(target, req, conn):
    if req["path"].startswith("/fail/"):
        return respond(conn, req, status=500)
    if not req["path"].startswith("/stream/"):
        return respond(conn, req)
    start_event_stream(conn, req)
    for number in range(4):
        send_chunk(conn, EVENT % (number, number))
    if req["path"].endswith("cut"):
        return False
    end_chunks(conn)


targets = [SimTarget("t%d" % n, handle_request) for n in range(2)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/plain/"), path_conf("/fail/"),
    path_conf("/stream/", stream=True)], prepaid=100000,
    instances=1, control=1)


def metrics():
    text = request(fleet.operators["i0"], "GET", "/metrics").body
    return {name: int(value) for name, value in
            re.findall(r"^(mimosapath_\S+) (\d+)$", text, re.M)}


with fleet:
    print("ready", wait_targets(fleet, "i0"))
    tokens = {"x-mimosapath-tokens": "100,50"}
    for _ in range(3):
        send(fleet, "i0", "/plain/x")
    statuses = [status_of(send(fleet, "i0", p, headers=tokens)) for p in (
        "/fail/x", "/stream/whole", "/stream/cut", "/nowhere/x")]
    statuses.append(status_of(send(fleet, "i0", "/plain/x", key="nobody")))
    print("statuses", statuses)
    time.sleep(0.3)
    counted = metrics()
    with open(fleet.path("i0.log")) as log:
        lines = collections.Counter(re.findall(r"^<\d>\S+ \S+ (\S+)",
                                               log.read(), re.M))
    events = {name: counted.get(
        'mimosapath_events_total{event="%s"}' % name, 0)
        for name in ("request-sent", "attempt-ended", "request-ended")}
    print("left out", counted["mimosapath_log_left_out_total"])
    print("events as lines", all(events[e] == lines[e] > 0 for e in events))
    outcomes = sum(value for name, value in counted.items()
                   if name.startswith(("mimosapath_path_ended_total",
                                       "mimosapath_exchange_ended_total")))
    print("outcomes as ends", outcomes == events["request-ended"])
    for path in ("plain", "stream"):
        print(path, "first answers", counted.get(
            'mimosapath_path_first_ms_count{path="%s"}' % path),
            "ends", counted.get(
            'mimosapath_path_took_ms_count{path="%s"}' % path))
    print("workspace tokens", counted.get(
        'mimosapath_workspace_billed_tokens_total{workspace="w"}'))
