"""A request crashes the only target each time it is back under its old name
and address.  Each crash counts, and the request is refused after two."""
import time
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, engines=1) as fleet:
    crash_count, last = 0, []
    for number in range(8):
        last = fleet.chat("i%d" % (number % 3), "id=x #crash",
                          key="poison-%d" % number, tokens=5)
        time.sleep(0.2)
        if fleet.processes["engine-0"].poll() is not None:
            crash_count += 1
            fleet.start_target("engine-0")
        wait_for(lambda: fleet.chat("i%d" % (number % 3), "id=ok",
                                    tokens=3).status == 200)
    print("crashes within the bound of 2", crash_count <= 2, "last answer",
          last.status, last.json()["error"]["type"])
