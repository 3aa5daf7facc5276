"""SIGTERM with open streams and a running booking: nothing is cut off,
everything is billed, and the process exits with 0."""
import signal
import time
from fleet import Fleet, in_background

with Fleet(instances=4, control=3, engine_options=["--token-us", "80000"],
           service_options=["--call-us", "1500000"]) as fleet:
    responses, booking = [], []
    threads = [in_background(lambda n=n: responses.append(fleet.chat(
        "i3", "id=s%d #long" % n, tokens=40, stream=True)))
        for n in range(5)]
    threads.append(in_background(lambda: booking.append(fleet.call(
        "i3", "/services/s/lots", "id=lot", key="lot"))))
    time.sleep(0.4)
    fleet.processes["i3"].send_signal(signal.SIGTERM)
    time.sleep(0.3)
    print("ready", fleet.is_ready("i3"))
    print("exit", fleet.processes["i3"].wait(30))
    for thread in threads:
        thread.join(10)
    print("whole", sum(a.body.endswith("data: [DONE]\n\n") and
                       ":39:end" in a.body for a in responses),
          "booking", booking[0].status)
    account = fleet.account()
    bill = sum(len("user\nid=s%d #long\n" % n) // 4 + 40 for n in range(5))
    print("settled", account["settled_mtok"] == bill * 1000 + 10000,
          "reserved", account["reserved_mtok"])
