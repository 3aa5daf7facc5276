"""A recorded answer has no header but its type, so an encoded one is not
recorded: a key sent again gets 409, not bytes that cannot be read.  A target's
word that an answer is a repetition is not passed on."""
from fleet import KEY, request
from pathfleet import relay_fleet, respond, wait_for_service, wait_targets


def handle_request(target, req, conn):
    respond(conn, req, "body", 200,
            "Content-Encoding: x-own\r\nx-mimosapath-replayed: yes\r\n")


fleet, prefixes = relay_fleet(handle_request)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for turn in ("first", "again"):
        answer = request(fleet.callers["i0"], "POST",
                         prefixes["native"] + "a/", "{}",
                         {"authorization": "Bearer " + KEY,
                          "idempotency-key": "k"})
        print(turn, answer.status, answer.headers.get("content-encoding"),
              answer.headers.get("x-mimosapath-replayed"))
