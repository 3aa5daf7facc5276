#!/usr/bin/env python3
"""Demo on this machine: three instances in three zones with simulated targets,
a document, a top-up, three requests, the account, and a clean stop."""

import json
import os
import signal
import subprocess
import sys

here = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(here, "..", "tests"))
from fleet import KEY, PROGRAM, Fleet  # noqa: E402


def print_step(text):
    print("\n== " + text, flush=True)


def run_verb(fleet, verb, *arguments):
    command = [PROGRAM, verb, "--address",
               "127.0.0.1:%d" % fleet.operators["i0"], "--token-file",
               fleet.path("token")] + list(arguments)
    print("$ mimosapath %s %s" % (verb, " ".join(arguments)), flush=True)
    subprocess.run(command, check=True)


def main():
    print_step("three instances (router and control) in zones a, b, c; "
               "four targets")
    with Fleet(engines=3, services=1, budget_tokens=0) as fleet:
        print_step("the document is in force; the workspace gets a budget")
        run_verb(fleet, "topup", "--id", "first", "w", "1000")
        run_verb(fleet, "workspace", "w")
        print_step("a streamed completion")
        response = fleet.chat("i0", "id=recipe dye recipe, step by step",
                              tokens=6, stream=True)
        print(response.body.strip())
        print_step("a stock check, which may be repeated")
        print(fleet.call("i1", "/services/s/stock/7", method="GET").body)
        print_step("a lot booking, sent twice with one key to two instances")
        for name in ("i1", "i2"):
            response = fleet.call(name, "/services/s/lots", "id=lot-7",
                                  key="booking-1")
            print(name, response.status, response.body, "replayed:",
                  response.headers.get("x-mimosapath-replayed", "no"))
        runs = fleet.run_count("booking-1")
        print("runs at the target: %d" % runs)
        print_step("the account afterwards")
        fleet.wait_settled()
        run_verb(fleet, "workspace", "w")
        print_step("a clean stop")
        codes = {name: fleet.kill(name, signal.SIGTERM)
                 for name in reversed(fleet.names)}
        print("exit codes: " + json.dumps(codes))
        if runs != 1 or any(codes.values()):
            raise SystemExit("the demo went wrong")


main()
