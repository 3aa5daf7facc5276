"""SIGHUP and a changed settings file reload the settings, decimal numbers and
seeds included.  A faulty file is rejected and the instance continues."""
import json
import signal
from fleet import Fleet, wait_for

with Fleet(instances=1, control=1) as fleet:
    settings = json.load(open(fleet.path("i0.json")))

    def lines(event):
        with open(fleet.path("i0.log")) as log:
            return sum(event in line for line in log)

    def reload_with(changes, event, signal_number=None):
        before = lines(event)
        fleet.write("i0.json", json.dumps(dict(settings, **changes)))
        if signal_number:
            fleet.processes["i0"].send_signal(signal_number)
        wait_for(lambda: lines(event) > before, 5)
        print(event, lines(event) > before, "alive",
              fleet.processes["i0"].poll() is None)

    reloaded = {"retries": {"ratio": 0.25, "window_s": 9.5},
                "stop_within_s": 8,
                "seeds": [{"address": "127.0.0.1:%d" % fleet.rpc["i0"]}],
                "rpc_port": fleet.rpc["i0"]}
    reload_with(reloaded, "settings-reloaded", signal.SIGHUP)
    reload_with({"drain_ms": 1000}, "settings-reloaded")
    reload_with({"retries": {"ratio": "much"}}, "settings-rejected",
                signal.SIGHUP)
    print("ready", fleet.is_ready("i0"))
