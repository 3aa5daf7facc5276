"""Many clients at once send a request and, while it runs, as much behind it as
the instance takes, and stay.  Guards against bytes that wait unread, each little,
whose sum is not bounded."""
import os
import sys
import threading
import time

from clients import BODY_MAX, MB, Crowd, fleet_of_three, with_length
from instancecost import waiting_kb
from pathfleet import respond, wait_targets

CLIENTS = 1400
ACCOUNT_BYTES = 16 * MB
BODY = b"b" * 10
may_respond = threading.Event()


def handle_request(target, request, conn):
    if "/x/" in request["path"] and request["body"]:
        may_respond.wait(60)
    respond(conn, request)


def play(client, number):
    client.send(with_length("/x/", len(BODY)) + BODY)
    time.sleep(1)
    client.conn.settimeout(1)
    client.send(b"b" * BODY_MAX)


fleet, _ = fleet_of_three(handle_request, slots=CLIENTS,
                          memory_max_bytes=ACCOUNT_BYTES)
with fleet:
    print("ready", all(wait_targets(fleet, n, "/x/") for n in fleet.names))
    crowd = Crowd(fleet, CLIENTS, play, stays=True)
    sum_kb = crowd.memory_kb("i0", "VmRSS") + waiting_kb(
        fleet.processes["i0"].pid)
    print("with what waits within memory", sum_kb <= fleet.memory_max_kb)
    may_respond.set()
    crowd.report("clients")
    if os.environ.get("FIGURES"):
        print("sum %d KB of %d" % (sum_kb, fleet.memory_max_kb),
              file=sys.stderr)
