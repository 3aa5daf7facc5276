"""An address that a command is given sends a response without end (512 MB, so
that the run itself stays bounded).  The command ends with an error at once, and
its memory stays bounded."""
import os
import subprocess
import tempfile
import time

# Memory in the quarantine of ASan would count as used.
os.environ["ASAN_OPTIONS"] = "detect_leaks=0:quarantine_size_mb=0"

from fleet import PROGRAM
from pathfleet import SimTarget

PIECE = b"b" * (1 << 20)
SENT_MAX = 512 << 20
MEMORY_MAX_KB = 256 << 10


def handle_request(target, req, conn):
    conn.sendall(b"HTTP/1.1 200 X\r\n\r\n")
    for _ in range(SENT_MAX // len(PIECE)):
        conn.sendall(PIECE)
    conn.recv(1)  # until the command closes
    return False


server = SimTarget("server", handle_request)
token = tempfile.NamedTemporaryFile("w", suffix=".token")
token.write("token")
token.flush()
began = time.monotonic()
process = subprocess.Popen(
    [PROGRAM, "status", "--address", "127.0.0.1:%d" % server.port,
     "--token-file", token.name], stdout=subprocess.PIPE,
    stderr=subprocess.STDOUT, text=True)
text = process.stdout.read()
_, status, usage = os.wait4(process.pid, 0)
process.returncode = os.waitstatus_to_exitcode(status)
if os.environ.get("FIGURES"):
    print("memory %d KB" % usage.ru_maxrss, text[:200])
print("fails", process.returncode > 0, "at once",
      time.monotonic() - began < 8, "within memory",
      usage.ru_maxrss <= MEMORY_MAX_KB)
