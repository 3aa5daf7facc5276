#!/usr/bin/env python3
"""Runs the scripts in tests/runs and compares their output, as TAP."""
import glob
import os
import subprocess
import sys

here = os.path.dirname(os.path.abspath(__file__))
scripts = sorted(glob.glob(os.path.join(here, "runs", "*.py")))
chosen = os.environ.get("RUNS")
if chosen:
    scripts = [s for s in scripts if os.path.basename(s)[:-3] in
               chosen.split()]
print("1..%d" % len(scripts))
environment = dict(os.environ, PYTHONPATH=here, PYTHONDONTWRITEBYTECODE="1")
failed = 0
for number, script in enumerate(scripts, 1):
    name = os.path.basename(script)[:-3]
    expected_name = script[:-3] + ".expected"
    try:
        result = subprocess.run([sys.executable, script], env=environment,
                                stdout=subprocess.PIPE, text=True,
                                timeout=180)
        output, status = result.stdout, result.returncode
    except subprocess.TimeoutExpired as late:
        output = (late.stdout or b"").decode() + "(timed out)\n"
        status = 1
    if os.environ.get("ACCEPT"):
        with open(expected_name, "w") as out:
            out.write(output)
    with open(expected_name) as source:
        expected = source.read()
    good = status == 0 and output == expected
    failed += not good
    print("%s %d - run %s" % ("ok" if good else "not ok", number, name),
          flush=True)
    if not good:
        print("# expected:")
        for line in expected.splitlines():
            print("#   " + line)
        print("# seen, exit status %d:" % status)
        for line in output.splitlines():
            print("#   " + line)
sys.exit(1 if failed else 0)
