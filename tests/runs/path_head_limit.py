"""The document limits the size of a request's head on a path: a larger one is
refused with 431 and reaches no target, one within the limit is served."""
from pathfleet import (SimTarget, respond, header_of, path_conf, path_fleet,
                       send, status_of, wait_targets)

target = SimTarget("t", lambda t, req, conn: respond(conn, req))
fleet, listed = path_fleet([target], [path_conf("/x/")], instances=1,
                           control=1, extra_limits={"header_most_bytes": 2048})
with fleet:
    print("ready", wait_targets(fleet, "i0", "/x/"))
    for name, headers in (
            ("within", {"x-a": "b" * 1024}),
            ("one header", {"x-a": "b" * 2048}),
            ("many headers", {"x-a%d" % n: "b" * 50 for n in range(60)})):
        before = len(target.requests)
        data = send(fleet, "i0", "/x/x", headers)
        print(name, status_of(data), header_of(data, "x-mimosapath-run"),
              "sent", len(target.requests) - before)
