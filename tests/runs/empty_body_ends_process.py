"""An empty body, from a caller, an operator, or the provider of the target
list, ends no process."""
import json

from fleet import KEY, request, wait_for
from pathfleet import (SimTarget, path_conf, path_fleet, respond,
                       wait_targets)

state = {"empty": 0, "page": None}


def list_handler(target, req, conn):
    if state["page"] is None:
        state["empty"] += 1
        text = ""
    else:
        text = json.dumps({"targets": [state["page"]], "next": None})
    conn.sendall(("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (
        len(text), text)).encode())


target = SimTarget("t0", lambda t, r, c: respond(c, r, t.name))
state["page"] = target.entry()
fleet, _ = path_fleet([target], [path_conf("/ready/")], instances=1,
                      control=1, list_handler=list_handler)
with fleet:
    print("ready", wait_targets(fleet, "i0"))

    def is_alive():
        return fleet.processes["i0"].poll() is None

    for method, path in (("POST", "/v1/chat/completions"),
                         ("POST", "/v1/services/s/x"),
                         ("POST", "/ready/x")):
        status = request(fleet.callers["i0"], method, path, headers={
            "authorization": "Bearer " + KEY, "content-length": "0",
            "idempotency-key": "k", "host": "h.example"}).status
        print(method, path, status, "alive", is_alive())
    for method, path in (("PUT", "/control/v1/document"),
                         ("POST", "/control/v1/workspaces/w/topups"),
                         ("POST", "/document"), ("POST", "/edit/pools")):
        status = fleet.operator_request(method, path, "", {
            "if-match": '"1"', "idempotency-key": "k"}, "i0").status
        print(method, path, status, "alive", is_alive())
    state["page"] = None
    print("empty page read", wait_for(
        lambda: state["empty"] > 2 or not is_alive(), 10), "alive",
        is_alive())
    state["page"] = target.entry()
    print("list back", is_alive() and wait_targets(fleet, "i0"))
