#!/usr/bin/env python3
"""Seeded fuzz runs, and a check that the fuzzers detect faults, as TAP.

Each fuzzer runs its seeds and its corpus.  Then each deliberate fault of
state/Fault.h is switched on, and a fuzzer must fail within the given seeds.
"""
import glob
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

here = os.path.dirname(os.path.abspath(__file__))
folder = os.environ.get("FUZZERS", "build/fuzz")

# fuzzer: seeds per process, processes, limit of a case's size in bytes
CASES = {
    "FuzzLedger": (200, 4, 4000),
    "FuzzCluster": (250, 6, 4000),
    "FuzzPicker": (300, 2, 3000),
    "FuzzParsers": (4000, 2, 600),
    "FuzzSlices": (300, 4, 4000),
    "FuzzForward": (3000, 2, 600),
    "FuzzSuspects": (300, 2, 4000),
    "FuzzParts": (500, 2, 4000),
    "FuzzRoster": (2000, 2, 600),
    "FuzzPermits": (60, 2, 600),
    "FuzzVersions": (1000, 2, 4000),
    "FuzzRelay": (1500, 2, 2000),
    "FuzzRetries": (200, 2, 1000),
    "FuzzZones": (500, 2, 2000),
}
# fault number: description, fuzzer that finds it, seeds that it runs
FAULTS = {
    1: ("log append is not synced", "FuzzCluster", 50),
    2: ("leases of a fenced incarnation are freed", "FuzzLedger", 200),
    3: ("repeated open ignores the existing record", "FuzzLedger", 50),
    4: ("messages of an older term accepted", "FuzzCluster", 400),
    5: ("snapshot drops closed records", "FuzzLedger", 50),
    6: ("document's base compared by content, not version", "FuzzLedger", 50),
    7: ("request settled twice", "FuzzLedger", 50),
    8: ("top-up applied twice", "FuzzLedger", 50),
    9: ("two votes in one term", "FuzzCluster", 300),
    10: ("older document version accepted", "FuzzSlices", 50),
    11: ("old slice report applied", "FuzzSlices", 200),
    12: ("new incarnation draws from the old slice", "FuzzSlices", 200),
    13: ("slice spent after its return", "FuzzSlices", 200),
    14: ("snapshot drops what a slice drew and spent", "FuzzSlices", 200),
    15: ("slice reply ignores draws since the report", "FuzzSlices", 200),
    16: ("slice granted beyond the budget", "FuzzSlices", 200),
    17: ("refused as not run after an unknown result", "FuzzForward", 50),
    18: ("at-most-once request retried", "FuzzForward", 50),
    19: ("attempts unlimited", "FuzzForward", 50),
    20: ("request restarted after the response head", "FuzzForward", 50),
    21: ("request sent after the deadline", "FuzzForward", 50),
    22: ("entry of an older term committed by counting", "FuzzCluster", 50),
    23: ("unknown outcome billed as zero", "FuzzLedger", 50),
    24: ("two concurrent trials of a suspect request", "FuzzSuspects", 50),
    25: ("snapshot drops suspect requests", "FuzzSuspects", 50),
    26: ("trials without a verdict unlimited", "FuzzSuspects", 1000),
    27: ("release of a trial clears the request", "FuzzSuspects", 50),
    28: ("complete response does not clear the request", "FuzzSuspects", 50),
    29: ("no target picked while none is healthy", "FuzzRoster", 1000),
    30: ("attempts at a half-open target unlimited", "FuzzRoster", 200),
    31: ("failed target never probed", "FuzzRoster", 200),
    32: ("old lease return applied to new incarnation", "FuzzLedger", 200),
    33: ("read without confirmed leadership", "FuzzCluster", 50),
    34: ("write-off of native leases frees slices", "FuzzSlices", 200),
    35: ("loan not deducted from the lender's balance", "FuzzSlices", 200),
    36: ("balance spent after its return", "FuzzSlices", 200),
    37: ("drawn amount not counted as outstanding", "FuzzSlices", 200),
    38: ("repayment not deducted from the balance", "FuzzSlices", 200),
    39: ("snapshot drops the outstanding amount", "FuzzSlices", 200),
    40: ("returned amount counted again", "FuzzSlices", 200),
    41: ("loan above the lender's balance", "FuzzSlices", 200),
    42: ("old answer clears a part again", "FuzzParts", 50),
    43: ("keeper gives out old slots again", "FuzzPermits", 60),
    44: ("each keeper hands out a whole limit", "FuzzPermits", 60),
    45: ("old answer ends a limit", "FuzzPermits", 60),
    46: ("stream without a record goes on", "FuzzVersions", 200),
    47: ("snapshot drops where streams began", "FuzzVersions", 200),
    48: ("version used before all know of it", "FuzzVersions", 1000),
    49: ("old knowledge of versions trusted", "FuzzVersions", 1000),
    50: ("events of a stream repeated by the next target", "FuzzForward", 50),
    51: ("stream without ids goes on", "FuzzForward", 50),
    52: ("unreadable entry spoils its page", "FuzzParsers", 200),
    53: ("page that was cut off is repaired", "FuzzParsers", 4000),
    54: ("answer without an id taken on a kept connection", "FuzzRelay", 50),
    55: ("connection kept after an answer without its id", "FuzzRelay", 50),
    56: ("one id of several suffices", "FuzzRelay", 50),
    57: ("body of a stray answer shown", "FuzzRelay", 50),
    58: ("first answer taken after a stray one", "FuzzRelay", 50),
    59: ("bytes after the end ignored", "FuzzRelay", 50),
    60: ("answer that ends with its connection counts as complete",
         "FuzzRelay", 50),
    61: ("retries counted for less than a window", "FuzzRetries", 300),
    62: ("requests of both windows counted in full", "FuzzRetries", 50),
    63: ("slack shared by the instances of the moment", "FuzzRetries", 50),
    64: ("restarted instance uses the slack again", "FuzzRetries", 50),
    65: ("old refusal ends a pause", "FuzzRoster", 200),
    66: ("paused target gets what no other takes", "FuzzRoster", 200),
    67: ("list takes back that a target leaves", "FuzzRoster", 200),
    68: ("refused trial counted", "FuzzSuspects", 50),
    69: ("snapshot that failed to load acknowledged", "FuzzCluster", 200),
    70: ("part of a frame kept on a full disk", "FuzzCluster", 50),
    71: ("start does not sync what it reads", "FuzzCluster", 50),
    72: ("repeated zone order applied twice", "FuzzZones", 200),
    73: ("overtaken zone order applied", "FuzzZones", 50),
    74: ("snapshot drops the drained zones", "FuzzZones", 50),
    75: ("drained target gets what no other takes", "FuzzRoster", 200),
    76: ("former version taken for a new one", "FuzzVersions", 1000),
    77: ("snapshot drops the bases of pools", "FuzzVersions", 200),
    78: ("record ends before its stream", "FuzzVersions", 200),
    79: ("first event sent before its record", "FuzzVersions", 200),
    80: ("stream begun that cannot be recorded", "FuzzVersions", 200),
}


