"""All instances are killed and started again: everything acknowledged is
kept."""
import time
from fleet import Fleet

with Fleet(instances=3, control=3) as fleet:
    fleet.call("i0", "/services/s/lots", "id=lot", key="lot")
    fleet.topup("w", 500, "extra")
    document = fleet.document()
    document["services"]["s"]["price_mtok"] = 20000
    print("put", fleet.put_document(document, 1, "p1").status)
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    fleet.wait_ready()
    account = fleet.account()
    print("budget", account["budget_mtok"], "settled",
          account["settled_mtok"])
    print("document", fleet.status()["document_version"])
    again = fleet.call("i2", "/services/s/lots", "id=lot", key="lot")
    print("booking", again.status, again.headers.get("x-mimosapath-replayed"),
          "runs", fleet.run_count("lot"))
    print("top-up again", fleet.topup("w", 500, "extra").json())
    first = fleet.put_document(document, 1, "p1")
    print("put again", first.status, first.body)
