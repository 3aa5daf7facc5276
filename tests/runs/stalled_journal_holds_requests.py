"""A router that is cut off serves from its lease, and its disk stalls: requests
that wait for the journal are refused or told that the outcome is not known,
while the disk is still stalled.  What the journal has then is billed once."""
import time
from fleet import Fleet, in_background, wait_for

answers = {}


def send(name, tokens):
    answers[name] = fleet.chat("i3", "id=%s #long" % name, name, tokens=tokens)


with Fleet(instances=4, control=3, partition="lease", budget_tokens=100000,
           persistent=["i0", "i1", "i2", "i3"], behind_proxy=["i3"],
           engine_options=["--token-us", "50000"],
           stallable=["i3"]) as fleet:
    for number in range(20):
        fleet.chat("i3", "id=a%d" % number, key="before-%d" % number,
                   tokens=5)
    print("leased", wait_for(lambda: fleet.account("w", "i0")[
        "leased_mtok"] > 0))
    fleet.set_partitioned()
    time.sleep(2.5)
    print("served", fleet.chat("i3", "id=cut", key="cut", tokens=5).status)
    running = in_background(lambda: send("running", 30))
    time.sleep(0.5)
    fleet.stall_disk("i3")
    began = time.monotonic()
    late = in_background(lambda: send("late", 5))
    for thread in (running, late):
        thread.join(15)
    print("answered", sorted(answers), "in time",
          time.monotonic() - began < 15)
    for name in sorted(answers):
        answer = answers[name]
        print(name, answer.status, answer.json()["error"]["type"]
              if answer.status else answer.body, answer.run_claim())
    fleet.stall_disk("i3", False)
    fleet.set_partitioned(False)
    account = wait_for(lambda: (lambda a: a if not a["leased_mtok"] and
                                not a["reserved_mtok"] else None)(
                                    fleet.account("w", "i0")), 40)
    chats = sum((len("user\nid=a%d\n" % n) // 4 + 5) for n in range(20))
    chats += len("user\nid=cut\n") // 4 + 5
    chats += len("user\nid=running #long\n") // 4 + 30
    print("billed once", account and account["settled_mtok"] == chats * 1000)
