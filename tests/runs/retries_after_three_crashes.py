"""A request crashes each target that starts to run it, and its caller resends
it to all instances.  Later than three seconds after the third crash it may
reach targets at most three more times, and other requests are served
meanwhile."""
import time
from fleet import in_background
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)

PROPAGATION_S = 3
crash_sends = []


def handle_request(target, req, conn):
    if b"#end" not in req["body"]:
        return respond(conn, req)
    crash_sends.append((time.monotonic(), req["body"]))
    target.crash(down_s=1)
    return False


def send_once(fleet, number, path, body):
    headers = {"x-mimosapath-request": "%s-%d" % (body, number)}
    return status_of(send(fleet, "i%d" % (number % 3), path, headers, body))


def retries_after(body):
    """Counts the requests with this body that reached a target later than
    PROPAGATION_S after the third one."""
    times = sorted(at for at, sent in crash_sends if sent == body.encode())
    return sum(at > times[2] + PROPAGATION_S for at in times) if len(
        times) > 2 else 0


def resend(fleet, path, body, seconds=6):
    """Resends a request for some seconds; returns the last statuses."""
    end = time.monotonic() + seconds
    statuses, number = [], 0
    while time.monotonic() < end:
        statuses.append(send_once(fleet, number, path, body))
        number += 1
        time.sleep(0.2)
    return statuses[-6:]


def report(name, body, last):
    print(name, "retries within the bound of 3:", retries_after(body) <= 3,
          "last answers", sorted(set(last)))


targets = [SimTarget("t%d" % n, handle_request) for n in range(8)]
single_target = SimTarget("alone", handle_request, pool="single")
fleet, listed = path_fleet(targets + [single_target], [
    path_conf("/plain/"), path_conf("/any/", repeat="any", attempts=2),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2),
    path_conf("/single/", pool="single")], instances=3, control=3,
    extra_pools=["single"])
with fleet:
    print("ready", all(wait_targets(fleet, n, "/plain/") for n in fleet.names))
    for path in ("/plain/", "/any/", "/stream/", "/single/"):
        body = "#end" + path.strip("/")
        report(path, body, resend(fleet, path + "x", body))
    threads = [in_background(
        lambda n=n: send_once(fleet, n, "/any/x", "#endat")) for n in range(9)]
    for thread in threads:
        thread.join(20)
    report("nine at once", "#endat", resend(fleet, "/any/x", "#endat"))
    print("others", {send_once(fleet, n, "/any/x", "ok") for n in range(3)})
    before = len(crash_sends)
    for name in ("i0", "i1", "i2"):
        fleet.kill(name)
        fleet.start(name)
        fleet.wait_ready()
    for name in fleet.names:
        wait_targets(fleet, name, "/plain/")
    last = [send_once(fleet, n, "/any/x", "#endany") for n in range(6)]
    print("after restarts sent", len(crash_sends) - before, sorted(set(last)))
