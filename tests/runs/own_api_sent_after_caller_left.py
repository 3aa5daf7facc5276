"""A queued request of the product's own API is sent to a target after its
caller has left."""
import socket
import time

from fleet import KEY, Fleet, in_background

CALL_S = 0.4


def send(key):
    conn = socket.create_connection(("127.0.0.1", fleet.callers["i0"]), 10)
    conn.sendall(("POST /services/s/lots HTTP/1.1\r\nhost: h\r\n"
                  "authorization: Bearer %s\r\nidempotency-key: %s\r\n"
                  "content-length: 4\r\n\r\nid=x" % (KEY, key)).encode())
    return conn


with Fleet(instances=1, control=1, capacity=1,
           service_options=["--call-us", "%d" % (CALL_S * 1e6)]) as fleet:
    first = in_background(lambda: fleet.call("i0", "/services/s/lots",
                                             "id=x", key="first"))
    time.sleep(0.1)
    queued = [send("left-%d" % n) for n in range(3)]
    stays = send("stays")
    time.sleep(0.1)
    for conn in queued:
        conn.close()
    stays.settimeout(20)
    print("stays", stays.recv(4096).split(b" ")[1].decode(),
          fleet.run_count("stays"))
    first.join()
    time.sleep(4 * CALL_S)
    print("left", [fleet.run_count("left-%d" % n) for n in range(3)])
