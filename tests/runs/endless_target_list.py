"""The target list has pages without end, with new entries or the same ones, a
page without end, or a name of the next page that is very long.  The memory of
the instance that reads it stays bounded, requests are served meanwhile, and
sound lists are followed again.  The same for an instance that reads the list
itself as the leader is frozen."""
import json
import os
import signal
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import wait_for
from instancecost import Cost
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

PLAY_S = 4
OTHER_MAX_S = 4
MEMORY_MAX_KB = 128 << 10  # a page, and 65,536 entries
PAGE_ENTRIES = 5000
SAME_ENTRIES = 85000  # nearly 8 MB, the largest page
PIECE = b" " * (1 << 20)
targets = [SimTarget("t%d" % n, lambda t, r, c: respond(c, r, t.name))
           for n in range(2)]
state = {"kind": None, "listed": targets[:1], "pages": 0}


def entries_text(name):
    return ", ".join(json.dumps(dict(
        targets[0].entry(), incarnation="%s-%d" % (name, n), pool="other"))
        for n in range(PAGE_ENTRIES))


ENTRIES = entries_text("@")


def list_handler(target, request, conn):
    kind = state["kind"]
    own = ", ".join(json.dumps(t.entry()) for t in state["listed"])
    if kind is None:
        return respond(conn, request, '{"targets": [%s], "next": null}' % own)
    state["pages"] += 1
    if kind == "page":
        try:
            conn.sendall(b"HTTP/1.1 200 X\r\n\r\n")
            while True:
                conn.sendall(PIECE)
        except OSError:
            return False
    if kind == "same-entries":
        return respond(conn, request, '{"targets": [%s%s], "next": null}' % (
            own, ', {"incarnation": "s", "pool": "o", "zone": "a", "address": '
            '"127.0.0.1:1", "slots": 1}' * SAME_ENTRIES))
    further = ENTRIES.replace("@", str(state["pages"])
                              if kind == "pages" else "same")
    return respond(conn, request, '{"targets": [%s, %s], "next": "%s"}' % (
        own, further, "n" * (4 << 20) if kind == "next" else "n"))


def play(fleet, name, kind, of_what=""):
    state["kind"] = kind
    cost = Cost(kind, fleet.processes[name].pid, 1,
                lambda number: time.sleep(PLAY_S),
                lambda: status_of(send(fleet, name, "/x/")) == "200")
    state["kind"] = None
    state["listed"] = targets[1:] if state["listed"] == targets[:1] \
        else targets[:1]
    print(kind + of_what, "within memory", cost.memory_kb <= MEMORY_MAX_KB,
          "others served", cost.are_others_served and
          cost.other_s < OTHER_MAX_S, "followed again", wait_for(
              lambda: send(fleet, name, "/x/").endswith(
                  state["listed"][0].name.encode()), 20))


def start(instances):
    return path_fleet(targets, [path_conf("/x/")], instances=instances,
                      control=1, list_handler=list_handler)[0]


with start(1) as alone:
    print("ready", wait_targets(alone, "i0", "/x/"))
    for shape in ("pages", "same-pages", "same-entries", "page", "next"):
        play(alone, "i0", shape)
with start(2) as led:
    print("ready", wait_targets(led, "i1", "/x/"))
    led.processes["i0"].send_signal(signal.SIGSTOP)
    play(led, "i1", "pages", ", without the leader")
