"""Targets write each refusal once more, late, while the next request of that
connection runs.  Nobody is told "not run" of a request that ran, and nothing
that may run once runs twice, on both interfaces."""
import collections
import time

from fleet import in_background
from pathfleet import (NATIVE, PLATFORM, SimTarget, path_conf, path_fleet,
                       platform_fleet, send, status_of, wait_targets)

REQUESTS = 8


def answer(names, request, status, with_id, refuses):
    request_id = request["headers"].get(names["id"])
    named = "%s: %s\r\n" % (names["id"], request_id)
    return ("HTTP/1.1 %d X\r\n%s%sContent-Length: 4\r\n\r\ntext" % (
        status, named if with_id and request_id else "",
        names["not_run"] + ": 1\r\n" if refuses else "")).encode()


def send_late(conn, data):
    def work():
        time.sleep(0.1)
        try:
            conn.sendall(data)
        except OSError:
            pass  # the instance has closed the connection
    in_background(work)


def play(names, make_fleet, second_has_id, is_named, is_same):
    runs = collections.Counter()
    refused = set()

    def handle(target, request, conn):
        path = request["path"]
        if path.startswith("/ready/"):
            conn.sendall(answer(names, request, 200, True, False))
        elif path.startswith("/x/refused") and (target.name,
                                                path) not in refused:
            refused.add((target.name, path))
            conn.sendall(answer(names, request, 503, True, True))
            send_late(conn, answer(names, request, 503, second_has_id, True))
        else:
            runs[path] += 1
            time.sleep(0.3)
            conn.sendall(answer(names, request, 200, True, False))

    targets = [SimTarget("t%d" % n, handle) for n in range(1 if is_same else 2)]
    fleet, _ = make_fleet(
        targets, [path_conf("/ready/"), path_conf("/x/", attempts=2)],
        instances=1, control=1)
    false_refusals = answered = 0
    with fleet:
        wait_targets(fleet, "i0", headers=dict(
            names["caller"], **{names["id"]: "first"}))
        for n in range(REQUESTS):
            paths = ["/x/refused%d" % n,
                     ("/x/refused%d" if is_same else "/x/work%d") % n]
            for path in paths:
                headers = dict(names["caller"])
                if is_named:
                    headers[names["id"]] = "id" + path.replace("/", "-")
                data = send(fleet, "i0", path, headers)
                time.sleep(0.02)
            time.sleep(0.4)
            answered += status_of(data) == "200"
            says_no = status_of(data) in ("429", "503", "421") or (
                b'"run":"no"' in data)
            false_refusals += says_no and runs[paths[1]] > 0
    for target in targets:
        target.stop()
    print("id in the second %s, named by the caller %s, the same request again"
          " %s: answered %d, refused though run %d, run twice %d" % (
              second_has_id, is_named, is_same, answered, false_refusals,
              sum(count > 1 for count in runs.values())), flush=True)


for title, names, make_fleet in (("native", NATIVE, path_fleet),
                                 ("platform", PLATFORM, platform_fleet)):
    print(title)
    for case in ((True, True, False), (False, True, False),
                 (True, False, False), (False, False, False),
                 (True, True, True), (False, True, True)):
        play(names, make_fleet, *case)
