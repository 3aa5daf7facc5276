"""An instance whose document has paths is ready once it has a target list.
Before that, requests on paths are refused with a retry-after header."""
import threading
from fleet import request, wait_for
from pathfleet import (SimTarget, respond, header_of, path_conf, path_fleet,
                       send, status_of)

may_respond = threading.Event()
targets = [SimTarget("t0", lambda target, req, conn: respond(conn, req))]
fleet, listed = path_fleet(targets, [path_conf("/plain/")], instances=1,
                           control=1, may_respond=may_respond, wait=False)
with fleet:
    def ready():
        return request(fleet.callers["i0"], "GET", "/readyz").status

    print("document in force", wait_for(lambda: "document-in-force" in open(
        fleet.path("i0.log")).read()))
    print("without a list", ready())
    data = send(fleet, "i0", "/plain/x")
    print("request", status_of(data), "retry-after",
          header_of(data, "retry-after") is not None,
          header_of(data, "x-mimosapath-run"))
    may_respond.set()
    print("with a list", wait_for(lambda: ready() == 200),
          status_of(send(fleet, "i0", "/plain/x")))
