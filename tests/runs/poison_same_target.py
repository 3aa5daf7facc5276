"""A request crashes the only target again each time that it is back, under its
old name and at its address: each of its ends counts, and two are enough."""
import time
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, engines=1) as fleet:
    ends, last = 0, []
    for number in range(8):
        last = fleet.chat("i%d" % (number % 3), "id=x #crash",
                          key="poison-%d" % number, tokens=5)
        time.sleep(0.2)
        if fleet.processes["engine-0"].poll() is not None:
            ends += 1
            fleet.start_target("engine-0")
        wait_for(lambda: fleet.chat("i%d" % (number % 3), "id=ok",
                                    tokens=3).status == 200)
    print("ends within the bound of 2", ends <= 2, "last answer", last.status,
          last.json()["error"]["type"])
