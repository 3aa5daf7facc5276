"""A target sends a status that is none.  Guards against a caller that gets such
a response: it is malformed, and may have run."""
from pathfleet import send, status_of
from uploads import BY_OTHER, DIRECT, PREFIXES, upload_fleet

STATUSES = ("000", "001", "20", "99", "099", "600", "999", "1000", "0200",
            "20 0", "2 00", "-200", "+200", "2e2", "200x", "abc", "")


def answer(conn, path, request_id):
    status = STATUSES[int(path.rsplit("/", 1)[1])]
    conn.sendall(("HTTP/1.1 %s X\r\nContent-Type: text/plain\r\n" %
                  status).encode() + request_id +
                 b"Content-Length: 4\r\n\r\nbody")


fleet, wait_ready = upload_fleet(answer, len(STATUSES))
with fleet:
    print("ready", wait_ready())
    for name in (DIRECT, BY_OTHER):
        for interface, prefix in PREFIXES.items():
            for number, status in enumerate(STATUSES):
                data = send(fleet, name, prefix + str(number))
                print("direct" if name == DIRECT else "by way of another",
                      interface, repr(status), status_of(data),
                      "body" if data.endswith(b"body") else "no body")
