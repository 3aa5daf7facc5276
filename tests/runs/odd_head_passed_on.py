"""Odd heads of targets on paths: no caller gets two lengths, a name that is no
name, a status that is none, or a body in an encoding that is not told."""
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

ID = "x-mimosapath-request"
# Status, and what follows the id.
HEADS = {
    "length-blank": (200, "Content-Length : 5\r\n\r\nhello"),
    "length-tab": (200, "Content-Length\t: 5\r\n\r\nhello"),
    "two-lengths-blank": (
        200, "Content-Length: 5\r\nContent-Length : 50\r\n\r\nhello"),
    "chunks-blank": (200, "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n"
                          "0\r\n\r\n"),
    "chunks-and-length-blank": (
        200, "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\nhello"),
    "connection-blank": (200, "Connection : close, x-a\r\nX-A: a\r\n"
                              "Content-Length: 5\r\n\r\nhello"),
    "other-id-blank": (200, ID + " : other\r\nContent-Length: 5\r\n\r\nhello"),
    "name-with-blank": (200, "X A: a\r\nContent-Length: 5\r\n\r\nhello"),
    "folded": (200, "X-A: a\r\n b: c\r\nContent-Length: 5\r\n\r\nhello"),
    "encoding-gzip": (200, "Transfer-Encoding: gzip\r\n\r\nhello"),
    "encoding-list": (200, "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\n"
                           "hello\r\n0\r\n\r\n"),
    "encoding-twice": (200, "Transfer-Encoding: gzip\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                            "0\r\n\r\n"),
    "encoding-case": (200, "Transfer-Encoding: Chunked \r\n\r\n5\r\nhello\r\n"
                           "0\r\n\r\n"),
}
HEADS.update({"status-%s" % s: (s, "Content-Length: 5\r\n\r\nhello")
              for s in ("0", "42", "99", "2", "1000", "999")})


def handle_request(target, req, conn):
    name = req["path"].strip("/").rpartition("/")[2]
    if name not in HEADS:
        return respond(conn, req)
    status, rest = HEADS[name]
    conn.sendall(("HTTP/1.1 %s X\r\n%s: %s\r\n%s" % (
        status, ID, req["headers"][ID], rest)).encode())
    return False


def is_framing(field):
    return field.partition(":")[0].strip().lower() in (
        "content-length", "transfer-encoding")


fleet, _ = path_fleet([SimTarget("t0", handle_request)],
                      [path_conf("/ready/"), path_conf("/x/")],
                      instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for name in HEADS:
        data = send(fleet, "i0", "/x/" + name)
        head, _, body = data.decode().partition("\r\n\r\n")
        fields = head.split("\r\n")[1:]
        odd = [f for f in fields if " " in f.partition(":")[0]]
        print(name, status_of(data), "hello" in body,
              "framings", sum(map(is_framing, fields)), odd,
              [f for f in fields if f.startswith("x-a")])
        wait_targets(fleet, "i0")
