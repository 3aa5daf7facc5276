"""An empty or blank key of a workspace lets nobody in: a document with one is
refused, and a stored one from an earlier build serves no request without a
key, on both interfaces and by both schemes."""
import hashlib
import json
import time

from fleet import KEY, wait_for
from pathfleet import (SimTarget, path_conf, path_fleet, platform_fleet,
                       respond, send, status_of, wait_targets)

HEADERS = {
    "no header": {"authorization": None},
    "Bearer, empty": {"authorization": "Bearer "},
    "Bearer, blank": {"authorization": "Bearer    "},
    "Basic, empty": {"authorization": "Basic Og=="},
    "X-Api-Key, empty": {"authorization": None, "x-api-key": ""},
    "X-Api-Key, blank": {"authorization": None, "x-api-key": "   "},
    "right key": {"authorization": "Bearer " + KEY, "x-api-key": KEY},
}


def handle_request(target, request, conn):
    respond(conn, request, extra_headers="X-Attempt-Id: %s\r\n" %
            request["headers"].get("x-attempt-id", ""))


def show(name, fleet):
    for header, fields in HEADERS.items():
        print(name, header, status_of(send(fleet, "i0", "/x/1", dict(
            fields, **{"x-attempt-id": "a" + header.replace(" ", "")}))))


def hash_of(key):
    return hashlib.sha256(key.encode()).hexdigest()


target = SimTarget("t", handle_request)
fleet, _ = path_fleet([target], [path_conf("/x/")], instances=1, control=1)
with fleet:
    print("own ready", wait_targets(fleet, "i0", "/x/"))
    for key in ("",):
        document = fleet.document()
        document["workspaces"]["w"]["key_hashes"].append(hash_of(key))
        base = fleet.status("i0")["document_version"]
        reply = fleet.put_document(document, base, "s%r" % key)
        print("own hash of %r" % key, reply.status, [
            (f["path"], f["kind"]) for f in
            (reply.json() or {}).get("findings", [])])
        if reply.status == 200:
            wait_for(lambda: fleet.status("i0")["document_version"] > base)
    show("own", fleet)

fleet, _ = platform_fleet([target], [path_conf("/x/")], instances=1,
                          control=1)
with fleet:
    def put(keys, version):
        document = json.loads(fleet.operator_request(
            "GET", "/config/read").body)
        document["version"] = version
        document["tenants"] = [{"name": "w", "api-keys": [KEY] + keys}]
        return fleet.operator_request("POST", "/config/replace",
                                      json.dumps(document))

    print("platform ready", wait_targets(
        fleet, "i0", "/x/", headers={"x-api-key": KEY, "x-attempt-id": "r"}))
    for version, key in enumerate(("\t", " ", ""), 2):
        reply = put([key], version)
        print("platform key %r" % key, reply.status,
              "bad_value" in str(reply.body))
    time.sleep(1)
    show("platform", fleet)
