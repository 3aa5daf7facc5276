"""Unauthenticated data on the port between instances: wrong keys, oversized
records and noise are dropped and counted, and the fleet keeps serving."""
import os
import socket
import struct
from fleet import Fleet, request

with Fleet(instances=3, control=3) as fleet:
    def send_bytes(data):
        with socket.create_connection(("127.0.0.1", fleet.rpc["i0"]),
                                      5) as conn:
            conn.settimeout(5)
            try:
                conn.sendall(data)
                return conn.recv(64)
            except ConnectionError:
                return b""
    hello = struct.pack(">IIIIIIIIII", 1, 0, 2, 0x20004d50, 1, 1, 0, 0, 0, 0)
    hello += struct.pack(">I", 2) + b"i1\0\0" + bytes(16)
    mark = struct.pack(">I", 0x80000000 | (len(hello) + 16))
    print("wrong code", send_bytes(mark + hello + bytes(16)))
    print("large", send_bytes(struct.pack(">I", 0x80000000 | 8000000)))
    print("noise", send_bytes(b"\xff" * 64))
    print("text", send_bytes(b"GET / HTTP/1.1\r\n\r\n"))
    values = request(fleet.operators["i0"], "GET", "/metrics").body
    print("counted", [l for l in values.splitlines() if "rejected" in l])
    print("goes on", fleet.chat("i1", "id=a", tokens=2).status)
