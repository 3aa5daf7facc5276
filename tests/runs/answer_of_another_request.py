"""Targets answer each request twice, the second time late, with or without the
id; callers name an id or none.  Each caller gets its own answer, on both
interfaces."""
import time

from fleet import in_background
from pathfleet import (NATIVE, PLATFORM, SimTarget, path_conf, path_fleet,
                       platform_fleet, send, wait_targets)

REQUESTS = 24


def answer(names, request, with_id):
    request_id = request["headers"].get(names["id"])
    text = "answer-" + request["path"].split("/")[-1]
    named = "%s: %s\r\n" % (names["id"], request_id)
    return ("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s" % (
        named if with_id and request_id else "", len(text), text)).encode()


def send_late(conn, data):
    def work():
        time.sleep(0.03)
        try:
            conn.sendall(data)
        except OSError:
            pass  # the instance has closed the connection
    in_background(work)


def play(names, make_fleet, first_has_id, second_has_id, is_named):
    # The second answer arrives while the next request is under way.
    def handle(target, request, conn):
        time.sleep(0.02)
        conn.sendall(answer(names, request, first_has_id))
        send_late(conn, answer(names, request, second_has_id))

    target = SimTarget("t0", handle)
    fleet, _ = make_fleet([target], [path_conf("/ready/"), path_conf("/x/")],
                          instances=1, control=1)
    own = foreign = 0
    with fleet:
        wait_targets(fleet, "i0", headers=dict(
            names["caller"], **{names["id"]: "first"}))
        for n in range(REQUESTS):
            headers = dict(names["caller"])
            if is_named:
                headers[names["id"]] = "id-%d" % n
            body = send(fleet, "i0", "/x/%d" % n, headers).split(
                b"\r\n\r\n", 1)[-1]
            own += body == b"answer-%d" % n
            foreign += body != b"answer-%d" % n and b"answer-" in body
    target.stop()
    print("id in the answer %s, in the second %s, named by the caller %s: "
          "own %d, of another %d" % (first_has_id, second_has_id, is_named,
                                     own, foreign), flush=True)


for title, names, make_fleet in (("native", NATIVE, path_fleet),
                                 ("platform", PLATFORM, platform_fleet)):
    print(title)
    play(names, make_fleet, True, True, True)
    play(names, make_fleet, True, False, True)
    play(names, make_fleet, False, False, True)
    play(names, make_fleet, True, True, False)
    play(names, make_fleet, True, False, False)
