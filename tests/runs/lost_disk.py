"""A control instance loses its disk and comes back as a new replica.  Right
after the repair another one is killed, and no data is missing."""
import shutil
from fleet import Fleet, wait_for

with Fleet(instances=4, control=3) as fleet:
    fleet.call("i3", "/services/s/lots", "id=lot", key="lot")
    before = fleet.account()
    def replicas():
        return {m["instance"]: (m["replica"], m["voter"])
                for m in fleet.status("i3")["control"]}
    old = replicas()["i0"]
    fleet.kill("i0")
    shutil.rmtree(fleet.path("data-i0"))
    fleet.start("i0")
    fleet.wait_ready(["i0"])

    def repaired():
        now = replicas()
        return (len(fleet.status("i3")["control"]) == 3 and
                now["i0"] != old and all(v for _, v in now.values()))
    print("repaired", bool(wait_for(repaired, 20)))
    fleet.kill("i1")
    response = fleet.retry(lambda: fleet.call("i3", "/services/s/lots",
                                              "id=lot", key="lot"))
    print("after a second loss", response.status,
          response.headers.get("x-mimosapath-replayed"), "runs",
          fleet.run_count("lot"))
    print("same account", fleet.account() == before)
    print("new work", fleet.retry(lambda: fleet.chat(
        "i3", "id=n", tokens=2)).status)
