"""Numbers in the headers of a target's answers that cannot be right (load,
limit, idle timeout) end no process and stop no requests."""
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

NUMBERS = ("9223372036854775807", "-9223372036854775808", "9" * 40, "-1", "",
           "1e999", "nan", "0")
HEADERS = ["Keep-Alive: timeout=%s\r\n" % n for n in NUMBERS] + [
    "x-mimosapath-limit: %s\r\n" % n for n in NUMBERS if n != "0"] + [
    "x-mimosapath-load: %s,%s,%s\r\n" % (n, n, n) for n in NUMBERS]
state = {"header": ""}
target = SimTarget("t0", lambda t, r, c: respond(
    c, r, t.name, extra_headers=state["header"]))
fleet, _ = path_fleet([target], [path_conf("/ready/"), path_conf("/x/")],
                      instances=1, control=1)
with fleet:
    print("ready", wait_targets(fleet, "i0"))
    for header in HEADERS:
        state["header"] = header
        statuses = [status_of(send(fleet, "i0", "/x/1"))
                    if fleet.processes["i0"].poll() is None else "ended"
                    for _ in range(3)]
        print(header.strip(), " ".join(statuses))
    print("alive", fleet.processes["i0"].poll() is None)
