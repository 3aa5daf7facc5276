"""Settings that nothing obeys are refused, with the place of each; a fleet
whose stored document has them, from an earlier build, restarts with it."""
import ctypes
import ctypes.util
import glob
import json
import signal
import struct

from fleet import Fleet, wait_for

# As comments they are accepted; without the marks they are stored as by an
# earlier build.
RETIRED = {
    "targets": '"t": {"address": "127.0.0.1:1", "zone": "a"'
               '/*,"checks_fencing": true*/}',
    "pools": '"p": {"engine": {"slots": 4/*,"memory_tokens": 100000*/}'
             '/*,"health_path": "/healthz"*/}',
    "limits": '"idle_timeout_ms": 9000/*,"header_timeout_ms": 3000*/'}

xxh64 = ctypes.CDLL(ctypes.util.find_library("xxhash")).XXH64
xxh64.restype = ctypes.c_uint64
xxh64.argtypes = [ctypes.c_char_p, ctypes.c_size_t, ctypes.c_uint64]


def uncomment(data):
    return data.replace(b"/*,", b",  ").replace(b"*/", b"  ")


def rewrite(path):
    """Takes the marks out of the frames of a log; returns their number."""
    with open(path, "rb") as log:
        data = log.read()
    out, at, count = b"", 0, 0
    while data[at:at + 4] == b"MPL1":
        size, sequence = struct.unpack(">IQ", data[at + 4:at + 16])
        body = data[at + 24:at + 24 + size]
        count += body.count(b"/*,")
        body = uncomment(body)
        out += b"MPL1" + struct.pack(">IQQ", size, sequence, xxh64(
            body, size, sequence)) + body
        at += 24 + size
    with open(path, "wb") as log:
        log.write(out + data[at:])
    return count


with Fleet(instances=1, control=1, engines=1, services=1) as fleet:
    document = fleet.document()
    document.update({key: {} for key in ("pools", "limits")})
    text = json.dumps(document)
    for key, value in RETIRED.items():
        mark = '"%s": {' % key
        more = text.split(mark, 1)[1].startswith("}")
        text = text.replace(mark, mark + value + ("" if more else ", "), 1)

    def put(text, base, submission):
        return fleet.operator_request(
            "PUT", "/control/v1/document", text,
            {"if-match": '"%d"' % base, "idempotency-key": submission}, "i0")

    refused = put(uncomment(text.encode()).decode(), 1, "s1")
    print("with settings that nothing obeys", refused.status)
    for finding in refused.json().get("findings", []):
        print(" ", finding["path"], finding["kind"])
    base = 1 + (refused.status == 200)
    print("with comments", put(text, base, "s2").status)
    wait_for(lambda: fleet.status("i0")["document_version"] == base + 1)
    fleet.kill("i0", signal.SIGKILL)
    print("settings put into the log", sum(
        rewrite(path) for path in glob.glob(fleet.path("data-i0/log-*"))))
    fleet.start("i0")
    print("ready", wait_for(lambda: fleet.is_ready("i0"), 10))
    print("served", fleet.retry(lambda: fleet.call(
        "i0", "/services/s/lots", "id=x", key="k")).status)
    stored = fleet.operator_request("GET", "/control/v1/document",
                                    name="i0").body
    print("stored", *[key for key in (
        "checks_fencing", "memory_tokens", "health_path", "header_timeout_ms")
        if key in stored and '/*,"%s' % key not in stored])
