"""An instance without time to drain is stopped while the quorum is lost.
Requests of our own API that wait for a target, for their record to be opened,
read or settled, or for their target, all get an answer."""
import os
import signal
import sys
import time
from collections import Counter
from fleet import Fleet, in_background

STOPPED = "i3"
outcomes = Counter()


def send(kind, key):
    if kind == "chat":
        return fleet.chat(STOPPED, "id=%s #long" % key, key, tokens=6)
    if kind == "stream":
        return fleet.chat(STOPPED, "id=%s #long" % key, key, tokens=30,
                          stream=True)
    return fleet.call(STOPPED, "/services/s/lots", "id=" + key, key=key)


def send_and_count(kind, key):
    response = send(kind, key)
    if response.status == 0 and '"error"' not in response.body:
        outcomes[kind] += 1
    else:
        outcomes["answered"] += 1


with Fleet(instances=4, control=3, capacity=8, concurrent_max=20,
           engine_options=["--token-us", "60000"],
           service_options=["--call-us", "500000"],
           extra_settings={"drain_ms": 0, "drain_notice_ms": 600}) as fleet:
    threads = []

    def send_more(part):
        for number in range(9):
            for kind in ("service", "chat", "stream"):
                key = "%s-%s-%d" % (part, kind, number)
                threads.append(in_background(
                    lambda k=kind, y=key: send_and_count(k, y)))
            time.sleep(0.05)
    send_more("before")
    for name in fleet.control:
        fleet.kill(name, signal.SIGSTOP)
    fleet.processes[STOPPED].send_signal(signal.SIGTERM)
    send_more("after")
    print("exit", fleet.processes[STOPPED].wait(20))
    for thread in threads:
        thread.join(30)
    print("answered", outcomes.pop("answered") > 9, "not", sorted(outcomes))
    if os.environ.get("VERBOSE"):
        print(dict(outcomes), file=sys.stderr)
