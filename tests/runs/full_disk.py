"""A control instance whose disk is full stops with a typed error; the others
go on, and it comes back when there is room."""
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, limits={"i2": 20000}) as fleet:
    def work():
        for number in range(60):
            fleet.call("i0", "/services/s/lots", "id=x", key="k%d" % number)
    work()
    process = fleet.processes["i2"]
    print("stopped", wait_for(lambda: process.poll() is not None),
          process.poll(), "disk_full" in open(fleet.path("i2.log")).read())
    print("others", fleet.retry(lambda: fleet.chat(
        "i0", "id=a", tokens=2)).status)
    fleet.limits = {}
    fleet.start("i2")
    fleet.wait_ready(["i2"])
    print("back", fleet.call("i2", "/services/s/lots", "id=x",
                             key="k59").headers.get("x-mimosapath-replayed"))
