"""SIGHUP reaches an instance while it starts, here while its disk stalls: it
goes on, and is ready."""
import shutil
import signal
import time
from fleet import Fleet

with Fleet(instances=1, control=1, stallable=["i0"]) as fleet:
    fleet.kill("i0")
    shutil.rmtree(fleet.path("data-i0"))
    fleet.stall_disk("i0")
    fleet.start("i0")
    time.sleep(1)
    fleet.kill("i0", signal.SIGHUP)
    time.sleep(0.5)
    print("runs", fleet.processes["i0"].poll() is None)
    fleet.stall_disk("i0", False)
    if fleet.processes["i0"].poll() is None:
        fleet.wait_ready()
        print("ready")