def execute(fuzzer, arguments):
    result = subprocess.run([os.path.join(folder, fuzzer)] + arguments,
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            text=True, errors="replace")
    lines = result.stdout.splitlines()
    notes = [line for line in lines if "FAILED" in line or "steps" in line
             or "ERROR" in line]
    return result.returncode, notes[:3] or lines[-3:]


def jobs():
    for fuzzer, (seeds, processes, size) in CASES.items():
        for part in range(processes):
            yield ("%s seeds from %d" % (fuzzer, part * seeds + 1), fuzzer,
                   ["--seeds", str(part * seeds + 1), str(seeds), "--size",
                    str(size)], True)
        files = sorted(glob.glob(os.path.join(here, "..", "fuzz", "corpus",
                                              fuzzer, "*")))
        yield ("%s corpus" % fuzzer, fuzzer, files, True)
    for number, (name, fuzzer, seeds) in FAULTS.items():
        yield ("fault is found: " + name, fuzzer,
               ["--seeds", "1", str(seeds), "--size", "4000", "--fault",
                str(number)], False)


def run(job):
    name, fuzzer, arguments, must_pass = job
    status, notes = execute(fuzzer, arguments)
    is_found = any("FAILED" in note for note in notes)
    return name, (status == 0) if must_pass else is_found, notes


work = list(jobs())
print("1..%d" % len(work))
steps = 0
failed = 0
with ThreadPoolExecutor(os.cpu_count() or 2) as pool:
    for number, (name, passed, notes) in enumerate(pool.map(run, work), 1):
        failed += not passed
        print("%s %d - %s" % ("ok" if passed else "not ok", number, name))
        for note in notes:
            print("# " + note, flush=True)
            match = re.search(r", (\d+) steps$", note)
            steps += int(match.group(1)) if match else 0
print("# %d steps in runs without a failure" % steps)
sys.exit(1 if failed else 0)
