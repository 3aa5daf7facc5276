#!/usr/bin/env python3
"""Benchmarks with real processes; the figures are ratios and counts of one
run.

    bench.py            all parts
    bench.py NAME ...   single parts
    bench.py slopes     control traffic and processor time per request

Prints lines of the form

    bench NAME VALUE UNIT target BOUND pass|miss

QUICK=1 shortens every part.
"""

import json
import os
import signal
import subprocess
import sys
import time

here = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(here, "..", "tests"))
from fleet import PROGRAM, Fleet, in_background, request, wait_for  # noqa

QUICK = bool(os.environ.get("QUICK"))
SECONDS = 4 if QUICK else 15
TICKS = os.sysconf("SC_CLK_TCK")
WORKSPACES = {"w%d" % i: "key-w%d" % i for i in range(10)}
ENGINE = ["--token-us", "8000", "--batch-us", "400", "--prefill-us", "3000",
          "--slots", "16", "--cache-blocks", "256"]


def print_result(name, value, unit, bound, is_pass=None):
    if is_pass is None:
        is_pass = value <= bound
    shown = "%.3f" % value if isinstance(value, float) else value
    print("bench %s %s %s target %s %s" % (name, shown, unit, bound,
                                           "pass" if is_pass else "miss"),
          flush=True)


def deployment(**options):
    """The deployment of most parts: 10 instances, 20 engines, 3 services."""
    defaults = dict(instances=10, control=3, engines=20, services=3,
                    workspaces=WORKSPACES, concurrent_max=4000, capacity=16,
                    engine_options=ENGINE, budget_tokens=10 ** 9)
    defaults.update(options)
    return Fleet(**defaults)


def start_load(fleet, rate, seconds=SECONDS, mix="plumeau", seed=1,
               direct=None, workspaces=10, more=()):
    ports = direct or [fleet.callers[n] for n in fleet.names]
    command = [PROGRAM, "load", "--rate", str(rate), "--seconds",
               str(seconds), "--mix", mix, "--seed", str(seed), "--quiet",
               "--workspaces", str(workspaces)] + list(more)
    if direct:
        command.append("--direct")
    for port in ports:
        command += ["--instance", "127.0.0.1:%d" % port]
    return subprocess.Popen(command, stdout=subprocess.PIPE,
                            stderr=subprocess.DEVNULL, text=True)


def load(fleet, rate, **options):
    return json.loads(start_load(fleet, rate, **options).communicate()[0])


def total(report, name):
    return sum(kind[name] for kind in report["kinds"].values())


def quantile(report, name, which="p95"):
    return report["histograms"].get(name, {}).get(which, 0)


def runs_of(fleet):
    counts = {}
    for name in fleet.targets:
        try:
            with open(fleet.path(name + ".runs")) as log:
                for line in log:
                    counts[line.strip()] = counts.get(line.strip(), 0) + 1
        except FileNotFoundError:
            pass
    return counts


def audit(fleet, reports, prefix):
    """Compares what callers saw, what targets ran and what was billed."""
    runs = runs_of(fleet)
    double = false_claims = wrong = 0
    for report in reports:
        wrong += total(report, "wrong")
        for key in report["keys"]:
            ran = runs.get("%s:%s" % (key["workspace"], key["key"]), 0)
            double += key["kind"] == "booking" and ran > 1
            false_claims += key["all_not_run"] and not key[
                "answered"] and ran > 0
    overspent_mtok = 0
    for name in fleet.workspaces:
        account = fleet.account(name)
        used = (account["settled_mtok"] + account["reserved_mtok"] +
                account["leased_mtok"])
        overspent_mtok += max(0, used - account["budget_mtok"])
    print_result(prefix + ".overspend", overspent_mtok, "mtok", 0)
    print_result(prefix + ".double_runs", double, "requests", 0)
    print_result(prefix + ".not_run_but_ran", false_claims, "requests", 0)
    print_result(prefix + ".wrong_or_short", wrong, "answers", 0)
    lost = sum(total(r, "lost") + total(r, "cut") for r in reports)
    sent = sum(total(r, "sent") for r in reports)
    print_result(prefix + ".lost", lost, "of %d requests" % sent, 0)


def metrics(fleet, name):
    values = {}
    response = request(fleet.operators[name], "GET", "/metrics")
    for line in response.body.splitlines():
        series, _, value = line.rpartition(" ")
        values[series] = float(value)
    return values


