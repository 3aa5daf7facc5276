"""A control instance whose disk is full exits with a typed error.  The others
continue, and it can be started again when there is space."""
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, file_size_limits={"i2": 20000}) as fleet:
    def work():
        for number in range(60):
            fleet.call("i0", "/services/s/lots", "id=x", key="k%d" % number)
    work()
    process = fleet.processes["i2"]
    print("stopped", wait_for(lambda: process.poll() is not None),
          process.poll(), "disk_full" in open(fleet.path("i2.log")).read())
    print("others", fleet.retry(lambda: fleet.chat(
        "i0", "id=a", tokens=2)).status)
    fleet.file_size_limits = {}
    fleet.start("i2")
    fleet.wait_ready(["i2"])
    print("back", fleet.call("i2", "/services/s/lots", "id=x",
                             key="k59").headers.get("x-mimosapath-replayed"))
