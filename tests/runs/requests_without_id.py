"""Callers name no id, an empty one, or two.  Targets of our own interface get
one id, which is in the answer, in a refusal and in the log; servers of the
platform get only what a client chose."""
import re

from pathfleet import (NATIVE, PLATFORM, SimTarget, header_of, path_conf,
                       path_fleet, platform_fleet, send, wait_targets)


def play(title, names, make_fleet):
    received = []

    def handle(target, request, conn):
        received.append(request["headers"].get(names["id"]))
        status = 421 if request["path"].startswith("/x/refuse") else 200
        conn.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)

    target = SimTarget("t0", handle)
    fleet, _ = make_fleet([target], [path_conf("/ready/"), path_conf("/x/")],
                          instances=1, control=1)
    with fleet:
        wait_targets(fleet, "i0", headers=names["caller"])
        ids = []
        for path, extra in (("/x/none", {}), ("/x/empty", {names["id"]: ""}),
                            ("/x/two", {names["id"]: "a-1\r\n%s: b-2" %
                                        names["id"]}),
                            ("/x/refuse", {})):
            received.clear()
            data = send(fleet, "i0", path, dict(names["caller"], **extra))
            answered = header_of(data, names["id"])
            ids.append(received[0])
            with open(fleet.path("i0.log")) as log:
                in_log = " id=%s " % received[0] in log.read()
            print(title, path, "named by the instance", bool(re.fullmatch(
                "r[0-9a-f]{16}", received[0] or "")), "by the caller",
                received[0] == "a-1", "in the answer",
                answered is not None and answered == received[0],
                "in the log", in_log, "sent", len(set(received)))
        print(title, "different", len(set(ids)) == len(ids))
    target.stop()


play("native", NATIVE, path_fleet)
play("platform", PLATFORM, platform_fleet)
