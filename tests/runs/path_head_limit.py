"""The document bounds the head of a request on a path: one that is larger is
refused with 431 and reaches no target; one within the bound is served."""
from pathfleet import (Target, answer, header_of, path_conf, path_fleet, send,
                       status_of, wait_targets)

target = Target("t", lambda t, sent, link: answer(link, sent))
fleet, listed = path_fleet([target], [path_conf("/x/")], instances=1,
                           control=1, more_limits={"header_most_bytes": 2048})
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
