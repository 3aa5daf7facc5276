"""A folded header line of a caller: the rest of its value becomes no header of
its own at the target, and is not cut off a key."""
from pathfleet import (KeptCaller, relay_fleet, respond,
                       wait_for_service, wait_targets)

seen = []


def handle_request(target, req, conn):
    seen.append(req["headers"])
    return respond(conn, req)


FOLDED = {"x-a": "a\r\n content-length: 1", "tab": "a\r\n\tb",
          "idempotency-key": "a\r\n b", "empty": "a\r\n "}
fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for api, prefix in prefixes.items():
        for name, value in FOLDED.items():
            del seen[:]
            answers = []
            for fields in ([(name, value)], []):
                caller = KeptCaller(fleet.callers["i0"])
                caller.send("POST", prefix, fields, "{}")
                answer = caller.read()
                answers.append((answer.status, answer.first(
                    "x-mimosapath-run"), answer.first("connection"),
                    caller.left_over()))
                caller.close()
            print(api, name, answers, "requests", len(seen), "without a name",
                  sum("" in headers for headers in seen))
    caller = KeptCaller(fleet.operators["i0"])
    caller.send("GET", "/metrics", [("x-a", "a\r\n b")])
    print("operator", caller.read().status)
    caller.close()
