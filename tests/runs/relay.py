"""A relay is the only seed of a router.  It tells the router the leader,
forwards an operator's document to the control instance, and finds this
instance again after all processes were killed and restarted."""
import http.client
import json
import os
import signal
import subprocess
import tempfile
import shutil
from fleet import PROGRAM, TOKEN, free_port, wait_for

port, folder = free_port(), tempfile.mkdtemp(prefix="mimosapath-")
hosts = {"c": "127.0.0.1", "r": "127.0.0.2", "i": "127.0.0.3"}
ports = {name: free_port() for name in ("c", "r", "i", "callers")}
roles = {"c": "control", "r": "relay", "i": "router"}
processes = {}


def settings(name):
    seeds = [hosts["r"]] + ([hosts["c"]] if name == "c" else [])
    conf = {"instance": name, "zone": "a", "roles": [roles[name]],
            "fleet_key": "secret of the whole fleet", "rpc_port": port,
            "seeds": [{"address": "%s:1" % seed} for seed in seeds],
            "operator_token_file": "token",
            "listen": {"operators": "%s:%d" % (hosts[name], ports[name])}}
    if name == "i":
        conf["listen"]["callers"] = "%s:%d" % (hosts[name], ports["callers"])
    else:
        conf["listen"]["rpc"] = "%s:%d" % (hosts[name], port)
    if name == "c":
        conf["data_folder"] = "data"
    return conf


def start(name):
    log = open(os.path.join(folder, name + ".log"), "a")
    processes[name] = subprocess.Popen(
        [PROGRAM, "run", "--settings", os.path.join(folder, name + ".json")],
        stdout=log, stderr=log)


def operator_request(name, method, body=None, headers=None):
    conn = http.client.HTTPConnection(hosts[name], ports[name], timeout=5)
    names = {"authorization": "Bearer " + TOKEN}
    names.update(headers or {})
    try:
        conn.request(method, "/control/v1/document", body, names)
        response = conn.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        conn.close()


def is_ready():
    conn = http.client.HTTPConnection(hosts["i"], ports["callers"], timeout=5)
    try:
        conn.request("GET", "/readyz")
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


def log_of(name):
    with open(os.path.join(folder, name + ".log")) as text:
        return text.read()


document = {"targets": {}, "models": {}, "services": {}, "workspaces": {}}
with open(os.path.join(folder, "token"), "w") as out:
    out.write(TOKEN)
try:
    for name in ("r", "i", "c"):
        with open(os.path.join(folder, name + ".json"), "w") as out:
            out.write(json.dumps(settings(name)))
        start(name)
    print("formed by the instance with a disk", wait_for(
        lambda: "cluster-formed replicas=1" in log_of("c")))
    print("document by way of the relay", wait_for(lambda: operator_request(
        "r", "PUT", json.dumps(document),
        {"if-match": '"0"', "idempotency-key": "first"})[0] == 200))
    print("ready", wait_for(is_ready))
    for process in processes.values():
        process.send_signal(signal.SIGKILL)
        process.wait()
    for name in ("r", "i", "c"):
        start(name)
    print("ready again", wait_for(is_ready))
    print("read by way of the relay",
          wait_for(lambda: operator_request("r", "GET")[0] == 200))
finally:
    for process in processes.values():
        process.kill()
        process.wait()
    if not os.environ.get("KEEP"):
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(folder)
