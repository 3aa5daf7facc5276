"""Instances of each role are stopped while operators' calls wait for the
quorum, which is there, comes back or is lost for good, or while the disk of the
instance stalls, and while more calls come, on new and on kept connections.
Each whole call gets an answer; acknowledged changes are made, and those
refused as not done are not."""
import json
import os
import signal
import socket
import sys
import time
import urllib.parse
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from fleet import TOKEN, Fleet, in_background, request, wait_for
from forms import fields

AUTHORIZED = {"authorization": "Bearer " + TOKEN}
TOPUP = json.dumps({"amount_mtok": 1000})
# Refused top-ups that are sent again after a play.
RESENT_MAX = 12
ROLES = {"both": ["router", "control"], "control": ["control"],
         "relay": ["relay"]}


class RoleFleet(Fleet):
    """Three control instances, and i3.  The stopped one, a control instance
    unless it is to be a relay, has the given role."""

    def __init__(self, role, platform=False):
        self.role, self.platform = role, platform
        self.stopped = "i3" if role == "relay" else "i2"
        super().__init__(instances=4, control=3, engines=1, services=1,
                         budget_tokens=0, wait=False,
                         stallable=[self.stopped])

    def write_settings(self, name):
        super().write_settings(name)
        with open(self.path(name + ".json")) as text:
            settings = json.load(text)
        settings["stop_within_s"] = 4
        settings["drain_notice_ms"] = 200
        if name == self.stopped:
            settings["roles"] = ROLES[self.role]
            settings["listen"]["rpc"] = "127.0.0.1:%d" % self.rpc[name]
            if "router" not in settings["roles"]:
                settings["listen"].pop("callers")
        if self.platform:
            settings["dialect"] = "platform"
            settings.pop("first_document", None)
        self.write(name + ".json", json.dumps(settings))

    def freeze_others(self, signal_number):
        for name in self.control:
            if name != self.stopped:
                self.processes[name].send_signal(signal_number)


def own_calls(fleet, number):
    """Calls of our own interface: method, path, body, headers."""
    form = dict(fleet.form, id="form-%d" % number, tokens="1")
    document = dict(fleet.document(), limits={"idle_timeout_ms":
                                              15000 + number})
    return [("PUT", "/control/v1/document", json.dumps(document),
             {"if-match": '"1"', "idempotency-key": "put-%d" % number}),
            ("POST", "/control/v1/workspaces/w/topups", TOPUP,
             {"idempotency-key": "topup-%d" % number}),
            ("GET", "/control/v1/workspaces/w", None, {}),
            ("GET", "/control/v1/status", None, {}),
            ("GET", "/", None, {}),
            ("POST", "/topup", urllib.parse.urlencode(form), {
                "content-type": "application/x-www-form-urlencoded"})]


def platform_calls(fleet, number):
    document = {"version": 10 + number, "routes": [], "services": [],
                "tenants": []}
    return [("POST", "/config/replace", json.dumps(document), {}),
            ("GET", "/config/read", None, {})]


def text_of(method, path, body, headers):
    lines = dict(AUTHORIZED, host="x", **headers)
    lines["content-length"] = str(len(body or ""))
    return ("%s %s HTTP/1.1\r\n%s\r\n%s" % (method, path, "".join(
        "%s: %s\r\n" % line for line in lines.items()), body or "")).encode()


def read_answer(conn):
    """Returns the status, headers and body of an answer, None if the
    connection ends before its end."""
    data = b""
    try:
        while True:
            head, mark, body = data.partition(b"\r\n\r\n")
            if mark:
                lines = head.decode().split("\r\n")
                names = {k.lower(): v for k, v in (
                    line.split(": ", 1) for line in lines[1:])}
                if len(body) >= int(names["content-length"]):
                    return (int(lines[0].split(" ")[1]), names, body.decode())
            part = conn.recv(65536)
            if not part:
                return None
            data += part
    except OSError:
        return None


class Caller:
    """Sends the calls one after another while the instance takes
    connections; a kept connection is used until it says that it closes."""

    def __init__(self, fleet, calls, is_kept):
        self.port, self.calls = fleet.operators[fleet.stopped], calls
        self.is_kept, self.conn = is_kept, None
        self.answers, self.lost = [], []

    def connect(self):
        self.conn = socket.create_connection(("127.0.0.1", self.port), 20)
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, call):
        """Returns whether the instance still takes calls."""
        try:
            if not self.conn:
                self.connect()
        except OSError:
            return False
        try:
            self.conn.sendall(text_of(*call))
        except OSError:
            self.lost.append(call)
            self.conn = None
            return True
        answer = read_answer(self.conn)
        (self.answers.append((call, answer)) if answer else
         self.lost.append(call))
        if (not answer or not self.is_kept or
                answer[1].get("connection") == "close"):
            self.conn.close()
            self.conn = None
        return True

    def is_closed(self):
        self.conn.settimeout(0)
        try:
            return self.conn.recv(1) == b""
        except BlockingIOError:
            return False

    def run(self):
        for call in self.calls:
            if not self.send(call):
                return


