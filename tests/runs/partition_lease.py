"""A long partition.  An instance with a lease serves retryable requests from
it, refuses at-most-once requests, and is killed.  After the partition
everything is billed once, and the lease is returned."""
import time
from fleet import Fleet, wait_for

with Fleet(instances=4, control=3, partition="lease", budget_tokens=100000,
           persistent=["i0", "i1", "i2", "i3"], behind_proxy=["i3"]) as fleet:
    for number in range(20):
        fleet.chat("i3", "id=a%d" % number, key="before-%d" % number,
                   tokens=5)
    print("leased", wait_for(lambda: fleet.account("w", "i0")[
        "leased_mtok"] > 0))
    fleet.set_partitioned()
    time.sleep(2.5)
    print("chat", fleet.chat("i3", "id=cut", key="cut-1", tokens=5).status)
    print("stock", fleet.call("i3", "/services/s/stock", key="cut-2",
                              method="GET").status)
    response = fleet.call("i3", "/services/s/lots", "id=lot", key="lot")
    print("booking", response.status, response.json()["error"]["type"],
          response.run_claim(), "runs", fleet.run_count("lot"))
    # Meanwhile the majority side of the partition serves the same caller and
    # accepts a top-up.
    print("other side", fleet.chat("i0", "id=cut", key="cut-1",
                                   tokens=5).status,
          fleet.topup("w", 1000, "there", "i0").status)
    fleet.kill("i3")
    fleet.start("i3")
    time.sleep(0.3)
    print("restarted, cut off", fleet.is_ready("i3"))
    fleet.set_partitioned(False)
    fleet.wait_ready(["i3"])
    account = wait_for(lambda: (lambda a: a if not a["leased_mtok"] and
                                not a["reserved_mtok"] else None)(
                                    fleet.account("w", "i0")), 40)
    chats = sum((len("user\nid=a%d\n" % n) // 4 + 5) for n in range(20))
    chats += len("user\nid=cut\n") // 4 + 5
    print("billed once", account["settled_mtok"] == chats * 1000 + 10000,
          "budget", account["budget_mtok"])
