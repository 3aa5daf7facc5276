"""An operator token that is missing, unreadable or empty never lets anyone in:
a token file that cannot be used ends the start and rejects a reload, and
without a token nothing that needs one is served.  The same for the fleet
key."""
import base64
import json
import os
import signal
import subprocess
import tempfile
import time

from fleet import PROGRAM, free_port, request, wait_for

CASES = ("no setting", "missing", "unreadable", "empty", "blank", "usable")


def write(path, text):
    with open(path, "w") as out:
        out.write(text)


class Instance:
    """A control instance with one of the dialects."""

    def __init__(self, folder, dialect, changes):
        self.folder, self.port = folder, free_port()
        self.settings = {
            "instance": "s", "zone": "a", "roles": ["control"],
            "listen": {"operators": "127.0.0.1:%d" % self.port,
                       "rpc": "127.0.0.1:%d" % free_port()},
            "data_folder": "data", "fleet_key": "a-secret-of-this-test", "bootstrap": True}
        if dialect:
            self.settings["dialect"] = dialect
        rpc = self.settings["listen"]["rpc"]
        self.settings["control"] = [{"instance": "s", "rpc": rpc}]
        self.settings.update(changes)
        if "fleet_key_file" in changes:
            del self.settings["fleet_key"]
        self.save()
        self.log = os.path.join(folder, "log")
        with open(self.log, "w") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "run", "--settings", self.path("settings.json")],
                stdout=log, stderr=log)

    def path(self, name):
        return os.path.join(self.folder, name)

    def save(self):
        write(self.path("settings.json"), json.dumps(self.settings))

    def text(self):
        with open(self.log) as log:
            return log.read()

    def started(self):
        wait_for(lambda: self.process.poll() is not None or
                 " started " in self.text(), 10)
        return self.process.poll() is None

    def answers(self, password):
        basic = base64.b64encode(b"operator:" + password.encode()).decode()
        return [request(self.port, "GET", "/control/v1/status", headers={
            "authorization": value}).status for value in (
                "Bearer " + password, "Basic " + basic)]

    def stop(self):
        self.process.kill()
        self.process.wait()


def token_changes(folder, case):
    path = os.path.join(folder, "token")
    if case == "no setting":
        return {}
    if case == "unreadable":
        os.mkdir(path)
    elif case != "missing":
        write(path, {"empty": "", "blank": " \n", "usable": "word\n"}[case])
    return {"operator_token_file": "token"}


def play(name, dialect, changes_of):
    with tempfile.TemporaryDirectory() as folder:
        instance = Instance(folder, dialect, changes_of(folder))
        if not instance.started():
            reason = [line for line in ("secret-unusable", "is empty",
                                        "needs a token", "out_of_range")
                      if line in instance.text()]
            print(name, dialect, "not started:", reason)
        else:
            print(name, dialect, "empty password", instance.answers(""),
                  "token", instance.answers("word"))
        instance.stop()


for dialect in (None, "platform"):
    for case in CASES:
        play(case, dialect, lambda folder, c=case: token_changes(folder, c))
play("empty fleet key", "platform", lambda folder: {"fleet_key": ""})
play("blank fleet key", "platform", lambda folder: {"fleet_key": " " * 20})
play("blank fleet key file", "platform", lambda folder: (
    write(os.path.join(folder, "key"), "\n"),
    {"fleet_key_file": "key"})[1])

with tempfile.TemporaryDirectory() as folder:
    instance = Instance(folder, "platform", token_changes(folder, "usable"))
    instance.started()
    write(instance.path("token"), "")
    instance.process.send_signal(signal.SIGHUP)
    print("reload rejected", wait_for(
        lambda: "settings-rejected" in instance.text(), 5),
        "empty password", instance.answers(""), "token",
        instance.answers("word"))
    instance.stop()
with tempfile.TemporaryDirectory() as folder:
    instance = Instance(folder, "platform",
                        {"fleet_key": "replace-this-secret-before-use"})
    print("example key is named", instance.started() and
          "fleet-key-is-the-example" in instance.text())
    instance.stop()
