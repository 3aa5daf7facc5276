"""The leader, an instance that serves control alone, is stopped or killed at
moments that sweep over the life of a request, and comes back.  Each request of
the routers is answered in time, nothing runs twice, and each is billed
once."""
import json
import os
import signal
import sys
import time
from collections import Counter
from fleet import Fleet, in_background, wait_for

ROUTERS = ("i3", "i4")
ENDS = (signal.SIGTERM, signal.SIGKILL, signal.SIGTERM)
# A request may wait 3 s for its record to be opened, run, and wait 5 s for
# its bill.
TIME_MAX_S = 15
outcomes, took_s, served = Counter(), [], []
is_over = False


class ControlFleet(Fleet):
    def write_settings(self, name):
        super().write_settings(name)
        if name in self.control:
            with open(self.path(name + ".json")) as text:
                settings = json.load(text)
            settings["roles"] = ["control"]
            del settings["listen"]["callers"]
            self.write(name + ".json", json.dumps(settings))

    def wait_ready(self, names=None):
        super().wait_ready(names or ROUTERS)


def keep_sending(router, part):
    number = 0
    while not is_over:
        number += 1
        key = "%s-%d-%d" % (router, part, number)
        began = time.monotonic()
        response = fleet.call(router, "/services/s/lots", "id=" + key, key=key)
        took_s.append(time.monotonic() - began)
        outcomes[response.status] += 1
        if response.status == 200:
            served.append(key)


with ControlFleet(instances=5, control=3, budget_tokens=1000000,
                  service_options=["--call-us", "20000"]) as fleet:
    threads = [in_background(lambda r=router, p=part: keep_sending(r, p))
               for router in ROUTERS for part in range(4)]
    for turn, number in enumerate(ENDS):
        time.sleep(1 + 0.017 * turn)
        leader = fleet.leader()
        fleet.kill(leader, number)
        time.sleep(2)
        fleet.start(leader)
        print("back", bool(wait_for(lambda: fleet.operator_request(
            "GET", "/control/v1/status", name=leader).status == 200)))
    is_over = True
    for thread in threads:
        thread.join(30)
    ran = Counter(key for key in served if fleet.run_count(key) != 1)
    account = fleet.wait_settled()
    known = set(outcomes) <= {200, 503, 504}
    print("unanswered", outcomes[0], "known answers", known,
          "in time", max(took_s) < TIME_MAX_S, "not run once", len(ran))
    print("billed once", account["settled_mtok"] // 10000 - len(served) in
          range(outcomes[504] + 1))
    if os.environ.get("VERBOSE"):
        print(dict(outcomes), "longest %.1f s" % max(took_s), file=sys.stderr)
