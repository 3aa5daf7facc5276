"""After the disks of all control instances were full, one after another and
again at once, each instance has changes acknowledged again, and nothing that
was acknowledged is lost."""
import threading
import time
from fleet import Fleet, wait_for

ORDER = ["i0", "i1", "i2", "leader", "leader", "leader"]
FULL_S = 3


class Operator:
    """Submits changes through one instance, all the while."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.acked = fleet, name, {}
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        number = 0
        while not self.is_stopped:
            number += 1
            self.submit("%s-%d" % (self.name, number))
            time.sleep(0.05)

    # Changes the timeout of a service of its own, so that the document tells
    # which change it holds.
    def submit(self, submission):
        shown = self.fleet.operator_request("GET", "/control/v1/document",
                                            name=self.name)
        if shown.status != 200:
            return False
        document = shown.json()
        number = int(submission.split("-")[1])
        document["services"]["of-" + self.name]["timeout_ms"] = 3000 + number
        base = int(shown.headers["etag"].strip('"'))
        put = self.fleet.put_document(document, base, submission, self.name)
        if put.status == 200:
            self.acked[base + 1] = number
        return put.status == 200

    # Returns whether a change is acknowledged that is submitted from now on.
    def waits_for_change(self):
        count = len(self.acked)
        return bool(wait_for(lambda: len(self.acked) > count + 1, 30))

    def stop(self):
        self.is_stopped = True
        self.thread.join(30)


names = ["i0", "i1", "i2"]
service = {"targets": ["service-0"], "price_mtok": 10000, "timeout_ms": 3000}
services = {"of-" + name: dict(service) for name in names}
services["s"] = service
# A large document makes snapshots due while the disks are full.
services.update({"pad-%d-%s" % (n, "x" * 50): service for n in range(1000)})
with Fleet(instances=3, control=3, fillable=names,
           extra_document={"services": services}) as fleet:
    calls = []

    def call_all_the_while():
        while not is_over:
            number = len(calls)
            calls.append(fleet.call(names[number % 3], "/services/s/lots",
                                    "id=%d" % number, key="c%d" % number))
            time.sleep(0.02)

    def is_logged(name, event, count):
        return open(fleet.path(name + ".log")).read().count(event) >= count

    is_over = False
    operators = [Operator(fleet, name) for name in names]
    caller = threading.Thread(target=call_all_the_while, daemon=True)
    caller.start()
    full_count = {name: 0 for name in names}
    for turn in ORDER:
        name = (fleet.leader() or "i0") if turn == "leader" else turn
        full_count[name] += 1
        fleet.fill_disk(name, room_bytes=7)
        is_full = wait_for(lambda: is_logged(name, "disk-full",
                                             full_count[name]), 30)
        time.sleep(FULL_S)
        fleet.empty_disk(name)
        print("full", bool(is_full))
    print("changes again", [o.waits_for_change() for o in operators])
    print("room again", [bool(wait_for(lambda n=n: is_logged(
        n, "disk-has-room", full_count[n]), 30)) for n in names])
    is_over = True
    caller.join(30)
    for operator in operators:
        operator.stop()
    print("all run", [fleet.processes[n].poll() for n in names])
    print("no answer to", sum(c.status == 0 for c in calls), "callers")
    acked = {}
    for operator in operators:
        acked.update(operator.acked)
    print("one change a version", len(acked) == sum(
        len(o.acked) for o in operators))

    # All replicas restart: what they hold then is on their disks.
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.start(name)
    fleet.wait_ready()
    final = fleet.retry(lambda: fleet.operator_request(
        "GET", "/control/v1/document"))
    held = final.json()["services"]
    print("none lost", int(final.headers["etag"].strip('"')) >= max(acked),
          [held["of-" + o.name]["timeout_ms"] - 3000 >= max(o.acked.values())
           for o in operators])
    account = fleet.wait_settled()
    answered = sum(c.status == 200 for c in calls)
    unknown = sum(c.run_claim() == "unknown" for c in calls)
    print("billed once", answered * 10000 <= account["settled_mtok"]
          <= (answered + unknown) * 10000)
