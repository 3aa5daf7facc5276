"""SIGHUP and a changed settings file are read again: decimals, seeds and all;
a faulty file is refused and the instance goes on."""
import json
import signal
from fleet import Fleet, wait_for

with Fleet(instances=1, control=1) as fleet:
    settings = json.load(open(fleet.path("i0.json")))

    def lines(event):
        with open(fleet.path("i0.log")) as log:
            return sum(event in line for line in log)

    def reload_with(changes, event, how=None):
        before = lines(event)
        fleet.write("i0.json", json.dumps(dict(settings, **changes)))
        if how:
            fleet.processes["i0"].send_signal(how)
        wait_for(lambda: lines(event) > before, 5)
        print(event, lines(event) > before, "alive",
              fleet.processes["i0"].poll() is None)

    more = {"retries": {"ratio": 0.25, "window_s": 9.5},
            "stop_within_s": 8,
            "seeds": [{"address": "127.0.0.1:%d" % fleet.rpc["i0"]}],
            "rpc_port": fleet.rpc["i0"]}
    reload_with(more, "settings-reloaded", signal.SIGHUP)
    reload_with({"drain_ms": 1000}, "settings-reloaded")
    reload_with({"retries": {"ratio": "much"}}, "settings-rejected",
                signal.SIGHUP)
    print("ready", fleet.is_ready("i0"))
