"""A request that may run once is sent to another target after its caller has
left, as the first one rejected it."""
import time

from pathfleet import (NATIVE, PLATFORM, SimTarget, path_conf, path_fleet,
                       platform_fleet, respond, send, status_of,
                       wait_targets)

PLAYS, WORK_S, LEAVES_S = 12, 1.0, 0.2
seen = []  # (id, target), in the order of arrival


def handle_request(target, request, conn):
    names = NATIVE if NATIVE["id"] in request["headers"] else PLATFORM
    request_id = request["headers"][names["id"]]
    if request["path"].startswith("/ready/"):
        return respond(conn, request)
    is_first = all(other != request_id for other, _ in seen)
    seen.append((request_id, target.name))
    if request["path"] == "/once/runs":
        time.sleep(WORK_S)
        seen.append((request_id, "done"))
        return respond(conn, request)
    if is_first:
        time.sleep(WORK_S)
        return respond(conn, request, "full", 503, names["not_run"] +
                       ": 1\r\nConnection: close\r\n")
    return respond(conn, request)


def play(label, names, make_fleet):
    targets = [SimTarget("t%d" % n, handle_request) for n in range(4)]
    fleet, _ = make_fleet(targets, [
        path_conf("/ready/"), path_conf("/once/", attempts=3)],
        instances=1, control=1)
    with fleet:
        print(label, "ready", wait_targets(fleet, "i0", headers=dict(
            names["caller"], **{names["id"]: "first"})))

        def call(request_id, path="/once/x", wait=True):
            return send(fleet, "i0", path, dict(
                names["caller"], **{names["id"]: request_id}), wait=wait)

        print("rejected once, caller stays", status_of(call("stays")),
              len([i for i, _ in seen if i == "stays"]), "targets")
        for path in ("/once/x", "/once/runs"):
            del seen[:]
            conns = [call("%s-%d" % (path[-4:], n), path, wait=False)
                     for n in range(PLAYS)]
            time.sleep(LEAVES_S)
            for conn in conns:
                conn.close()
            time.sleep(WORK_S + 1)
            arrived = [i for i, name in seen if name != "done"]
            print(path, "callers left, arrived", len(set(arrived)),
                  "sent again", len(arrived) - len(set(arrived)),
                  "ran to the end", sum(n == "done" for _, n in seen))


play("own interface,", NATIVE, path_fleet)
play("platform,", PLATFORM, platform_fleet)
