"""A long partition. An instance with a lease serves repeatable requests from
it, refuses what must not run twice, and is killed; all is billed once when
the links are whole again, and the lease comes back."""
import time
from fleet import Fleet, wait_for

with Fleet(instances=4, control=3, partition="lease", budget_tokens=100000,
           disks=["i0", "i1", "i2", "i3"], behind_relay=["i3"]) as fleet:
    for number in range(20):
        fleet.chat("i3", "id=a%d" % number, key="before-%d" % number,
                   tokens=5)
    print("leased", wait_for(lambda: fleet.account("w", "i0")[
        "leased_mtok"] > 0))
    fleet.cut()
    time.sleep(2.5)
    print("chat", fleet.chat("i3", "id=cut", key="cut-1", tokens=5).status)
    print("stock", fleet.call("i3", "/services/s/stock", key="cut-2",
                              method="GET").status)
    answer = fleet.call("i3", "/services/s/lots", "id=lot", key="lot")
    print("booking", answer.status, answer.json()["error"]["type"],
          answer.run(), "runs", fleet.runs("lot"))
    # The other side of the partition serves the same caller meanwhile, and
    # a top-up there counts there.
    print("other side", fleet.chat("i0", "id=cut", key="cut-1",
                                   tokens=5).status,
          fleet.topup("w", 1000, "there", "i0").status)
    fleet.kill("i3")
    fleet.start("i3")
    time.sleep(0.3)
    print("restarted, cut off", fleet.is_ready("i3"))
    fleet.cut(False)
    fleet.wait_ready(["i3"])
    account = wait_for(lambda: (lambda a: a if not a["leased_mtok"] and
                                not a["reserved_mtok"] else None)(
                                    fleet.account("w", "i0")), 40)
    chats = sum((len("user\nid=a%d\n" % n) // 4 + 5) for n in range(20))
    chats += len("user\nid=cut\n") // 4 + 5
    print("billed once", account["settled_mtok"] == chats * 1000 + 10000,
          "budget", account["budget_mtok"])