def cpu_seconds(fleet, name):
    with open("/proc/%d/stat" % fleet.processes[name].pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(fleet, name):
    with open("/proc/%d/status" % fleet.processes[name].pid) as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


# ---- parts ----

def latency():
    """The same load sent directly to a target, and through instances (one per
    request)."""
    engine = ["--token-us", "4000", "--batch-us", "0", "--prefill-us", "0",
              "--slots", "400"]
    with Fleet(instances=3, control=3, engines=1, services=1,
               workspaces={"w0": "key-w0"}, concurrent_max=4000, capacity=400,
               engine_options=engine, budget_tokens=10 ** 9) as fleet:
        port = fleet.targets["engine-0"]
        rate = 100
        options = dict(mix="recipes", workspaces=1)
        direct_report = load(fleet, rate, direct=[port], **options)
        routed_report = load(fleet, rate, seed=2, **options)
        for name, series, bound in (
                ("first_token", "first_token_us{kind=\"recipe\"}", 10000),
                ("between_tokens", "between_tokens_us{kind=\"recipe\"}",
                 1000)):
            unrouted = quantile(direct_report, series)
            routed = quantile(routed_report, series)
            print_result("latency.%s_added_p95" % name, routed - unrouted,
                         "us (%d against %d, in steps of a quarter)" % (
                             routed, unrouted), bound)
            unrouted = quantile(direct_report, series, "mean")
            routed = quantile(routed_report, series, "mean")
            print_result("latency.%s_added_mean" % name, routed - unrouted,
                         "us (%d against %d)" % (routed, unrouted), bound)
        seconds = SECONDS
        print_result("latency.answered_ratio",
                     total(routed_report, "answered") /
                     max(total(direct_report, "answered"), 1),
                     "of the direct load at %d requests/s" % rate, 0.98,
                     total(routed_report, "answered") >=
                     0.98 * total(direct_report, "answered"))
        calls = dict(mix="bookings", workspaces=1)
        for rate in ((800,) if QUICK else (400, 800, 1600)):
            report = load(fleet, rate, seed=rate, seconds=min(seconds, 6),
                          **calls)
            print("# bookings at %d/s: answered %d of %d, p50 %d us, p95 "
                  "%d us" % (rate, total(report, "answered"),
                             total(report, "sent"),
                             quantile(report, "answer_us{kind=\"booking\"}",
                                      "p50"),
                             quantile(report,
                                      "answer_us{kind=\"booking\"}")),
                  flush=True)


def steady():
    """Both load mixes at a steady rate; control traffic of a router."""
    for mix in ("plumeau", "zawadzki"):
        with deployment() as fleet:
            router = "i5"
            load(fleet, 50, seconds=2, mix=mix, seed=7)
            before, cpu = metrics(fleet, router), cpu_seconds(fleet, router)
            began = time.monotonic()
            report = load(fleet, 100, mix=mix)
            elapsed_s = time.monotonic() - began
            after = metrics(fleet, router)
            control = sum(after[n] - before[n] for n in (
                "mimosapath_control_sent_bytes_total",
                "mimosapath_control_received_bytes_total"))
            served = (after["mimosapath_requests_total"] -
                      before["mimosapath_requests_total"])
            print("# %s: %s" % (mix, json.dumps(
                {k: v for k, v in report["kinds"].items()})), flush=True)
            false = total(report, "no_budget")
            print_result(mix + ".false_refusals",
                         false / total(report, "sent"), "of requests", 0.001)
            print("# %s: %.0f control bytes a request, %.0f KB/s, %.1f%% of "
                  "a core in all at %.0f requests/s" % (
                      mix, control / max(served, 1),
                      control / elapsed_s / 1000,
                      100 * (cpu_seconds(fleet, router) - cpu) / elapsed_s,
                      served / elapsed_s), flush=True)
            audit(fleet, [report], mix)


def control():
    """Control traffic of one of ten routers at 38 requests/s."""
    with deployment() as fleet:
        router = "i5"
        for mix in ("plumeau", "zawadzki"):
            before, cpu = metrics(fleet, router), cpu_seconds(fleet, router)
            began = time.monotonic()
            report = subprocess.run(
                [PROGRAM, "load", "--rate", "38", "--seconds", str(SECONDS),
                 "--mix", mix, "--quiet", "--workspaces", "10", "--seed",
                 "3" + str(len(mix)), "--instance",
                 "127.0.0.1:%d" % fleet.callers[router]],
                stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
            elapsed_s = time.monotonic() - began
            after = metrics(fleet, router)
            sent = total(json.loads(report.stdout), "sent")
            used = sum(after[n] - before[n] for n in (
                "mimosapath_control_sent_bytes_total",
                "mimosapath_control_received_bytes_total"))
            print_result("control.%s.traffic" % mix, used / elapsed_s / 1000,
                         "KB/s at %.0f requests/s" % (sent / elapsed_s), 18.0)
            print_result("control.%s.processor" % mix, 100 * (
                after["mimosapath_control_busy_us_total"] -
                before["mimosapath_control_busy_us_total"]) / 1e6 / elapsed_s,
                "% of a core, at most", 3.3)
            print("# control %s: all of the router's work is %.2f%% of a "
                  "core" % (mix, 100 * (cpu_seconds(fleet, router) - cpu) /
                            elapsed_s), flush=True)


TOKENS = 32


def price(key):
    """Returns the price of an answered request at the load's prices, mtok."""
    if key["kind"] in ("booking", "stock"):
        return 10000
    return (key["prompt_bytes"] // 4 + key["tokens"]) * 1000


def worst_case(key):
    """Returns what instances reserve for a request, mtok."""
    if key["kind"] in ("booking", "stock"):
        return 10000
    return (key["prompt_bytes"] + 16 + TOKENS) * 1000


def dry():
    """The last 5% of a budget is used up from all instances at once.  A
    refusal is false if the amount unspent at that time covers the worst case
    of the request."""
    for mix in ("plumeau", "zawadzki"):
        with deployment(workspaces={"w0": "key-w0"},
                        budget_tokens=0) as fleet:
            fleet.topup("w0", 30000)
            report = load(fleet, 150, workspaces=1, mix=mix)
            account = fleet.wait_settled("w0")
            budget = account["budget_mtok"]
            keys = report["keys"]
            spent = sorted((k["ended_ms"], price(k)) for k in keys
                           if k["answered"])
            bill = sum(p for _, p in spent)
            print("# dry %s: callers' sum %d, ledger %d mtok" % (
                mix, bill, account["settled_mtok"]), flush=True)
            print_result("dry.%s.double_or_lost_bills" % mix,
                         abs(bill - account["settled_mtok"]), "mtok", 0)
            false = last = 0
            for key in keys:
                before = sum(p for t, p in spent if t <= key["ended_ms"])
                if budget - before <= budget * 0.05 or key["status"] == 402:
                    last += 1
                false += (key["status"] == 402 and
                          budget - before >= worst_case(key))
            refused = sum(k["status"] == 402 for k in keys)
            print_result("dry.%s.false_refusals" % mix,
                         false / max(last, 1),
                         "of %d requests (%d refused, %d of %d mtok left)" % (
                             last, refused, budget - account["settled_mtok"],
                             budget), 0.01)
            print_result("dry.%s.overspend" % mix,
                         max(0, account["settled_mtok"] - budget), "mtok", 0)


def burst():
    """Eight times the base load for some seconds."""
    with deployment() as fleet:
        calm = start_load(fleet, 60, seconds=SECONDS)
        time.sleep(2)
        peak = load(fleet, 480, seconds=3, seed=2)
        calm = json.loads(calm.communicate()[0])
        for name, report in (("calm", calm), ("peak", peak)):
            print("# burst %s: %s" % (name, json.dumps(report["kinds"])),
                  flush=True)
        audit(fleet, [calm, peak], "burst")


def failures():
    """Under load: the leader and an instance are killed, a target crashes,
    and a poison request crashes targets."""
    with deployment() as fleet:
        running = start_load(fleet, 80, seconds=SECONDS + 8)
        time.sleep(2)
        leader = fleet.leader()
        other = next(n for n in fleet.names[3:])
        began = time.monotonic()
        fleet.kill(leader)
        probe = next(n for n in fleet.names if n != leader)
        call = {"authorization": "Bearer key-w0"}
        wait_for(lambda: request(fleet.callers[probe], "GET",
                                 "/services/s/stock", None,
                                 call).status == 200, 20, 0.01)
        print_result("failures.admission_resumes", time.monotonic() - began,
                     "s", 3.0)
        fleet.start(leader)
        time.sleep(1)
        fleet.kill(other)
        time.sleep(1)
        fleet.kill("engine-3")
        time.sleep(1)
        fleet.start(other)
        report = json.loads(running.communicate()[0])
        print("# failures: %s" % json.dumps(report["kinds"]), flush=True)
        audit(fleet, [report], "failures")
        alive = [n for n in fleet.engine_names
                 if fleet.processes[n].poll() is None]
        poison = load(fleet, 10, seconds=2, mix="recipes", seed=9,
                      workspaces=1, more=["--marks", "x"])
        assert poison
        body = json.dumps({"model": "m", "messages": [
            {"role": "user", "content": "id=p #crash"}]})
        for number in range(20):
            request(fleet.callers[fleet.names[number % 10]], "POST",
                    "/v1/chat/completions", body, call)
        crashed = sum(1 for n in alive
                      if fleet.processes[n].poll() is not None)
        print_result("failures.poison_kills", crashed, "targets", 2)


def documents():
    """Time until a document is in force on 10 instances, and requests sent to
    a leaving target."""
    with deployment() as fleet:
        slowest_s = 0.0
        for number in range(3 if QUICK else 10):
            document = fleet.document()
            document["retention_s"] = 1000 + number
            began = time.monotonic()
            response = fleet.put_document(document, number + 1,
                                          "p%d" % number)
            assert response.status == 200, response.body
            wait_for(lambda: all(
                metrics(fleet, n)["mimosapath_document_version"] ==
                number + 2 for n in fleet.names), 10, 0.01)
            slowest_s = max(slowest_s, time.monotonic() - began)
        print_result("document.in_force", slowest_s, "s", 4.0)
        running = start_load(fleet, 100, seconds=8)
        time.sleep(1)
        request(fleet.targets["engine-1"], "POST", "/leave")
        time.sleep(4)
        path = fleet.path("engine-1.runs")
        before = sum(1 for _ in open(path)) if os.path.exists(path) else 0
        running.communicate()
        after = sum(1 for _ in open(path)) if os.path.exists(path) else 0
        print_result("document.new_work_on_leaving", after - before,
                     "requests", 0)


def routing():
    """Prefix cache hits and time to first token, compared with the two
    baseline policies."""
    seen = {}
    for policy in ("random", "least_own", "affinity"):
        with deployment(routing=policy) as fleet:
            report = load(fleet, 130, mix="zawadzki")
            hits = asked = 0
            for name in fleet.engine_names:
                state = request(fleet.targets[name], "GET", "/status").json()
                hits += state["hit_blocks"]
                asked += state["asked_blocks"]
            first = quantile(report, "first_token_us{kind=\"recipe\"}")
            seen[policy] = (hits / max(asked, 1), first)
            print("# routing %s: hit rate %.3f, first token p50 %d p95 %d "
                  "us" % (policy, hits / max(asked, 1), quantile(
                      report, "first_token_us{kind=\"recipe\"}", "p50"),
                      first), flush=True)
    for policy in ("random", "least_own"):
        print_result("routing.hit_rate_against_" + policy,
                     seen["affinity"][0] / max(seen[policy][0], 1e-9),
                     "ratio", 1.0,
                     seen["affinity"][0] > seen[policy][0])
        print_result("routing.first_token_p95_against_" + policy,
                     seen["affinity"][1] / max(seen[policy][1], 1),
                     "ratio", 1.0,
                     seen["affinity"][1] < seen[policy][1])


def slopes():
    """Control traffic and processor time per request, and when idle."""
    with Fleet(instances=6, control=3, engines=2, services=4,
               workspaces={"w0": "key-w0"}, concurrent_max=4000, capacity=4000,
               budget_tokens=10 ** 9) as fleet:
        routers, targets = fleet.names[3:], len(fleet.targets)

        def sample():
            values = [metrics(fleet, n) for n in routers]
            leader = max((metrics(fleet, n) for n in fleet.control),
                         key=lambda v: v["mimosapath_raft_leader"])
            return {
                "out": sum(v["mimosapath_control_sent_bytes_total"]
                           for v in values),
                "in": sum(v["mimosapath_control_received_bytes_total"]
                          for v in values),
                "busy": sum(v["mimosapath_control_busy_us_total"]
                            for v in values),
                "count": sum(v.get("mimosapath_requests_total", 0)
                             for v in values),
                "router": sum(cpu_seconds(fleet, n) for n in routers),
                "control": sum(cpu_seconds(fleet, n) for n in fleet.control),
                "log": leader["mimosapath_disk_bytes_total"],
                "syncs": leader["mimosapath_disk_syncs_total"],
                "time": time.monotonic()}

        def measure(work):
            first = sample()
            work()
            second = sample()
            return {k: second[k] - first[k] for k in first}

        idle = measure(lambda: time.sleep(SECONDS))
        seconds = idle["time"]
        print("slope idle router: %.0f bytes/s out, %.0f in; %.2f%% of a "
              "core with %d targets" % (
                  idle["out"] / seconds / 3, idle["in"] / seconds / 3,
                  100 * idle["router"] / seconds / 3, targets))
        print("slope idle control replica: %.2f%% of a core (6 instances "
              "synchronise, and it routes too)" % (
                  100 * idle["control"] / seconds / 3))
        for rate in (100, 600, 1800):
            ports = [fleet.callers[n] for n in routers]

            def work():
                command = [PROGRAM, "load", "--rate", str(rate),
                           "--seconds", str(min(SECONDS, 8)), "--mix",
                           "bookings", "--quiet"]
                for port in ports:
                    command += ["--instance", "127.0.0.1:%d" % port]
                subprocess.run(command, stdout=subprocess.DEVNULL,
                               stderr=subprocess.DEVNULL, check=True)
            cost = measure(work)
            count, elapsed_s = cost["count"], cost["time"]
            base = {k: idle[k] / seconds * elapsed_s for k in idle}
            print("slope at %d requests/s: %.0f bytes out, %.0f in, %.0f us "
                  "of control at the router; %.0f us of all its work; %.0f "
                  "us at the three control replicas; %.0f bytes and %.2f "
                  "syncs at the leader, each per request" % (
                      count / elapsed_s, (cost["out"] - base["out"]) / count,
                      (cost["in"] - base["in"]) / count,
                      (cost["busy"] - base["busy"]) / count,
                      (cost["router"] - base["router"]) / count * 1e6,
                      (cost["control"] - base["control"]) / count * 1e6,
                      cost["log"] / count, cost["syncs"] / count),
                  flush=True)
        print("slope memory %.1f MB a router, %.1f MB a control replica" % (
            max(memory_mb(fleet, n) for n in routers),
            max(memory_mb(fleet, n) for n in fleet.control)))


def size():
    """A document with 31,000 workspaces, each with a budget."""
    count = 3000 if QUICK else 31000
    with Fleet(instances=3, control=3, engines=1, services=1) as fleet:
        document = fleet.document()
        for number in range(count):
            document["workspaces"]["w%d" % number] = {
                "key_hashes": ["%064x" % number], "models": ["m"]}
        began = time.monotonic()
        response = fleet.put_document(document, 1, "large")
        assert response.status == 200, response.body
        wait_for(lambda: all(
            metrics(fleet, n)["mimosapath_document_version"] == 2
            for n in fleet.names), 30, 0.01)
        print_result("size.large_document_in_force", time.monotonic() - began,
                     "s (%d workspaces, first time whole)" % count, 4.0)
        document["retention_s"] = 7777
        began = time.monotonic()
        fleet.put_document(document, 2, "large-2")
        wait_for(lambda: all(
            metrics(fleet, n)["mimosapath_document_version"] == 3
            for n in fleet.names), 30, 0.01)
        print_result("size.change_in_force", time.monotonic() - began,
                     "s (%d workspaces, by patch)" % count, 4.0)

        def top_up(part):
            for number in range(part, count, 6):
                fleet.operator_request(
                    "POST", "/control/v1/workspaces/w%d/topups" % number,
                    '{"amount_mtok": 1000000}', {"idempotency-key": "t"},
                    fleet.names[part % 3])
        threads = [in_background(lambda p=p: top_up(p)) for p in range(6)]
        for thread in threads:
            thread.join()
        accounts = fleet.status()["workspaces"]
        print_result("size.control_memory", max(
            memory_mb(fleet, n) for n in fleet.control),
            "MB (%d budgets and workspaces)" % len(accounts), 256.0)


PARTS = {"latency": latency, "steady": steady,
         "control": control, "dry": dry, "burst": burst,
         "failures": failures, "documents": documents, "routing": routing,
         "size": size}

for part in sys.argv[1:] or PARTS:
    print("# " + part, flush=True)
    (slopes if part == "slopes" else PARTS[part])()
