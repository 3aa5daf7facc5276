"""All callers come to one instance, whose settings name a slow link.  It refuses
what is above that at once and not run, leaves the rotation for a while, closes
connections so that callers go elsewhere, and keeps its contact with control;
what it refused is served by the other instances, and nothing runs twice."""
import json
import threading
import time
from collections import Counter

from fleet import free_port, in_background, request, wait_for
from pathfleet import (KeptCaller, PLATFORM, PlatformFleet, SimTarget,
                       path_conf, platform_fleet, respond, send, status_of,
                       wait_targets)

SMALL, OTHERS = "i3", ["i0", "i1", "i2"]
LINK_MBPS = 1.0
BODY = "x" * 8000
CALLERS, LOAD_MAX_S = 8, 30
PATH = "/plain/x"
READY_PORT, METRICS_PORT = free_port(), free_port()

ran, answers, lock = Counter(), Counter(), threading.Lock()
is_over = threading.Event()
refused, retried, moved = [], Counter(), []


class SmallLinkFleet(PlatformFleet):
    """A fleet with one instance on a machine with a slow link."""

    def write_settings(self, name):
        super().write_settings(name)
        if name != SMALL:
            return
        with open(self.path(name + ".json")) as text:
            settings = json.load(text)
        settings["listen"]["ready"] = "127.0.0.1:%d" % READY_PORT
        settings["listen"]["metrics"] = "127.0.0.1:%d" % METRICS_PORT
        settings["machine"] = {"link_mbps": LINK_MBPS}
        self.write(name + ".json", json.dumps(settings))


def handle(target, req, conn):
    with lock:
        ran[req["headers"].get(PLATFORM["id"])] += 1
    respond(conn, req)


def retry_elsewhere(name, fields, after_s):
    time.sleep(after_s)
    data = send(fleet, OTHERS[len(refused) % len(OTHERS)], PATH, fields, BODY)
    with lock:
        retried[status_of(data)] += 1


def call_until_over(number):
    """One caller, which keeps its connection as long as it may."""
    caller, count = None, 0
    while not is_over.is_set():
        count += 1
        name = "c%d-%d" % (number, count)
        fields = dict(PLATFORM["caller"], **{PLATFORM["id"]: name})
        caller = caller or KeptCaller(fleet.callers[SMALL], timeout=10)
        caller.send("POST", PATH, fields.items(), BODY)
        answer = caller.read()
        with lock:
            answers[answer.status] += 1
        if "close" in answer.all("connection"):
            moved.append(name)
            caller.close()
            caller = None
        if answer.status == 503:
            with lock:
                refused.append((float(answer.first("retry-after")),
                                answer.first("x-mimosapath-run")))
            if count % 4 == 0:
                retry_elsewhere(name, fields, refused[-1][0])


def metric(name):
    """Returns a metric of the instance, 0 if there is none.  Lines of the log
    are left out while there are many."""
    text = request(METRICS_PORT, "GET", "/metrics").body
    return sum(int(line.split()[-1]) for line in text.split("\n")
               if line.startswith(name + " "))


def events(name):
    return metric('mimosapath_events_total{event="%s"}' % name)


targets = [SimTarget("t%d" % n, handle) for n in range(3)]
paths = [path_conf("/plain/", repeat="any")]
fleet, listed = platform_fleet(targets, paths, instances=4,
                               fleet_class=SmallLinkFleet)
with fleet:
    def ready():
        return request(READY_PORT, "GET", "/readyz").status

    for name in fleet.names:
        wait_targets(fleet, name, PATH, headers=PLATFORM["caller"])
    print("ready at first", wait_for(lambda: ready() == 200))
    for number in range(CALLERS):
        in_background(lambda n=number: call_until_over(n))
    end = time.monotonic() + LOAD_MAX_S
    print("leaves the rotation", wait_for(lambda: ready() == 503, LOAD_MAX_S))
    document = dict(fleet.configuration, version=2)
    fleet.operator_request("POST", "/config/replace", json.dumps(document))
    print("hears of a new document meanwhile", wait_for(
        lambda: metric("mimosapath_document_version") == 2, 10))
    wait_for(lambda: len(moved) >= 3 and sum(retried.values()) >= 20,
             max(end - time.monotonic(), 1))
    is_over.set()
    print("refuses", len(refused) >= 20,
          "not run", {run for _, run in refused},
          "soon and spread", max(r[0] for r in refused) <= 0.06,
          len({r[0] for r in refused}) > 10)
    print("closes connections", len(moved) >= 3)
    print("answers", sorted(answers))
    print("retries elsewhere", sorted(retried), "at least 20",
          sum(retried.values()) >= 20)
    print("ran twice", sum(1 for n, c in ran.items() if n and c > 1))
    print("logged", events("instance-limited") > 0, "paths lost",
          events("path-lost"))
    print("ready again", wait_for(lambda: ready() == 200, 20),
          "serves", wait_targets(fleet, SMALL, PATH,
                                 headers=PLATFORM["caller"]))
