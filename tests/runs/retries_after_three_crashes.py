"""A request ends each target that begins to run it, and its caller sends it
again and again, to all instances: three seconds after the third end it reaches
targets in at most three retries more, and others are served meanwhile."""
import time
from fleet import in_background
from pathfleet import (Target, answer, path_conf, path_fleet, send, status_of,
                       wait_targets)

CONTACT_S = 3
sends = []


def behave(target, sent, link):
    if b"#end" not in sent["body"]:
        return answer(link, sent)
    sends.append((time.monotonic(), sent["body"]))
    target.crash(down_s=1)
    return False


def arrive(fleet, number, path, body):
    headers = {"x-mimosapath-request": "%s-%d" % (body, number)}
    return status_of(send(fleet, "i%d" % (number % 3), path, headers, body))


def retries_after(body):
    """Sends later than three seconds after the third."""
    times = sorted(at for at, sent in sends if sent == body.encode())
    return sum(at > times[2] + CONTACT_S for at in times) if len(
        times) > 2 else 0


def resend(fleet, path, body, seconds=6):
    """Arrivals one after the other; returns the last answers."""
    end = time.monotonic() + seconds
    statuses, number = [], 0
    while time.monotonic() < end:
        statuses.append(arrive(fleet, number, path, body))
        number += 1
        time.sleep(0.2)
    return statuses[-6:]


def report(name, body, last):
    print(name, "retries within the bound of 3:", retries_after(body) <= 3,
          "last answers", sorted(set(last)))


targets = [Target("t%d" % n, behave) for n in range(8)]
alone = Target("alone", behave, pool="single")
fleet, listed = path_fleet(targets + [alone], [
    path_conf("/plain/"), path_conf("/any/", repeat="any", attempts=2),
    path_conf("/stream/", repeat="resume", stream=True, attempts=2),
    path_conf("/single/", pool="single")], instances=3, control=3,
    more_pools=["single"])
with fleet:
    print("ready", all(wait_targets(fleet, n, "/plain/") for n in fleet.names))
    for path in ("/plain/", "/any/", "/stream/", "/single/"):
        body = "#end" + path.strip("/")
        report(path, body, resend(fleet, path + "x", body))
    threads = [in_background(lambda n=n: arrive(fleet, n, "/any/x", "#endat"))
               for n in range(9)]
    for thread in threads:
        thread.join(20)
    report("nine at once", "#endat", resend(fleet, "/any/x", "#endat"))
    print("others", {arrive(fleet, n, "/any/x", "ok") for n in range(3)})
    before = len(sends)
    for name in ("i0", "i1", "i2"):
        fleet.kill(name)
        fleet.start(name)
        fleet.wait_ready()
    for name in fleet.names:
        wait_targets(fleet, name, "/plain/")
    last = [arrive(fleet, n, "/any/x", "#endany") for n in range(6)]
    print("after restarts sent", len(sends) - before, sorted(set(last)))
