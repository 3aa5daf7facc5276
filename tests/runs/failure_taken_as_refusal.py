"""A target runs a request and answers 503 without saying that it has not run:
the attempts of the path bound how often it runs."""
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

runs = []


def handle(target, request, conn):
    if request["path"].startswith("/ready/"):
        respond(conn, request)
        return
    runs.append(request["path"])
    respond(conn, request, "failed", 503)


targets = [SimTarget("t%d" % n, handle) for n in range(4)]
fleet, _ = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/once/"),
    path_conf("/any/", repeat="any", attempts=2)], instances=1, control=1)
with fleet:
    wait_targets(fleet, "i0")
    for path in ("/once/x", "/any/x"):
        data = send(fleet, "i0", path)
        print(path, status_of(data), "runs", runs.count(path))
