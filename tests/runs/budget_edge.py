"""A budget is exhausted on all instances at once: nothing is overspent, and
refused requests have not run."""
from fleet import Fleet, in_background

with Fleet(instances=3, control=3, budget_tokens=205) as fleet:
    results = []

    def caller(number):
        for count in range(4):
            key = "k-%d-%d" % (number, count)
            response = fleet.call("i%d" % (number % 3), "/services/s/lots",
                                  "id=x", key=key)
            results.append((key, response))
    threads = [in_background(lambda n=n: caller(n)) for n in range(9)]
    for thread in threads:
        thread.join(30)
    account = fleet.wait_settled()
    served = [k for k, a in results if a.status == 200]
    refused = [(k, a) for k, a in results if a.status == 402]
    print("served", len(served), "refused", len(refused), "of",
          len(results))
    print("settled", account["settled_mtok"], "of",
          account["budget_mtok"])
    print("refused ran", sum(fleet.run_count(k) for k, a in refused),
          {a.run_claim() for k, a in refused})
    fleet.topup("w", 10)
    key = refused[0][0]
    response = fleet.call("i1", "/services/s/lots", "id=x", key=key)
    print("after a top-up", response.status, "runs", fleet.run_count(key))
