"""A control instance whose disk is full reports it and goes on as a router; so
do the others.  It has lost nothing when it is started again with room."""
import signal
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, file_size_limits={"i2": 20000}) as fleet:
    def work():
        for number in range(60):
            fleet.call("i0", "/services/s/lots", "id=x", key="k%d" % number)
    work()
    process = fleet.processes["i2"]
    print("full", wait_for(lambda: "disk-full error=disk_full" in open(
        fleet.path("i2.log")).read()), process.poll())
    print("others", fleet.retry(lambda: fleet.chat(
        "i0", "id=a", tokens=2)).status)
    print("itself", fleet.retry(lambda: fleet.chat(
        "i2", "id=b", tokens=2)).status, process.poll())
    print("stopped", fleet.kill("i2", signal.SIGTERM))
    fleet.file_size_limits = {}
    fleet.start("i2")
    fleet.wait_ready(["i2"])
    print("back", fleet.call("i2", "/services/s/lots", "id=x",
                             key="k59").headers.get("x-mimosapath-replayed"))
