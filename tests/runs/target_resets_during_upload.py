"""A target answers a long upload at once with 200 and without a length, sends a
part of the body, and resets the connection while the upload is still being
written.  Guards against a part that the caller gets as a complete response: a
write that fails takes the error of the reset, and the next read then returns an
end in good order."""
import time

from pathfleet import chunks_of, send, status_of
from uploads import BY_OTHER, DIRECT, PREFIXES, reset, upload_fleet

BODY_BYTES, ROUNDS = 12 << 20, 10
PART = b"a part of the body\n"


def answer(conn, path, request_id):
    conn.sendall(b"HTTP/1.1 200 X\r\nContent-Type: text/plain\r\n" +
                 request_id + b"\r\n" + PART)
    time.sleep(int(path.rsplit("/", 1)[1]) / 1000)
    reset(conn)


def is_complete(data):
    """Returns whether the caller takes what it got for a whole response of the
    target."""
    if status_of(data) != "200":
        return False
    return chunks_of(data)[1] == "whole"


fleet, wait_ready = upload_fleet(answer, 4)
with fleet:
    print("ready", wait_ready())
    body = "b" * BODY_BYTES
    for name in (DIRECT, BY_OTHER):
        for interface, prefix in PREFIXES.items():
            complete = 0
            for number in range(ROUNDS):
                try:
                    complete += is_complete(send(
                        fleet, name, prefix + str(number % 5 * 20),
                        body=body, timeout=20))
                except OSError:
                    pass  # refused while the upload was being sent
            print("direct" if name == DIRECT else "by way of another",
                  interface, "taken for complete", complete)
    print("alive", all(fleet.processes[n].poll() is None
                       for n in fleet.names))
