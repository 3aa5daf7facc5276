"""A target's status that cannot be right (numbers out of range, other types,
deep nesting, names twice) ends no process and is not taken: the target works
on with the status before it."""
import json

from fleet import Fleet, wait_for
from pathfleet import SimTarget

MOST = 2 ** 63 - 1
GOOD = {"boot": "b", "sequence": 1, "running": 0, "waiting": 0,
        "leaving": False, "events": []}


def changed(**fields):
    return json.dumps(dict(GOOD, **fields))


ODD = [changed(running=MOST, waiting=MOST), changed(running=-MOST),
       changed(sequence=-1), changed(sequence=10 ** 30), changed(boot=7),
       changed(boot=None), changed(boot="x\0y"), changed(boot="x\r\ny"),
       changed(boot="x" * 100000), changed(leaving="yes"), changed(leaving=1),
       changed(running="1"), changed(running=1.5), "[" * 100000,
       changed(events=[[-1, "+", "1"], [MOST, "+", "1"], [1, 2, 3], [],
                       [10 ** 30, "-", "f"], ["1", "+", "1"], None]),
       '{"boot":"c","boot":"d"}', "", "7", '{"boot":"\xff"}']
state = {"statuses": 0, "odd": True}


def handle_request(target, request, conn):
    body = json.dumps(GOOD)
    if request["path"].startswith("/status"):
        if state["statuses"] > 0 and state["statuses"] <= len(ODD):
            body = ODD[state["statuses"] - 1]
        state["statuses"] += 1
    else:
        body = json.dumps({"choices": [{}], "usage": {
            "prompt_tokens": 1, "completion_tokens": 1}})
    data = body.encode("latin-1")
    conn.sendall(b"HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
                 b"Content-Length: %d\r\n\r\n" % len(data) + data)
    return False


engine = SimTarget("e", handle_request)


class OddFleet(Fleet):
    def start_target(self, name):
        if name in self.engine_names:
            self.targets[name] = engine.port
        else:
            super().start_target(name)


with OddFleet(instances=1, control=1, engines=1) as fleet:
    print("all played", wait_for(lambda: state["statuses"] > len(ODD) + 2 or
                                 fleet.processes["i0"].poll() is not None,
                                 30) and state["statuses"] > len(ODD))
    print("alive", fleet.processes["i0"].poll() is None)
    print("served", wait_for(lambda: fleet.chat("i0", "hi").status == 200, 5))
    with open(fleet.path("i0.log")) as log:
        lines = [line for line in log if "target-status-unreadable" in line]
    print("told", len(lines))
