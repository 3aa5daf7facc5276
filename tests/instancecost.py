"""What the requests of a run cost an instance: memory, bytes that wait, and
the time that a request of another caller takes meanwhile.  With FIGURES=1 in
the environment the figures are printed."""

import os
import re
import sys
import threading
import time

WAITING_STEP_S = 0.02
# State of a socket that is being connected.  It has received no data, and the
# table may show any number for it.
SYN_SENT = "02"


def peak_memory_kb(pid, is_reset=False):
    """Returns the peak memory of a process since the last reset."""
    if is_reset:
        with open("/proc/%d/clear_refs" % pid, "w") as clear:
            clear.write("5")
    with open("/proc/%d/status" % pid) as status:
        return int(re.search(r"VmHWM:\s+(\d+)", status.read()).group(1))


def waiting_kb(pid):
    """Returns the bytes that the sockets of a process have received and that
    it has not read."""
    inodes = set()
    for name in os.listdir("/proc/%d/fd" % pid):
        try:
            inodes.add(os.readlink("/proc/%d/fd/%s" % (pid, name)))
        except OSError:
            pass  # closed meanwhile
    total = 0
    with open("/proc/net/tcp") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if ("socket:[%s]" % fields[9] in inodes and
                    fields[3] != SYN_SENT):
                total += int(fields[4].split(":")[1], 16)
    return total // 1024


class Cost:
    """Runs play(number) for several callers at once, and send_other, a sound
    request that returns whether it was served, beside them."""

    def __init__(self, name, pid, at_once, play, send_other):
        start_kb = peak_memory_kb(pid, True)
        self.waiting_kb, self.other_s, self.are_others_served = 0, 0, True
        threads = [threading.Thread(target=play, args=(number,))
                   for number in range(at_once)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            began = time.monotonic()
            self.are_others_served &= send_other()
            self.other_s = max(self.other_s, time.monotonic() - began)
            self.waiting_kb = max(self.waiting_kb, waiting_kb(pid))
            time.sleep(WAITING_STEP_S)
        self.memory_kb = peak_memory_kb(pid) - start_kb
        if os.environ.get("FIGURES"):
            print("%s: memory %d KB, waiting %d KB, others %.2f s" % (
                name, self.memory_kb, self.waiting_kb, self.other_s),
                file=sys.stderr)
