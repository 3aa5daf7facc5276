"""A refusal says "not run" only for a key that never ran: a key that ran is
sent again to an instance that is cut off, to a full workspace, and after the
targets are gone."""
import time
from fleet import Fleet, in_background

with Fleet(instances=4, control=3, concurrent=1, behind_relay=["i3"],
           engine_options=["--token-us", "100000"]) as fleet:
    def tell(name, answer):
        print(name, answer.status, answer.json()["error"]["type"],
              answer.run())
    print("runs", fleet.call("i3", "/services/s/stock", "id=a", key="ran",
                             method="GET").status)
    busy = in_background(lambda: fleet.chat("i0", "id=b #long", tokens=25,
                                            stream=True))
    time.sleep(0.5)
    tell("limit, ran", fleet.call("i0", "/services/s/stock", "id=a",
                                  key="ran", method="GET"))
    tell("limit, new", fleet.call("i0", "/services/s/stock", "id=a",
                                  key="new", method="GET"))
    tell("limit, no key", fleet.call("i0", "/services/s/stock", "id=a",
                                     method="GET"))
    busy.join(10)
    fleet.kill("service-0")
    time.sleep(2.5)
    tell("no target, ran", fleet.call("i1", "/services/s/stock", "id=a",
                                      key="ran", method="GET"))
    tell("no target, new", fleet.call("i1", "/services/s/stock", "id=a",
                                      key="new", method="GET"))
    fleet.cut()
    time.sleep(0.5)
    tell("cut off, ran", fleet.chat("i3", "id=a", key="ran", tokens=2))
    tell("cut off, no key", fleet.chat("i3", "id=a", tokens=2))
