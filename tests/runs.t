#!/usr/bin/env python3
"""Runs the scripts in tests/runs and compares their output, as TAP."""
import glob
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

here = os.path.dirname(os.path.abspath(__file__))
scripts = sorted(glob.glob(os.path.join(here, "runs", "*.py")))
chosen = os.environ.get("RUNS")
if chosen:
    scripts = [s for s in scripts if os.path.basename(s)[:-3] in
               chosen.split()]
environment = dict(os.environ, PYTHONPATH=here, PYTHONDONTWRITEBYTECODE="1")


def run(script):
    try:
        result = subprocess.run([sys.executable, script], env=environment,
                                stdout=subprocess.PIPE,
                                stderr=subprocess.STDOUT, text=True,
                                timeout=300)
        return result.stdout, result.returncode
    except subprocess.TimeoutExpired as late:
        return (late.stdout or b"").decode() + "(timed out)\n", 1


def compare(script, output, status):
    expected_name = script[:-3] + ".expected"
    if os.environ.get("ACCEPT"):
        with open(expected_name, "w") as out:
            out.write(output)
    with open(expected_name) as source:
        expected = source.read()
    if status == 0 and output == expected:
        return []
    return (["# expected:"] + ["#   " + l for l in expected.splitlines()] +
            ["# seen, exit status %d:" % status] +
            ["#   " + l for l in output.splitlines()])


print("1..%d" % len(scripts))
failed = 0
with ThreadPoolExecutor(int(os.environ.get("RUNS_AT_ONCE", "3"))) as pool:
    for number, (script, (output, status)) in enumerate(
            zip(scripts, pool.map(run, scripts)), 1):
        notes = compare(script, output, status)
        failed += bool(notes)
        name = os.path.basename(script)[:-3]
        print("%s %d - run %s" % ("not ok" if notes else "ok", number, name))
        print("".join(note + "\n" for note in notes), end="", flush=True)
sys.exit(1 if failed else 0)
