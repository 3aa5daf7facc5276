"""The commands for operators, as OPERATIONS.md shows them."""
import json
import subprocess
from fleet import PROGRAM, Fleet, wait_for

with Fleet(instances=4, control=3, partition="lease",
           persistent=["i0", "i1", "i2", "i3"]) as fleet:
    def run_verb(name, *words, at="i0"):
        result = subprocess.run(
            [PROGRAM, name, "--address",
             "127.0.0.1:%d" % fleet.operators[at], "--token-file",
             fleet.path("token")] + list(words), text=True,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        return result.returncode, result.stdout
    print("status", run_verb("status")[0])
    print("topup", run_verb("topup", "--id", "a", "w", "5")[0],
          run_verb("topup", "--id", "a", "w", "5")[0],
          json.loads(run_verb("workspace", "w")[1])["budget_mtok"])
    print("bad topup", run_verb("topup", "--id", "b", "w", "-5")[0],
          run_verb("topup", "--id", "b", "nobody", "5")[0])
    code, text = run_verb("document", "get")
    fleet.write("new.json", text.replace('"price_mtok": 10000',
                                         '"price_mtok": 12000'))
    code, difference = run_verb("document", "diff", "--file",
                                fleet.path("new.json"))
    print("diff", code, "12000" in difference)
    print("put", run_verb("document", "put", "--file", fleet.path("new.json"),
                          "--base", "1", "--id", "p"))
    print("stale put", run_verb("document", "put", "--file",
                                fleet.path("new.json"), "--base", "1", "--id",
                                "q")[0])
    print("earlier", run_verb("document", "get", "--base", "1")[1] == text)
    for number in range(12):
        fleet.chat("i3", "id=a%d" % number, tokens=4)
    print("leased", wait_for(lambda: fleet.account()["leased_mtok"] > 0))
    fleet.kill("i3")
    code, out = run_verb("ledger", "--write-off", "i3", "--boot", "1")
    print("write-off", code, json.loads(out)["freed_mtok"] > 0)
    print("drain", run_verb("drain", at="i2")[0],
          fleet.processes["i2"].wait(30))
