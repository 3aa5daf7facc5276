"""A list with more entries than the leader passes on: entries of pools that
the document doesn't name, and entries with names that are too long, displace
none of those that it does name; a new document is followed."""
import json

from fleet import wait_for
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       wait_targets)

OTHERS = 4200
targets = [SimTarget("t%d" % n, lambda t, r, c: respond(c, r, t.name))
           for n in range(2)]
late = SimTarget("late", lambda t, r, c: respond(c, r, t.name), pool="q")
state = {"named": targets + [late]}


def list_handler(target, request, conn):
    others = [dict(targets[0].entry(), incarnation="o%d" % n, pool="other",
                   address="127.0.0.1:1") for n in range(OTHERS)]
    long = [dict(targets[0].entry(), incarnation="%d" % n + "x" * 200)
            for n in range(100)]
    entries = long + others + [t.entry() for t in state["named"]]
    respond(conn, request, json.dumps({"targets": entries, "next": None}))


fleet, _ = path_fleet(targets, [path_conf("/x/")], instances=2, control=1,
                      list_handler=list_handler)
with fleet:
    def served(path="/x/1"):
        return sorted({send(fleet, "i1", path).split(b"\r\n\r\n")[-1].decode()
                       for _ in range(12)})

    print("ready", wait_targets(fleet, "i1", "/x/"))
    print("served by", *served())
    state["named"] = [targets[1], late]
    print("one less", wait_for(lambda: served() == ["t1"], 5))
    base = fleet.status("i0")["document_version"]
    document = fleet.document()
    document["pools"]["q"] = {}
    document["paths"]["y"] = path_conf("/y/", pool="q")
    print("document", fleet.put_document(document, base, "s").status)
    print("new pool", wait_for(lambda: served("/y/1") == ["late"], 5))
