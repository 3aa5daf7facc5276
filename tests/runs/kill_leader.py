"""The leader is killed (SIGKILL) under load: each key is billed once, each
booking runs once, and no answer is truncated."""
import threading
import time
from fleet import Fleet, in_background

with Fleet(instances=5, control=3) as fleet:
    responses = {}
    stop = threading.Event()

    def caller(number):
        # A caller resends its key, to either router, until it has an answer.
        for count in range(25):
            key = "key-%d-%d" % (number, count)
            booking = count % 2 == 0
            instance = "i%d" % (3 + (number + count) % 2)

            def once():
                if booking:
                    return fleet.call(instance, "/services/s/lots",
                                      "id=" + key, key=key)
                return fleet.chat(instance, "id=%s write" % key, key=key,
                                  tokens=5)
            response = fleet.retry(once, (200,), 30)
            responses[key] = response
            time.sleep(0.02)

    threads = [in_background(lambda n=n: caller(n)) for n in range(6)]
    time.sleep(0.6)
    leader = fleet.leader()
    fleet.kill(leader)
    for thread in threads:
        thread.join(60)
    print("answered", sum(1 for a in responses.values() if a), "of", 150)
    bookings = [k for k in responses if int(k.split("-")[2]) % 2 == 0]
    runs = [fleet.run_count(k) for k in bookings]
    print("bookings", len(bookings), "each run once", set(runs) == {1})
    own_responses = sum(1 for k, a in responses.items()
                        if a and ('"tag":"%s"' % k in a.body or
                                  "%s:4:end" % k in a.body))
    print("own whole answers", own_responses)
    account = fleet.wait_settled()
    prompt = {k: len("user\nid=%s write\n" % k) // 4 for k in responses}
    bill = sum(10000 if int(k.split("-")[2]) % 2 == 0
               else (prompt[k] + 5) * 1000 for k in responses)
    print("billed as expected", account["settled_mtok"] == bill)
    fleet.start(leader)
    fleet.wait_ready([leader])
    print("leader back", fleet.chat(leader, "id=z", tokens=2).status)
