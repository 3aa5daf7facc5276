"""A control replica is down while thousands of entries and hundreds of
document changes are applied.  It catches up by a snapshot and can replace
another replica at once.  A router that was down gets the newest document
first."""
import os
import subprocess
from fleet import PROGRAM, Fleet, request, wait_for

with Fleet(instances=4, control=3, workspaces={"w0": "key-w0"},
           concurrent_max=4000, budget_tokens=10 ** 9) as fleet:
    def metric(name, series):
        response = request(fleet.operators[name], "GET", "/metrics")
        for line in response.body.splitlines():
            if line.startswith(series + " "):
                return int(line.split()[1])
        return 0
    fleet.kill("i2")
    fleet.kill("i3")
    document = fleet.document()
    for number in range(200):
        document["retention_s"] = 10000 + number
        response = fleet.put_document(document, number + 1, "p%d" % number)
        assert response.status == 200, response.body
    seed = 1
    while metric("i0", "mimosapath_raft_applied") < 18000 and seed < 40:
        subprocess.run([PROGRAM, "load", "--mix", "bookings", "--rate",
                        "1000", "--seconds", "3", "--quiet", "--seed",
                        str(seed), "--instance",
                        "127.0.0.1:%d" % fleet.callers["i0"]],
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        seed += 1
    print("log cut", metric("i0", "mimosapath_raft_log_entries") <
          metric("i0", "mimosapath_raft_applied"))
    fleet.start("i2")
    fleet.start("i3")
    fleet.wait_ready(["i2", "i3"])
    print("versions", {metric(n, "mimosapath_document_version")
                       for n in ("i2", "i3")})
    target = metric("i0", "mimosapath_raft_applied")
    print("caught up", bool(wait_for(lambda: metric(
        "i2", "mimosapath_raft_applied") >= target, 30)))
    before = fleet.account("w0")
    fleet.kill("i0")
    headers = {"authorization": "Bearer key-w0", "idempotency-key": "1-1"}
    response = wait_for(lambda: (lambda a: a if a.status == 200 else None)(
        request(fleet.callers["i3"], "POST", "/services/s/lots",
                "book id=1-1", headers)))
    print("replaces a replica", response.status,
          response.headers.get("x-mimosapath-replayed"),
          fleet.account("w0")["settled_mtok"] == before["settled_mtok"])
