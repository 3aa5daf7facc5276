"""A document of 1,500 paths takes effect on all instances within 4 s.  It is
fetched from more than one replica, and less than a tenth of its text is
transferred.  The longest matching prefix handles a request."""
import json
import re
import time
from fleet import wait_for
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)

PATHS = 1500
BOUND_S = 4


def handle_request(target, req, conn):
    respond(conn, req, target.pool)


targets = [SimTarget("t", handle_request), SimTarget("u", handle_request, "q")]
fleet, listed = path_fleet(targets, [path_conf("/ready/")], instances=6,
                           control=3, extra_pools=["q"])
with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    document = fleet.document()
    for number in range(PATHS):
        prefix = "/many/%04d/" % number
        document["paths"]["many-%04d" % number] = path_conf(prefix)
    document["paths"]["longer"] = path_conf("/many/0007/deep/", pool="q")
    text = json.dumps(document)
    put = wait_for(lambda: (lambda a: a if a.status == 200 else None)(
        fleet.put_document(document, 1, "many")))
    began = time.monotonic()
    print("put", put.status)

    def has_document(name):
        return status_of(send(fleet, name, "/many/1499/x")) == "200"

    print("in force everywhere", all(wait_for(lambda n=name: has_document(n))
                                     for name in fleet.names),
          "in time", time.monotonic() - began < BOUND_S)
    print("longest prefix",
          send(fleet, "i0", "/many/0007/x").split(b"\r\n\r\n")[1].decode(),
          send(fleet, "i0", "/many/0007/deep/x?y=/z/").split(
              b"\r\n\r\n")[1].decode(),
          status_of(send(fleet, "i0", "/many/0007deep/x")))
    sources, sizes = set(), []
    for name in fleet.names:
        with open(fleet.path(name + ".log")) as log:
            for base, size, source in re.findall(
                    r"document-in-force version=2 base=(\d+) bytes=(\d+) "
                    r"from=(\S+)", log.read()):
                sources.add(source)
                sizes.append(int(size))
    print("told to", len(sizes), "from several", len(sources) > 1,
          "within a tenth of the text", max(sizes) < len(text) / 10)
