"""A caller leaves while a target still gets the large body of its request, which
may run only once.  Guards against a target that gets other bytes: the body is
sent from the buffer of the caller's connection, which is freed when it leaves."""
import socket
import time

from pathfleet import request_text
from uploads import PREFIXES, BY_OTHER, DIRECT, upload_fleet

BODY = b"".join(b"%015d\n" % n for n in range(8 << 16))
received = []


def answer(conn, path, request_id):
    time.sleep(1)
    data = b""
    conn.settimeout(5)
    try:
        while len(data) < len(BODY):
            part = conn.recv(1 << 20)
            if not part:
                break
            data += part
    except OSError:
        pass
    received.append((path, len(data) > 0, BODY.endswith(data),
                     len(data) > len(BODY) - 70000))
    conn.sendall(b"HTTP/1.1 200 X\r\n" + request_id +
                 b"Content-Length: 0\r\n\r\n")


fleet, wait_ready = upload_fleet(answer, 2)
with fleet:
    print("ready", wait_ready())
    for name in (DIRECT, BY_OTHER):
        for interface, prefix in PREFIXES.items():
            for number in range(4):
                conn = socket.create_connection(
                    ("127.0.0.1", fleet.callers[name]), 10)
                conn.sendall(request_text("POST", prefix + str(number),
                                          body=BODY.decode()))
                time.sleep(0.6)
                conn.close()
            end = time.monotonic() + 15
            while len(received) < 4 and time.monotonic() < end:
                time.sleep(0.05)
            print("direct" if name == DIRECT else "by way of another",
                  interface, "runs", len(received), "own bytes",
                  all(r[1] and r[2] for r in received), "all of them",
                  all(r[3] for r in received))
            received.clear()
    print("alive", all(fleet.processes[n].poll() is None
                       for n in fleet.names))
