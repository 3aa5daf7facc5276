"""An instance that serves callers and whose control replica has a failing disk
ends by itself.  Requests and operators' calls that are under way then are
completed, and those that come later are refused."""
import time
from collections import Counter
from fleet import Fleet, in_background, wait_for

FAILING = "i2"
outcomes = Counter()


def send(kind, number):
    if kind == "service":
        return fleet.call(FAILING, "/services/s/lots", "id=x",
                          key="%s-%d" % (kind, number), timeout=15)
    if kind == "operator":
        return fleet.operator_request("GET", "/control/v1/status", name=FAILING)
    return fleet.chat(FAILING, "id=%d #long" % number, tokens=20, stream=True,
                      timeout=15)


def is_whole(kind, response):
    return (response.status >= 400 or
            response.status == 200 and
            (kind != "stream" or "[DONE]" in response.body))


def keep_sending(kind):
    number = 0
    while process.poll() is None:
        number += 1
        response = send(kind, number)
        # A refused connection took no request.
        if response.body != "ConnectionRefusedError":
            outcomes["whole" if is_whole(kind, response) else kind] += 1
        time.sleep(0.02)


with Fleet(instances=3, control=3, stallable=(FAILING,),
           engine_options=["--token-us", "60000"],
           service_options=["--call-us", "300000"],
           extra_settings={"drain_notice_ms": 300}) as fleet:
    process = fleet.processes[FAILING]
    threads = [in_background(lambda k=kind: keep_sending(k))
               for kind in ("service", "operator", "stream") * 4]
    time.sleep(2)
    fleet.fail_disk(FAILING)
    print("ended", wait_for(lambda: process.poll() is not None, 40),
          process.poll())
    for thread in threads:
        thread.join(20)
    print("whole", outcomes.pop("whole") > 20, "cut", dict(outcomes))
