"""Two operators change the same version: one succeeds.  A repeated submission
gets its first answer.  An invalid document changes nothing, and all its faults
are named."""
from fleet import Fleet, in_background

with Fleet(instances=3, control=3) as fleet:
    seen = {}

    def put(name, value):
        document = fleet.document()
        document["services"]["s"]["timeout_ms"] = value
        seen[name] = fleet.put_document(document, 1, "by-" + name, name)
    threads = [in_background(lambda: put("i0", 1111)),
               in_background(lambda: put("i1", 2222))]
    for thread in threads:
        thread.join(20)
    print("statuses", sorted(a.status for a in seen.values()))
    first = {name: (a.status, a.json().get("version"))
             for name, a in seen.items()}
    put("i0", 1111)
    put("i1", 2222)
    print("same answers", first == {n: (a.status, a.json().get("version"))
                                    for n, a in seen.items()})
    bad = fleet.document()
    bad["models"]["m"]["targets"] = ["nowhere"]
    bad["services"]["s"]["price"] = 1
    bad["workspaces"]["w"]["rate_per_s"] = "fast"
    response = fleet.put_document(bad, 2, "bad")
    print("bad", response.status, sorted(
        (f["path"], f["kind"]) for f in response.json()["findings"]))
    print("version", fleet.status()["document_version"])
    print("no base", fleet.operator_request(
        "PUT", "/control/v1/document", "{}",
        {"idempotency-key": "x"}).status)
    print("no token", fleet.operator_request(
        "GET", "/control/v1/status", None,
        {"authorization": "Bearer no"}).status)
    # The history has the submissions; an earlier version can be submitted
    # again as a new one.
    print("history", [(h["version"], h["submission"] != "")
                      for h in fleet.status()["history"]])
    old = fleet.operator_request("GET", "/control/v1/document?version=1")
    print("version 1", old.status, old.headers["etag"])
    print("rollback", fleet.operator_request(
        "PUT", "/control/v1/document", old.body,
        {"if-match": '"2"', "idempotency-key": "back"}).body)
    print("unknown version", fleet.operator_request(
        "GET", "/control/v1/document?version=99").status)
