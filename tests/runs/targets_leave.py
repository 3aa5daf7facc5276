"""Targets leave, by their own report and by the document: they get no new
requests after 4 s, and requests that run there complete."""
import time
from fleet import Fleet, in_background, request

with Fleet(instances=2, control=1, engines=3,
           engine_options=["--token-us", "100000"]) as fleet:
    streams = []
    threads = [in_background(lambda n=n: streams.append(fleet.chat(
        "i0", "id=s%d #long" % n, tokens=30, stream=True)))
        for n in range(6)]
    time.sleep(0.4)
    request(fleet.targets["engine-0"], "POST", "/leave")
    document = fleet.document()
    document["targets"]["engine-1"]["state"] = "drain"
    print("put", fleet.put_document(document, 1, "drain").status)
    time.sleep(4)

    def count(name):
        return sum(1 for _ in open(fleet.path(name + ".runs")))
    before = [count("engine-0"), count("engine-1")]
    responses = [fleet.chat("i%d" % (n % 2), "id=n%d" % n, tokens=2).status
                 for n in range(12)]
    print("answers", set(responses), "new work",
          [count("engine-0") - before[0], count("engine-1") - before[1]])
    for thread in threads:
        thread.join(20)
    print("streams whole", [a.body.endswith("data: [DONE]\n\n") and
                            ":29:end" in a.body for a in streams])
    print("left", fleet.processes["engine-0"].wait(10))
