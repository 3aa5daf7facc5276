"""A fleet whose instances i2 and i3 reach a target directly and by way of
another instance, with a path and a service of the native API, and targets that
answer before they have read a request."""

import json
import socket
import struct
import time

from pathfleet import (LendingFleet, ServiceFleet, SimTarget, path_conf,
                       path_fleet, send, status_of, wait_targets)

DIRECT, BY_OTHER = "i2", "i3"
PREFIXES = {"path": "/x/", "native": "/services/raw/x/"}
BODY_MAX = 16 << 20


class RawTarget(SimTarget):
    """Answers requests from their head on: answer(conn, path) is called before
    the body is read, and the connection is closed after it."""

    def __init__(self, name, answer, pool="p"):
        self.answer = answer
        super().__init__(name, None, pool)
        # Much of a large body cannot be written before it is read.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)

    def serve(self, conn):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                part = conn.recv(4096)
                if not part:
                    return
                head += part
            path = head.split(b" ")[1].decode()
            request_id = b""
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"x-mimosapath-request:"):
                    request_id = line + b"\r\n"
            text = b"ok"
            if path.startswith("/status"):
                text = json.dumps({"name": self.name,
                                   "boot": self.name}).encode()
            elif not path.startswith("/ready/") and path != "*":
                return self.answer(conn, path, request_id)
            conn.sendall(b"HTTP/1.1 200 X\r\nConnection: close\r\n%s"
                         b"Content-Length: %d\r\n\r\n%s" % (
                             request_id, len(text), text))
        except OSError:
            pass
        finally:
            conn.close()


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
    conn.close()


class UploadFleet(LendingFleet, ServiceFleet):
    pass


def upload_fleet(answer, count=1):
    """Returns a fleet, and a function that waits until it is ready."""
    targets = [RawTarget("t%d" % n, answer) for n in range(count)]
    service = RawTarget("raw-0", answer)
    ServiceFleet.service_target = service
    fleet, _ = path_fleet(
        targets, [path_conf("/ready/"), path_conf("/x/", timeout_ms=20000)],
        instances=4, control=1, fleet_class=UploadFleet,
        refusable=[BY_OTHER],
        extra_settings={"body_most_bytes": BODY_MAX},
        extra_limits={"body_most_bytes": BODY_MAX})

    def wait_ready():
        fleet.topup("w", 100000)
        are_ready = all(wait_targets(fleet, name) for name in fleet.names)
        fleet.refuse_connections(BY_OTHER, [t.port for t in
                                            targets + [service]])
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all(status_of(send(fleet, BY_OTHER, path)) == "200"
                   for path in ("/ready/", "/services/raw/ready/")):
                return are_ready
            time.sleep(0.1)
        return False
    return fleet, wait_ready
