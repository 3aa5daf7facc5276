"""A request of which the rest does not come keeps its connection, or is dropped
without a refusal; one whose head comes in pieces beside a new document is
cut."""
import json
import socket
import time

from fleet import KEY, wait_for
from pathfleet import (NATIVE, PLATFORM, SimTarget, path_conf, path_fleet,
                       platform_fleet, respond, wait_targets)

LONG_MS, SHORT_MS = 20000, 500


def handle_request(target, request, conn):
    respond(conn, request, "%d" % len(request["body"]))


def put_timeout(fleet, is_platform, version, timeout_ms):
    """Puts a document with this idle timeout; returns whether it is taken."""
    if is_platform:
        document = json.loads(fleet.operator_request(
            "GET", "/config/read").body)
        document.update(version=version,
                        limits={"idle-timeout-ms": timeout_ms})
        return wait_for(lambda: fleet.operator_request(
            "POST", "/config/replace", json.dumps(document)).status == 200)
    answer = fleet.operator_request("GET", "/control/v1/document")
    document = answer.json()
    document["limits"] = {"idle_timeout_ms": timeout_ms}
    base = int(answer.headers["etag"].strip('"'))
    return fleet.put_document(document, base, "put-%d" % version).status == 200


class Caller:
    """A connection with a number of requests on it."""

    def __init__(self, fleet, names, name):
        self.names, self.name, self.count = names, name, 0
        self.conn = socket.create_connection(
            ("127.0.0.1", fleet.callers["i0"]), 15)

    def head(self, size):
        self.count += 1
        fields = {"host": "h.example", "authorization": "Bearer " + KEY,
                  "content-length": str(size), self.names["id"]: "%s-%d" % (
                      self.name, self.count)}
        fields.update(self.names["caller"])
        return "POST /x/ HTTP/1.1\r\n%s\r\n" % "".join(
            "%s: %s\r\n" % field for field in fields.items())

    def send(self, text):
        try:
            self.conn.sendall(text.encode())
        except OSError:
            pass  # the answer tells

    def answer(self):
        """Returns the status, or how the connection ended without one."""
        try:
            data = self.conn.recv(65536)
        except OSError as error:
            return type(error).__name__
        return data.split(b" ")[1].decode() if data else "closed"

    def call(self):
        self.send(self.head(2) + "ab")
        return self.answer()


def play(label, names, make_fleet):
    fleet, _ = make_fleet([SimTarget("t0", handle_request)],
                          [path_conf("/x/")], instances=1, control=1)
    is_platform = names is PLATFORM

    def put(version, timeout_ms):
        taken = put_timeout(fleet, is_platform, version, timeout_ms)
        time.sleep(1.5)  # in force within a second
        return taken

    with fleet:
        print(label, "ready", wait_targets(fleet, "i0", "/x/", headers=dict(
            names["caller"], **{names["id"]: "first"})))
        print("long timeout", put(2, LONG_MS))
        head = Caller(fleet, names, "head")
        print("before", head.call())
        time.sleep(1)
        text = head.head(2) + "ab"
        head.send(text[:30])
        print("short timeout", put(3, SHORT_MS))
        head.send(text[30:])
        print("head sent across the change", head.answer())
        for name, size in (("head that stops", 30), ("body that stops", -1)):
            stalled = Caller(fleet, names, name[:4])
            stalled.send((stalled.head(2) + "ab")[:size])
            print(name, stalled.answer(), "then", stalled.answer())


play("own interface,", NATIVE, path_fleet)
play("platform,", PLATFORM, platform_fleet)
