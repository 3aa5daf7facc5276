"""A router with open streams is killed (SIGKILL); the callers retry at other
instances."""
import time
from fleet import Fleet, in_background, wait_for

with Fleet(instances=4, control=3, engine_options=["--token-us", "60000"],
           service_options=["--call-us", "800000"]) as fleet:
    looked_complete, booking = [], []

    def stream(number):
        response = fleet.chat("i3", "id=s%d write" % number,
                              key="stream-%d" % number, tokens=20,
                              stream=True)
        looked_complete.append("[DONE]" in response.body)

    def book():
        booking.append(fleet.call("i3", "/services/s/lots", "id=lot",
                                  key="lot").status)
    threads = [in_background(lambda n=n: stream(n)) for n in range(4)]
    threads.append(in_background(book))
    time.sleep(0.5)
    fleet.kill("i3")
    for thread in threads:
        thread.join(20)
    print("streams that looked whole", sum(looked_complete),
          "booking answers", booking)
    bill = 10000
    for number in range(4):
        response = fleet.retry(lambda: fleet.chat(
            "i0", "id=s%d write" % number, key="stream-%d" % number,
            tokens=20, stream=True))
        tokens = [l for l in response.body.split("\n\n")
                  if "s%d:" % number in l]
        print("retry", response.status, ":end" in tokens[-1],
              response.body.endswith("data: [DONE]\n\n"))
        prompt = len("user\nid=s%d write\n" % number) // 4
        bill += (prompt + len(tokens)) * 1000
    # The outcome stays open until the killed router is fenced, and is unknown
    # after that.  The booking is never run again.
    response = fleet.call("i1", "/services/s/lots", "id=lot", key="lot")
    print("booking at once", response.status, response.run_claim())
    response = fleet.retry(lambda: fleet.call(
        "i1", "/services/s/lots", "id=lot", key="lot"), (504,), 25)
    print("booking later", response.status, response.json()["error"]["type"],
          response.run_claim(), "runs", fleet.run_count("lot"))
    account = fleet.wait_settled()
    print("billed once", account["settled_mtok"] == bill)
