"""Many clients at once send heads with many or long headers and the start of a
body in chunks, and stay.  Guards against an instance that counts less of a head
than parsing it takes."""
from clients import Crowd, chunk, in_chunks, play_cases
from pathfleet import respond

# name: clients, headers, bytes of a header's value
CASES = {
    "60 KB": (300, 90, 660),
    "12 KB": (1000, 90, 130),
    "6 KB": (1000, 90, 65),
    "short lines": (1000, 90, 10),
    "one line": (1500, 1, 40),
}


def headed(clients, headers, value_bytes):
    fields = b"".join(b"x-%d: %s\r\n" % (number, b"b" * value_bytes)
                      for number in range(headers))
    data = in_chunks("/x/").replace(b"\r\n", b"\r\n" + fields, 1) + chunk(10)

    def play(client, number):
        client.send(data)
    return lambda fleet: Crowd(fleet, clients, play)


play_cases(lambda t, r, c: respond(c, r),
           [(name, headed(*case)) for name, case in CASES.items()])
