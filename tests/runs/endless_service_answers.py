"""Targets of the product's own API send endless bytes, to several requests at
once: in plain answers, which are kept until they are paid for, in errors that
nobody gets, in many short events and in the status that instances poll.  The
memory of the instance stays bounded, requests of other callers are served
meanwhile, and the targets see the connections closed."""
import json
import os
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import wait_for
from instancecost import Cost
from pathfleet import (ServiceFleet, SimTarget, path_conf, path_fleet, respond,
                       send, status_of, wait_for_service, wait_targets)

AT_ONCE = 16
MEMORY_MAX_KB = 96 << 10  # 64 MB of answers kept, and what is being read
OTHER_MAX_S = 4
TIMEOUT_S = 5             # of the service, and more for the model
GRACE_S = 15
PIECE = b"b" * (1 << 20)
# What is taken of an error or a status: a part of it, and what sockets hold.
TAKEN_MAX = 16 << 20
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b'data: {"x":1}\n\n' * 4096
# kind: head, bytes repeated without end
KINDS = {
    "plain": ("200 X\r\n\r\n", PIECE),
    "error": ("500 X\r\n\r\n", PIECE),
    "events": ("200 X\r\nContent-Type: text/event-stream\r\n" + CHUNKED,
               b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n"),
}
state = {"kind": None, "open": 0, "most": 0}


def send_endless(conn, head, piece):
    state["open"] += 1
    count = 0
    try:
        conn.sendall(("HTTP/1.1 " + head).encode())
        while True:
            conn.sendall(piece)
            count += len(piece)
    except OSError:
        return False
    finally:
        state["open"] -= 1
        state["most"] = max(state["most"], count)


def handle_request(target, req, conn):
    if req["path"].startswith("/status"):
        target.requests.pop()
        if state["kind"] == "status" and target.name == "raw-1":
            return send_endless(conn, *KINDS["plain"])
        return respond(conn, req, json.dumps(
            {"name": target.name, "boot": target.name}))
    if req["path"].startswith("/ready"):
        return respond(conn, req)
    return send_endless(conn, *KINDS[state["kind"]])


class EndlessFleet(ServiceFleet):
    """The targets of the script are those of a service and of a model."""

    def document(self):
        document = super().document()
        document["targets"]["raw-1"] = {
            "address": "127.0.0.1:%d" % status_target.port, "zone": "a",
            "capacity": 64}
        document["services"]["raw"]["timeout_ms"] = TIMEOUT_S * 1000
        document["models"]["m"]["targets"] = ["raw-0"]
        return document


def play(number):
    if state["kind"] == "events":
        fleet.chat("i0", "x", stream=True, timeout=20)
    elif state["kind"] != "status":
        fleet.call("i0", "/services/raw/%d" % number, method="GET")
    else:
        time.sleep(3)


def serve_other():
    return status_of(send(fleet, "i0", "/ready/")) == "200"


target = SimTarget("raw-0", handle_request)
status_target = SimTarget("raw-1", handle_request)
ServiceFleet.service_target = target
fleet, _ = path_fleet([target], [path_conf("/ready/")], instances=1,
                      control=1, fleet_class=EndlessFleet)
with fleet:
    print("ready", wait_targets(fleet, "i0"), wait_for_service(fleet, "i0"))
    for kind in list(KINDS) + ["status"]:
        state.update(kind=kind, most=0)
        cost = Cost(kind, fleet.processes["i0"].pid, AT_ONCE, play,
                    serve_other)
        state["kind"] = None
        is_closed = wait_for(lambda: state["open"] == 0, GRACE_S)
        if os.environ.get("FIGURES"):
            print(kind, state)
        print(kind, "within memory", cost.memory_kb <= MEMORY_MAX_KB,
              "others served", cost.are_others_served and
              cost.other_s < OTHER_MAX_S, "closed", is_closed,
              *(["little taken", state["most"] <= TAKEN_MAX]
                if kind in ("error", "status") else []))
    print("serves", status_of(send(fleet, "i0", "/ready/")))
