"""One odd entry of the target list costs that entry and no other: beside it,
in the first, middle and last place, a new target is served and one that is
gone is not, on both interfaces; no entry ends a process, names a target that
can't be addressed, or adds a header to a request."""
import json
import socket
import threading

from fleet import Fleet, wait_for
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       wait_targets)

LISTS = {"own": "targets", "platform": "instances"}
PLACES = ("first", "middle", "last")


PLATFORM_DOCUMENT = {
    "version": 1,
    "routes": [{"name": "r", "host": "h.example", "path-prefix": "/ready/",
                "route-type": "idempotent", "timeout-ms": 3000,
                "target-latency-ms": 500, "priority": 0, "service": "p",
                "max-attempts": 1, "anonymous": True}],
    "services": [{"name": "p", "health-path": "/healthz",
                  "max-connections": 64}]}


class PlatformFleet(Fleet):
    """Without a first document, which is one of the own interface."""

    def write_settings(self, name):
        super().write_settings(name)
        with open(self.path(name + ".json")) as text:
            settings = json.load(text)
        settings.pop("first_document", None)
        self.write(name + ".json", json.dumps(settings))


def platform_entry(entry):
    return {"id": entry["incarnation"], "service": entry["pool"],
            "address": entry["address"], "zone": entry["zone"],
            "version": "v1", "slots": entry["slots"], "state": "ready",
            "cold-remaining-ms": 0,
            "models": [{"name": "m", "adapters": []}]}


def odd_entries(dialect, good, live_port):
    """Returns the odd entries of a dialect, by name; good is an entry whose
    server is not in the list."""
    name, slots, address = "incarnation", "slots", "address"
    other = "note" if dialect == "platform" else "version"
    if dialect == "platform":
        good, name = platform_entry(good), "id"

    def with_field(key, raw):
        text = json.dumps({k: v for k, v in good.items() if k != key})
        return (text[:-1] + ',"%s":' % key).encode() + raw + b"}"

    def nested(count):
        return with_field(other, b"[" * count + b"]" * count)

    yield "nested 20 deep", nested(20)
    yield "nested 40 deep", nested(40)
    yield "nested 100,000 deep", nested(100000)
    yield "objects 2,000 deep", b'{"a":' * 2000 + b"1" + b"}" * 2000
    yield "list 2,000 deep", b"[" * 2000 + b"]" * 2000
    yield "1,000,000 bytes", with_field(other, b'"' + b"x" * 1000000 + b'"')
    yield "number 1e999", with_field(slots, b"1e999")
    yield "NaN", with_field(slots, b"NaN")
    yield "number beyond 64 bits", with_field(slots, b"9" * 30)
    yield "negative number", with_field(slots, b"-1")
    yield "fraction", with_field(slots, b"1.5")
    yield "port 70000", with_field(address, b'"127.0.0.1:70000"')
    yield "port 0", with_field(address, b'"127.0.0.1:0"')
    yield "port of 30 digits", with_field(
        address, b'"127.0.0.1:' + b"9" * 30 + b'"')
    yield "name twice", with_field(address, b'"127.0.0.1:1"')[:-1] + \
        b',"address":"127.0.0.1:1"}'
    yield "invalid UTF-8", with_field(other, b'"\xff\xfe"')
    yield "NUL byte", with_field(other, b'"\x00"')
    yield "escaped NUL", with_field(name, b'"q\\u0000r"')
    yield "line ends in the name", with_field(
        name, b'"q\\r\\nx-forged: yes"').replace(
            b"127.0.0.1:1\"", b"127.0.0.1:%d\"" % live_port)
    yield "control bytes", with_field(other, b'"\x01\n"')
    yield "lone surrogate", with_field(name, b'"\\ud800"')
    yield "long name", with_field(name, b'"' + b"q" * 5000 + b'"')
    yield "name of a server in use", with_field(
        name, json.dumps(dialect + "-0").encode())
    yield "comma too many", with_field(other, b"1,")
    yield "bare words", b"not an entry"
    yield "nothing", b""
    yield "string not finished", b'{"a":"x'
    yield "name not finished", b'{"a'
    yield "object not finished", b'{"a":[1'
    yield "list not finished", b"[[["
    yield "closed too often", b'{"a":1]}]}'
    yield "brackets of two kinds", b'{"a":[{"b":1]}'
    yield "last string not finished", with_field(other, b'"x')[:-1]
    yield "escape not finished", b'{"a":"\\'
    yield "comment not finished", b"/* {"


def can_connect(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
        return True
    except OSError:
        return False


def play(dialect, lines):
    targets = [SimTarget("%s-%d" % (dialect, n),
                         lambda t, r, c: respond(c, r, t.name))
               for n in range(4)]
    state = {"entries": [], "odd": b"", "place": "middle"}

    def list_handler(target, request, conn):
        entries = [json.dumps(e).encode() for e in state["entries"]]
        at = {"first": 0, "middle": 1,
              "last": len(entries)}[state["place"]]
        if state["has_odd"]:
            entries.insert(at, state["odd"])
        text = b'{"%s":[%s],"next":null}' % (LISTS[dialect].encode(),
                                             b",".join(entries))
        conn.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" %
                     len(text) + text)

    def set_list(chosen, odd, place):
        entries = [t.entry() for t in chosen]
        if dialect == "platform":
            entries = [platform_entry(e) for e in entries]
        state.update(entries=entries, odd=odd or b"", place=place,
                     has_odd=odd is not None)

    state["has_odd"] = False
    set_list(targets[:3], None, "middle")
    options = {}
    if dialect == "platform":
        options = {"fleet_class": PlatformFleet, "wait": False,
                   "extra_settings": {"dialect": "platform"}}
    fleet, _ = path_fleet(targets, [path_conf("/ready/")], instances=1,
                          control=1, list_handler=list_handler, **options)

    def served():
        return sorted({send(fleet, "i0", "/ready/x").split(b"\r\n\r\n")[-1]
                       .decode() for _ in range(12)})

    with fleet:
        wait_for(lambda: can_connect(fleet.callers["i0"]))
        if dialect == "platform":
            wait_for(lambda: fleet.operator_request(
                "POST", "/config/replace",
                json.dumps(PLATFORM_DOCUMENT)).status == 200)
        is_ready = wait_targets(fleet, "i0")
        lines.append("ready %s" % is_ready)
        if not is_ready:
            return
        step = 0
        gone = targets[3].entry()
        gone["incarnation"], gone["address"] = "odd", "127.0.0.1:1"
        for name, odd in odd_entries(dialect, gone,
                                     targets[0].port):
            followed = []
            for place in PLACES:
                step += 1
                chosen = targets[:2] + [targets[2 + step % 2]]
                set_list(chosen, odd, place)
                names = [t.name for t in chosen]
                followed.append(wait_for(lambda: served() == names, 2))
                if not followed[-1]:
                    # The next list must differ from the one in use.
                    set_list(chosen, None, place)
                    wait_for(lambda: served() == names, 5)
            lines.append("%s: followed %s" % (name, " ".join(
                "yes" if f else "no" for f in followed)))
        lines.append("alive %s" % (fleet.processes["i0"].poll() is None))
        lines.append("header of an entry's name %s" % any(
            "x-forged" in r["headers"] for t in targets for r in t.requests))


results = {dialect: [] for dialect in LISTS}
threads = [threading.Thread(target=play, args=item)
           for item in results.items()]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
for dialect, lines in results.items():
    for line in lines:
        print(dialect, line)
