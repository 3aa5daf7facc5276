"""A refusal claims "not run" only for a key that has never run.  A key that
has run is sent again to a workspace at its limit, after the targets are gone,
and to a partitioned instance."""
import time
from fleet import Fleet, in_background

with Fleet(instances=4, control=3, concurrent_max=1, behind_proxy=["i3"],
           engine_options=["--token-us", "100000"]) as fleet:
    def show(name, response):
        print(name, response.status, response.json()["error"]["type"],
              response.run_claim())
    print("runs", fleet.call("i3", "/services/s/stock", "id=a", key="ran",
                             method="GET").status)
    busy = in_background(lambda: fleet.chat("i0", "id=b #long", tokens=25,
                                            stream=True))
    time.sleep(0.5)
    show("limit, ran", fleet.call("i0", "/services/s/stock", "id=a",
                                  key="ran", method="GET"))
    show("limit, new", fleet.call("i0", "/services/s/stock", "id=a",
                                  key="new", method="GET"))
    show("limit, no key", fleet.call("i0", "/services/s/stock", "id=a",
                                     method="GET"))
    busy.join(10)
    fleet.kill("service-0")
    time.sleep(2.5)
    show("no target, ran", fleet.call("i1", "/services/s/stock", "id=a",
                                      key="ran", method="GET"))
    show("no target, new", fleet.call("i1", "/services/s/stock", "id=a",
                                      key="new", method="GET"))
    fleet.set_partitioned()
    time.sleep(0.5)
    show("cut off, ran", fleet.chat("i3", "id=a", key="ran", tokens=2))
    show("cut off, no key", fleet.chat("i3", "id=a", tokens=2))
