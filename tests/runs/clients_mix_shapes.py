"""Clients at all instances of a fleet, and at its operators' addresses, go from
one kind of misuse to another on the same connection, while one instance reloads
its settings and another is stopped and started again.  SEEDS lists the seeds to
play (default: 1)."""
import os
import random
import signal
import threading
import time

from clients import BODY_MAX, MB, Client, Crowd, chunk, fleet_of_three, \
    head, in_chunks, with_length
from fleet import wait_for
from pathfleet import respond, wait_targets

CLIENTS, PLAY_S = 150, 8
OPERATOR_ACCOUNT_BYTES = 20 * MB
RELOADED, RESTARTED = "i1", "i2"


def handle_request(target, request, conn):
    if "/large" in request["path"]:
        return respond(conn, request, "a" * 2 * MB)
    if "/slow" in request["path"]:
        time.sleep(1)
    respond(conn, request)


def whole(client, rng):
    size = rng.choice((10, 20000, BODY_MAX))
    path = rng.choice(("/x/", "/x/slow"))
    client.send(with_length(path, size) + b"b" * size)
    client.receive()


def whole_in_chunks(client, rng):
    size, count = rng.choice(((1, 20000), (16, 4000), (32768, 20)))
    client.send(in_chunks("/x/") + chunk(size) * count + b"0\r\n\r\n")
    client.receive()


def part_in_chunks(client, rng):
    size, count = rng.choice(((1, 50000), (16, 20000), (32768, 31)))
    client.send(in_chunks("/x/") + chunk(size) * count)
    time.sleep(rng.random())


def part_with_length(client, rng):
    client.send(with_length("/x/", BODY_MAX) + b"b" * (BODY_MAX - 1))
    time.sleep(rng.random())


def too_much(client, rng):
    client.send(with_length("/x/", 8 * BODY_MAX) + b"b" * 2 * BODY_MAX)


def unread(client, rng):
    client.send(head("/x/large", "content-length: 0"))
    time.sleep(rng.random())


def part_of_head(client, rng):
    client.send(head("/x/")[:-2] + b"x-a: " + b"b" * rng.randrange(20000))
    time.sleep(rng.random())


def garbage(client, rng):
    client.send(rng.randbytes(2000))
    client.receive()


SHAPES = (whole, whole_in_chunks, part_in_chunks, part_with_length, too_much,
          unread, part_of_head, garbage)


class MixedCrowd(Crowd):
    """Each client goes on with new shapes and new connections for PLAY_S."""

    def __init__(self, fleet, seed):
        def play(client, number):
            rng = random.Random(seed * 1000 + number)
            end = time.monotonic() + PLAY_S
            while time.monotonic() < end:
                try:
                    connection = Client(
                        fleet, rng.choice((None, 16384)),
                        fleet.operators if rng.random() < 0.1 else None,
                        rng.choice(fleet.names))
                except OSError:
                    time.sleep(0.1)
                    continue
                connection.conn.settimeout(1)
                for _ in range(rng.randrange(1, 5)):
                    rng.choice(SHAPES)(connection, rng)
                connection.close()
        super().__init__(fleet, CLIENTS, play)


def disturb(fleet):
    time.sleep(2)
    fleet.processes[RELOADED].send_signal(signal.SIGHUP)
    fleet.processes[RESTARTED].send_signal(signal.SIGTERM)
    time.sleep(1)
    fleet.processes[RELOADED].send_signal(signal.SIGHUP)
    stopped = fleet.processes[RESTARTED]
    if wait_for(lambda: stopped.poll() is not None, 30):
        fleet.start(RESTARTED)


def play_seed(seed):
    fleet, _ = fleet_of_three(
        handle_request, operator_memory_max_bytes=OPERATOR_ACCOUNT_BYTES,
        drain_ms=4000)
    with fleet:
        if not all(wait_targets(fleet, name) for name in fleet.names):
            print("seed", seed, "not ready")
            return
        disturbing = threading.Thread(target=disturb, args=(fleet,))
        disturbing.start()
        crowd = MixedCrowd(fleet, seed)
        disturbing.join()
        for instance in fleet.names:
            crowd.report("seed %d, %s" % (seed, instance), instance)


for seed in os.environ.get("SEEDS", "1").split():
    play_seed(int(seed))
