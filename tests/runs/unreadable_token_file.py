"""The operators' verbs say in one line that a token file cannot be read."""
import subprocess
from fleet import PROGRAM

for verb in (["status"], ["workspace", "w"], ["topup", "--id", "x", "w", "5"],
             ["document", "get"]):
    answer = subprocess.run(
        [PROGRAM, verb[0], "--address", "127.0.0.1:1", "--token-file",
         "/nonexistent/token"] + verb[1:], capture_output=True, text=True)
    print(verb[0], answer.returncode, answer.stderr.splitlines())
