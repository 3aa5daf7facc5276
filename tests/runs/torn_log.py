"""An incomplete frame at the end of a replica's log is truncated.  Other
corruption stops the replica, and the others serve."""
import glob
import os
import time
from fleet import Fleet, wait_for

def newest_log(fleet, victim):
    return max(glob.glob(fleet.path("data-%s/log-*" % victim)))


def fill_log(fleet, victim, frames):
    """Sends requests until the victim's log has the given number of frames.
    Corruption of the last frame cannot be told from an incomplete frame."""
    for number in range(200):
        with open(newest_log(fleet, victim), "rb") as log:
            if log.read().count(b"MPL1") >= frames:
                return
        fleet.call("i0", "/services/s/lots", "id=x", key="fill%d" % number)
    raise SystemExit("the log of %s does not grow" % victim)


with Fleet(instances=3, control=3) as fleet:
    for number in range(5):
        fleet.call("i0", "/services/s/lots", "id=x", key="k%d" % number)
    victim = next(n for n in fleet.names if n != fleet.leader())
    fill_log(fleet, victim, 3)
    fleet.kill(victim)
    log = newest_log(fleet, victim)
    with open(log, "ab") as out:
        out.write(b"MPL1\x00\x00\x01\x00 torn")
    fleet.start(victim)
    fleet.wait_ready([victim])
    text = open(fleet.path(victim + ".log")).read()
    print("tail cut", "log-tail-cut" in text,
          fleet.call(victim, "/services/s/lots", "id=x",
                     key="k3").headers.get("x-mimosapath-replayed"))
    fleet.kill(victim)
    with open(log, "r+b") as out:
        out.seek(40)
        byte = out.read(1)
        out.seek(40)
        out.write(bytes([byte[0] ^ 1]))
    fleet.start(victim)
    print("damaged exit", fleet.processes[victim].wait(10),
          "corrupt" in open(fleet.path(victim + ".log")).read())
    other = next(n for n in fleet.names if n != victim)
    print("others serve", fleet.retry(lambda: fleet.chat(
        other, "id=y", tokens=2)).status)
