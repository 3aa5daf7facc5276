"""A caller closes its sending side after its request, and still reads.  Its
request is given up where nobody would miss the answer; then it is told so, and
not that the request has not run."""
import socket
import time
from pathfleet import (NATIVE, PLATFORM, SimTarget, header_of, path_conf,
                       path_fleet, platform_fleet, read_all, respond,
                       respond_stream, send, status_of, wait_targets)


def handle_request(target, req, conn):
    if req["path"].startswith("/ready/"):
        return respond(conn, req)
    time.sleep(1)
    if req["path"].startswith(("/once/", "/any/")):
        return respond(conn, req)
    return respond_stream(conn, req, 3)


def report(fleet, names, path):
    conn = send(fleet, "i0", path, dict(names["caller"].items()), wait=False)
    conn.shutdown(socket.SHUT_WR)
    data = read_all(conn)
    runs = sum(r["path"] == path for r in target.requests)
    print(" ", path, status_of(data) if data else "nothing", "run",
          header_of(data, "x-mimosapath-run"), "sent", runs)


for name, make_fleet, names in (("native", path_fleet, NATIVE),
                                ("platform", platform_fleet, PLATFORM)):
    target = SimTarget("t0", handle_request)
    fleet, _ = make_fleet([target], [
        path_conf("/ready/"), path_conf("/once/"),
        path_conf("/any/", repeat="any", attempts=2),
        path_conf("/stream/", stream=True),
        path_conf("/again/", repeat="resume", stream=True, attempts=2)],
        instances=1, control=1)
    with fleet:
        print(name, "ready", wait_targets(fleet, "i0",
                                          headers=names["caller"]))
        for path in ("/once/x", "/any/x", "/stream/x", "/again/x"):
            report(fleet, names, path)
