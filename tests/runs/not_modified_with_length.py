"""A target answers with 304, whose Content-Length is that of the body that it
does not send.  The answer is complete with its head, and the next answer of
the connection is not its body."""
from pathfleet import (SimTarget, header_of, path_conf, path_fleet, respond,
                       send, status_of, wait_targets)

ID = "x-mimosapath-request"


def handle_request(target, request, conn):
    if request["path"].startswith("/x/304"):
        return conn.sendall((
            "HTTP/1.1 304 X\r\n%s: %s\r\netag: \"e\"\r\n"
            "Content-Length: 300\r\n\r\n" % (
                ID, request["headers"].get(ID, ""))).encode())
    return respond(conn, request, "next")


targets = [SimTarget("t0", handle_request)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/x/", timeout_ms=1500)], instances=1,
    control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for n in range(3):
        data = send(fleet, "i0", "/x/304", {ID: "a-%d" % n}, method="GET")
        head, _, body = data.partition(b"\r\n\r\n")
        print("304", status_of(data), header_of(data, "etag"), len(body))
        data = send(fleet, "i0", "/x/next", {ID: "b-%d" % n}, method="GET")
        print("next", status_of(data), data.endswith(b"\r\n\r\nnext"))
