"""A target answers an at-most-once request with a content type that is longer
than what the record holds.  The answer reaches the caller, and the key sent
again gets no second run."""
from fleet import KEY, request
from pathfleet import (relay_fleet, respond, wait_for_service,
                       wait_targets)


def handle_request(target, req, conn):
    size = int(req["path"].split("/")[2])
    respond(conn, req, "body", 200,
            "Content-Type: multipart/mixed;boundary=%s\r\n" % ("b" * size))


fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for size in (10, 70, 5000):
        for turn in ("first", "again"):
            answer = request(fleet.callers["i0"], "POST",
                             "%s%d/" % (prefixes["native"], size), "{}",
                             {"authorization": "Bearer " + KEY,
                              "idempotency-key": "k%d" % size})
            print(size, turn, answer.status, answer.run_claim(),
                  answer.body if answer.status == 200 else
                  answer.json()["error"]["type"],
                  len(answer.headers.get("content-type", "")))
    print("reserved", fleet.wait_settled()["reserved_mtok"])
