"""A request that crashes each target that runs it, resent by its caller to all
instances: at most two targets crash, and other requests are served."""
from fleet import Fleet

with Fleet(instances=3, control=3, engines=5) as fleet:
    statuses = []
    for number in range(9):
        response = fleet.chat("i%d" % (number % 3), "id=x #crash",
                              key="poison-%d" % (number // 3), tokens=5)
        statuses.append((response.status, response.run_claim()))
    crashed = sum(1 for n in fleet.engine_names
                  if fleet.processes[n].poll() is not None)
    print("crashed", crashed, "answers", sorted(set(statuses)))
    print("other requests", [fleet.retry(lambda: fleet.chat(
        "i%d" % n, "id=ok", tokens=3)).status for n in range(3)])
    account = fleet.wait_settled()
    print("billed", account["settled_mtok"] ==
          3 * (len("user\nid=ok\n") // 4 + 3) * 1000)
