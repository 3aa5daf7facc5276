"""Names of hosts have no case: a path whose host is written in capitals serves
requests in any case, and the same host in another case is the same path."""
import json
import os
import subprocess
import tempfile

from fleet import PROGRAM
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

target = SimTarget("t0", lambda t, req, conn: respond(conn, req))
capitals = dict(path_conf("/capitals/"), host="H.EXAMPLE")
fleet, listed = path_fleet([target], [path_conf("/ready/"), capitals],
                           instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for host in ("h.example", "H.Example"):
        print(host, status_of(send(fleet, "i0", "/capitals/x",
                                   {"host": host})))

document = {"paths": {"one": path_conf("/p/"),
                      "two": dict(path_conf("/p/"), host="H.example")},
            "pools": {"p": {"engine": {"slots": 8, "event_tokens": 3}}}}
with tempfile.TemporaryDirectory() as folder:
    name = os.path.join(folder, "document.json")
    with open(name, "w") as out:
        json.dump(document, out)
    result = subprocess.run([PROGRAM, "check", "--document", name],
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            text=True)
    print("same host in another case refused", result.returncode != 0,
          "has the same host and prefix" in result.stdout)
