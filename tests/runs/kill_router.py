"""kill -9 of a router with open streams; the callers retry elsewhere."""
import time
from fleet import Fleet, in_background, wait_for

with Fleet(instances=4, control=3, engine_options=["--token-us", "60000"],
           service_options=["--call-us", "800000"]) as fleet:
    cut, booking = [], []

    def stream(number):
        answer = fleet.chat("i3", "id=s%d write" % number,
                            key="stream-%d" % number, tokens=20,
                            stream=True)
        cut.append("[DONE]" in answer.body)

    def book():
        booking.append(fleet.call("i3", "/services/s/lots", "id=lot",
                                  key="lot").status)
    threads = [in_background(lambda n=n: stream(n)) for n in range(4)]
    threads.append(in_background(book))
    time.sleep(0.5)
    fleet.kill("i3")
    for thread in threads:
        thread.join(20)
    print("streams that looked whole", sum(cut), "booking answers",
          booking)
    bill = 10000
    for number in range(4):
        answer = fleet.retry(lambda: fleet.chat(
            "i0", "id=s%d write" % number, key="stream-%d" % number,
            tokens=20, stream=True))
        tokens = [l for l in answer.body.split("\n\n")
                  if "s%d:" % number in l]
        print("retry", answer.status, ":end" in tokens[-1],
              answer.body.endswith("data: [DONE]\n\n"))
        prompt = len("user\nid=s%d write\n" % number) // 4
        bill += (prompt + len(tokens)) * 1000
    # While the dead router counts as alive the outcome is open; then it is
    # unknown. It is never run again.
    answer = fleet.call("i1", "/services/s/lots", "id=lot", key="lot")
    print("booking at once", answer.status, answer.run())
    answer = fleet.retry(lambda: fleet.call(
        "i1", "/services/s/lots", "id=lot", key="lot"), (504,), 25)
    print("booking later", answer.status, answer.json()["error"]["type"],
          answer.run(), "runs", fleet.runs("lot"))
    account = fleet.wait_settled()
    print("billed once", account["settled_mtok"] == bill)
