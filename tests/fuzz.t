#!/usr/bin/env python3
"""Seeded fuzz runs and the check of the checker, as TAP.

Each fuzz target runs its seeds and its corpus; then each deliberate fault of
state/Fault.h is switched on, and a target must find it within its seeds.
"""
import glob
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

here = os.path.dirname(os.path.abspath(__file__))
folder = os.environ.get("FUZZERS", "build/fuzz")

# target: seeds of a process, processes, size of a case in bytes
TARGETS = {
    "FuzzLedger": (200, 4, 4000),
    "FuzzCluster": (250, 6, 4000),
    "FuzzPicker": (300, 2, 3000),
    "FuzzParsers": (4000, 2, 600),
    "FuzzSlices": (300, 4, 4000),
    "FuzzForward": (3000, 2, 600),
    "FuzzSuspects": (300, 2, 4000),
    "FuzzRoster": (2000, 2, 600),
}
# fault number: name, target that finds it, seeds it has
FAULTS = {
    1: ("sync skipped", "FuzzCluster", 50),
    2: ("lease returned on a time-out", "FuzzLedger", 200),
    3: ("claim unchecked on a retry", "FuzzLedger", 50),
    4: ("old term accepted", "FuzzCluster", 400),
    5: ("snapshot drops claims", "FuzzLedger", 50),
    6: ("document compared by content", "FuzzLedger", 50),
    7: ("settled twice", "FuzzLedger", 50),
    8: ("topped up twice", "FuzzLedger", 50),
    9: ("voted twice", "FuzzCluster", 300),
    10: ("document goes back", "FuzzSlices", 50),
    11: ("old report of a slice taken", "FuzzSlices", 200),
    12: ("slice of an old life drawn by the new", "FuzzSlices", 200),
    13: ("slice spent after it was given back", "FuzzSlices", 200),
    14: ("snapshot forgets what a slice spent", "FuzzSlices", 200),
    15: ("answer taken without what was spent since", "FuzzSlices", 200),
    16: ("slice granted beyond the budget", "FuzzSlices", 200),
    17: ("refused after an unknown run", "FuzzForward", 50),
    18: ("at-most-once request repeated", "FuzzForward", 50),
    19: ("attempts without bound", "FuzzForward", 50),
    20: ("sent anew after the head", "FuzzForward", 50),
    21: ("sent after the deadline", "FuzzForward", 50),
    22: ("older term committed by counting", "FuzzCluster", 50),
    23: ("unknown outcome billed nothing", "FuzzLedger", 50),
    24: ("two trials at once", "FuzzSuspects", 50),
    25: ("snapshot frees suspects", "FuzzSuspects", 50),
    26: ("trials without a verdict unbounded", "FuzzSuspects", 1000),
    27: ("release of a trial clears", "FuzzSuspects", 50),
    28: ("whole answer does not clear", "FuzzSuspects", 50),
    29: ("nothing tried while all are in doubt", "FuzzRoster", 200),
    30: ("trials of a target without bound", "FuzzRoster", 200),
    31: ("a target that failed is never tried again", "FuzzRoster", 200),
    32: ("hand-in of an old life taken from the new", "FuzzLedger", 200),
    33: ("read without a proof", "FuzzCluster", 50),
    34: ("write-off frees slices of paths", "FuzzSlices", 200),
    35: ("loan not taken from the purse", "FuzzSlices", 200),
    36: ("purse spent after it was given back", "FuzzSlices", 200),
    37: ("what is drawn not counted", "FuzzSlices", 200),
    38: ("repayment kept in the purse", "FuzzSlices", 200),
    39: ("snapshot forgets what is afloat", "FuzzSlices", 200),
    40: ("what was returned counted again", "FuzzSlices", 200),
    41: ("loan beyond the purse", "FuzzSlices", 200),
}


def execute(target, arguments):
    result = subprocess.run([os.path.join(folder, target)] + arguments,
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            text=True, errors="replace")
    lines = result.stdout.splitlines()
    notes = [line for line in lines if "FAILED" in line or "steps" in line
             or "ERROR" in line]
    return result.returncode, notes[:3] or lines[-3:]


def jobs():
    for target, (seeds, processes, size) in TARGETS.items():
        for part in range(processes):
            yield ("%s seeds from %d" % (target, part * seeds + 1), target,
                   ["--seeds", str(part * seeds + 1), str(seeds), "--size",
                    str(size)], True)
        files = sorted(glob.glob(os.path.join(here, "..", "fuzz", "corpus",
                                              target, "*")))
        yield ("%s corpus" % target, target, files, True)
    for number, (name, target, seeds) in FAULTS.items():
        yield ("fault is found: " + name, target,
               ["--seeds", "1", str(seeds), "--size", "4000", "--fault",
                str(number)], False)


def run(job):
    name, target, arguments, must_hold = job
    status, notes = execute(target, arguments)
    found = any("FAILED" in note for note in notes)
    return name, (status == 0) if must_hold else found, notes


work = list(jobs())
print("1..%d" % len(work))
steps = 0
failed = 0
with ThreadPoolExecutor(os.cpu_count() or 2) as pool:
    for number, (name, good, notes) in enumerate(pool.map(run, work), 1):
        failed += not good
        print("%s %d - %s" % ("ok" if good else "not ok", number, name))
        for note in notes:
            print("# " + note, flush=True)
            match = re.search(r", (\d+) steps$", note)
            steps += int(match.group(1)) if match else 0
print("# %d steps in runs that held" % steps)
sys.exit(1 if failed else 0)
