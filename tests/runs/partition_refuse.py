"""A partitioned instance whose workspace is set to refuse: nothing runs there,
and no refused request has run."""
import time
from fleet import Fleet, request

with Fleet(instances=4, control=3, behind_proxy=["i3"]) as fleet:
    print("before", fleet.chat("i3", "id=a", key="a", tokens=3).status)
    fleet.set_partitioned()
    time.sleep(2.5)
    response = fleet.chat("i3", "id=b", key="b", tokens=3)
    print("cut off", response.status, response.json()["error"]["type"],
          "retry-after" in response.headers, "runs", fleet.run_count("b"))
    def proposals():
        text = request(fleet.operators["i3"], "GET", "/metrics").body
        return [l for l in text.splitlines() if "proposals_total" in l]
    before = proposals()
    print("many", {fleet.chat("i3", "id=m", tokens=2).status
                   for _ in range(40)}, "proposed nothing",
          proposals() == before)
    print("elsewhere", fleet.chat("i0", "id=b", key="b", tokens=3).status)
    fleet.set_partitioned(False)
    print("healed", fleet.retry(lambda: fleet.chat(
        "i3", "id=c", key="c", tokens=3)).status)
    account = fleet.wait_settled()
    bill = sum(len("user\nid=%s\n" % k) // 4 + 3 for k in "abc") * 1000
    print("billed once", account["settled_mtok"] == bill)
