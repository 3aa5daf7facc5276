"""A script whose fleet does not become ready leaves no processes behind, which
would connect to ports that others are given."""
import os
import subprocess
import sys
import tempfile

SCRIPT = """
from fleet import Fleet
class NeverReady(Fleet):
    def wait_ready(self, names=None):
        for process in self.processes.values():
            print(process.pid, flush=True)
        raise SystemExit("not ready")
NeverReady(instances=1, control=1)
"""

with tempfile.TemporaryDirectory() as folder:
    result = subprocess.run(
        [sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE,
        stderr=subprocess.PIPE, text=True, timeout=60,
        env=dict(os.environ, TMPDIR=folder))
    pids = [int(line) for line in result.stdout.split()]
    left = [pid for pid in pids if os.path.exists("/proc/%d" % pid)]
    print("started", len(pids), "left", len(left), "folders",
          len(os.listdir(folder)), "exit", result.returncode,
          result.stderr.strip())
    for pid in left:
        os.kill(pid, 9)