def claims_by_topup(callers):
    """Returns what the answers to top-ups say, by their keys: done, not
    done, or not known."""
    claims = {}
    for caller in callers:
        for call, answer in caller.answers:
            if call[1].endswith("/topups"):
                claims[call[3]["idempotency-key"]] = (
                    "done" if answer[0] == 200 else
                    answer[1]["x-mimosapath-run"])
    return claims


def check_claims(fleet, callers):
    """Sends top-ups again, which takes effect for those that were not done;
    returns the number of acknowledged ones that are not in the budget, and of
    those in the budget that were refused as not done."""
    claims = claims_by_topup(callers)
    wrong = Counter()
    for key in [k for k in claims if claims[k] == "done"] + [
            k for k in claims if claims[k] == "no"][:RESENT_MAX]:
        before = fleet.account(name="i0")["budget_mtok"]
        fleet.topup("w", 1, key, "i0")
        is_new = fleet.account(name="i0")["budget_mtok"] > before
        wrong[claims[key]] += is_new == (claims[key] == "done")
    return wrong


def play(role, platform, trouble):
    calls_of = platform_calls if platform else own_calls
    with RoleFleet(role, platform) as fleet:
        if platform:
            assert wait_for(lambda: fleet.operator_request(
                "POST", "/config/replace", platform_calls(fleet, 0)[0][2],
                name="i0").status == 200)
            assert wait_for(lambda: fleet.operator_request(
                "GET", "/config/read", name=fleet.stopped).status == 200)
        else:
            fleet.form = None
            assert wait_for(lambda: fleet.status("i0"))
            assert fleet.topup("w", 1, "first", "i0").status == 200
            assert wait_for(lambda: fleet.status(fleet.stopped))
            assert wait_for(lambda: "tokens" in fleet.operator_request(
                "GET", "/list/workspaces", name=fleet.stopped).body)
            fleet.form = fields(fleet.operator_request(
                "GET", "/list/workspaces", name=fleet.stopped).body)
        waiting = [Caller(fleet, [call], is_kept) for is_kept in (False, True)
                   for call in calls_of(fleet, 1 + is_kept)]
        later = [Caller(fleet, [call for number in range(400)
                                for call in calls_of(fleet, 1000 * n + number)
                                if call[0] == "GET" or "topup" in call[1]],
                        is_kept) for n, is_kept in
                 enumerate((False, True, True), 1)]
        for caller in waiting + later:
            if caller.is_kept:
                caller.connect()
        idle = Caller(fleet, [], True)
        idle.connect()
        held = 0
        if trouble.startswith("quorum"):
            fleet.freeze_others(signal.SIGSTOP)
        threads = [in_background(caller.run) for caller in waiting]
        time.sleep(0.1 if trouble else 0)
        if trouble == "disk stalls":
            fleet.stall_disk(fleet.stopped)
        process = fleet.processes[fleet.stopped]
        process.send_signal(signal.SIGTERM)
        threads += [in_background(caller.run) for caller in later]
        if trouble == "quorum comes back":
            time.sleep(1)
            fleet.freeze_others(signal.SIGCONT)
        if trouble == "disk stalls":
            time.sleep(3)
            held = not idle.is_closed()
            fleet.stall_disk(fleet.stopped, False)
        status = process.wait(30)
        if trouble == "quorum lost":
            fleet.freeze_others(signal.SIGCONT)
        for thread in threads:
            thread.join(30)
        wrong = (Counter() if platform else
                 check_claims(fleet, waiting + later))
    lost = Counter(call[:2] for c in waiting for call in c.lost)
    lost_later = Counter(call[:2] for c in later for call in c.lost)
    if os.environ.get("VERBOSE"):
        print("  answers", Counter((call[0], call[1], answer[0],
                                    answer[1].get("x-mimosapath-run"))
                                   for c in waiting + later
                                   for call, answer in c.answers),
              "\n  lost", lost, lost_later, file=sys.stderr)

    return ("%s %s %s: exit %s, lost %d, of later calls %d, changes lost %d, "
            "made though refused %d, idle connections held %d" % (
                role, "platform" if platform else "own", trouble or "calm",
                status, sum(lost.values()), sum(lost_later.values()),
                wrong["done"], wrong["no"], held))


plays = [(role, platform, trouble)
         for role in os.environ.get("ONLY", "both control relay").split()
         for platform in (False, True)
         for trouble in ("", "quorum comes back", "quorum lost") + (
             ("disk stalls",) if role != "relay" else ())]
with ThreadPoolExecutor(3) as pool:
    for line in pool.map(lambda p: play(*p), plays):
        print(line)
