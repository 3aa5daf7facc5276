"""Targets crash, stop responding, refuse, fail and truncate answers.  A stream
continues at another engine from its position, and an incomplete answer does
not look complete."""
import signal
import time
from fleet import Fleet, in_background

with Fleet(instances=1, control=1, engines=3, services=2,
           engine_options=["--token-us", "60000"]) as fleet:
    seen = []
    thread = in_background(lambda: seen.append(fleet.chat(
        "i0", "id=long #long", key="long", tokens=40, stream=True)))
    time.sleep(0.8)
    victim = next(n for n in fleet.engine_names if fleet.run_count("long") and
                  "w:long" in open(fleet.path(n + ".runs")).read())
    fleet.kill(victim)
    thread.join(20)
    tokens = [l for l in seen[0].body.split("\n\n") if "long:" in l]
    print("resumed", len(tokens), "in order", all(
        "long:%d" % i in t for i, t in enumerate(tokens)),
        seen[0].body.endswith("data: [DONE]\n\n"))
    fleet.start_target(victim)
    frozen = fleet.engine_names[0]
    fleet.kill(frozen, signal.SIGSTOP)
    print("frozen", {fleet.chat("i0", "id=f%d" % n, tokens=2).status
                     for n in range(4)})
    fleet.kill(frozen, signal.SIGCONT)
    time.sleep(1.5)
    response = fleet.chat("i0", "id=s #short", tokens=9, stream=True)
    print("short", response.body.endswith("[DONE]\n\n"),
          "stream_cut" in response.body or response.status)
    response = fleet.chat("i0", "id=r #refuse", tokens=9)
    print("refused", response.status, response.run_claim())
    response = fleet.call("i0", "/services/s/lots", "id=e #error", key="e")
    print("booking fails", response.status, "runs", fleet.run_count("e"))
    response = fleet.call("i0", "/services/s/lots", "id=q #silent", key="q")
    print("booking silent", response.status, response.json()["error"]["type"],
          response.run_claim(), "runs", fleet.run_count("q"))
    response = fleet.call("i0", "/services/s/lots", "id=q #silent", key="q")
    print("again", response.status, response.run_claim(), "runs",
          fleet.run_count("q"))
    print("reserved", fleet.wait_settled()["reserved_mtok"])
