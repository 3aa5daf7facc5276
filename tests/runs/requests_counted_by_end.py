"""Each request that an instance read is counted once by how it ended, and the
last line of the process has the same counts."""
import re
import signal
import time

from fleet import wait_for
from pathfleet import (EVENT, SimTarget, path_conf, path_fleet, read_all,
                       respond, send, send_chunk, start_event_stream,
                       status_of, wait_targets)

ENDS = ("answered", "refused", "cut", "caller_left", "unanswered")


def handle_request(target, request, conn):
    if request["path"].startswith("/stream/"):
        start_event_stream(conn, request)
        send_chunk(conn, EVENT % (0, 0))
        time.sleep(0.2)
        return False
    if request["path"].startswith("/slow/"):
        time.sleep(2)
    respond(conn, request)


def counts(fleet):
    text = fleet.operator_request("GET", "/metrics").body
    ended = dict(re.findall(r'mimosapath_caller_requests_ended_total'
                            r'\{end="(\w+)"\} (\d+)', text))
    read = int(re.search(r"mimosapath_caller_requests_read_total (\d+)",
                         text)[1])
    return read, {end: int(ended[end]) for end in ENDS}


target = SimTarget("t0", handle_request)
fleet, _ = path_fleet([target], [
    path_conf("/ready/"), path_conf("/slow/", repeat="any"),
    path_conf("/stream/", stream=True)], instances=1, control=1)
with fleet:
    wait_targets(fleet, "i0")
    read, before = counts(fleet)
    sent = [status_of(send(fleet, "i0", path)) for path in
            ("/ready/a", "/ready/b", "/nowhere/")]
    print("statuses", sent)
    print("bytes of a stream that broke off",
          len(send(fleet, "i0", "/stream/a")) > 0)
    send(fleet, "i0", "/slow/a", wait=False).close()
    wait_for(lambda: counts(fleet)[1]["caller_left"] > before["caller_left"])
    read_after, after = counts(fleet)
    print("read", read_after - read,
          {end: after[end] - before[end] for end in ENDS})
    print("exit status", fleet.kill("i0", signal.SIGTERM))
    with open(fleet.path("i0.log")) as log:
        last = log.read().splitlines()[-1]
    fields = {name: int(value) for name, value in
              re.findall(r"(\w+)=(\d+)", last.split(" ended ")[1])}
    print("last line adds up", fields["read"] >= read_after, fields["read"] ==
          sum(fields[end] for end in ENDS), fields["connections"])
