"""A zone is drained and restored by the command line, the control API and the
console, in a fleet with native requests.  Guards against native requests and
polls to targets of a drained zone, and against a repeated order that follows a
later one."""
import re
import subprocess
import time
import urllib.parse

from fleet import PROGRAM, Fleet, request, wait_for
from forms import fields

SPARE = "i3"


class ZoneFleet(Fleet):
    """engine-1 is in zone b, all other targets are in zone a."""

    def document(self):
        document = super().document()
        document["targets"]["engine-1"]["zone"] = "b"
        return document


with ZoneFleet(instances=4, control=3) as fleet:
    def command(verb, zone, *options):
        result = subprocess.run(
            [PROGRAM, "zone", "--address",
             "127.0.0.1:%d" % fleet.operators["i1"], "--token-file",
             fleet.path("token"), *options, verb, zone],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        return result.returncode

    def order(verb, zone="a", order_id=None, **options):
        headers = {"idempotency-key": order_id} if order_id else {}
        return fleet.operator_request(
            "POST", "/control/v1/zones/%s/%s" % (zone, verb), None, headers,
            **options).status

    def zones():
        return [(z["zone"], z["drained"], z["version"])
                for z in fleet.status()["zones"]]

    def picked(target):
        """How often each instance has picked the target."""
        counts = []
        for name in fleet.names:
            metrics = request(fleet.operators[name], "GET", "/metrics").body
            match = re.search(r'mimosapath_target_picked_total\{target="%s"\}'
                              r' (\d+)' % target, metrics)
            counts.append(int(match.group(1)) if match else 0)
        return counts

    def is_in_force(drained):
        return all("mimosapath_zones_drained %d\n" % drained in request(
            fleet.operators[n], "GET", "/metrics").body for n in fleet.names)

    def statuses(count=12):
        return {fleet.chat(n, "write", tokens=3).status
                for n in fleet.names for _ in range(count)}

    print("status:", zones())
    print("command:", command("drain", "a"), "bad verb:",
          command("empty", "a"), "bad name:", command("drain", "a b"))
    print("in force:", wait_for(lambda: is_in_force(1), 5), zones())
    before = picked("engine-0")
    print("chat:", statuses(), "drained engine picked:",
          picked("engine-0") != before)
    began_s = time.monotonic()
    refused = fleet.call(SPARE, "/services/s/stock/5", method="GET")
    print("service of the drained zone:", refused.status, refused.run_claim(),
          "at once:", time.monotonic() - began_s < 2)
    page = fleet.operator_request("GET", "/", name=SPARE).body
    print("console shows it:", "zone drained" in page,
          bool(re.search(r'<td>a<td class="bad">drained', page)))

    form = fields(page)
    form.update({"zone": "a", "do": "restore"})

    def post(values):
        return fleet.operator_request(
            "POST", "/zone", urllib.parse.urlencode(values),
            {"content-type": "application/x-www-form-urlencoded"},
            SPARE).status
    print("form:", post(form), "sent twice:", post(form),
          "bad name:", post(dict(form, zone="a b")),
          "foreign:", post(dict(form, code="x")))
    print("in force:", wait_for(lambda: is_in_force(0), 5), zones())
    print("service again:", bool(wait_for(lambda: fleet.call(
        SPARE, "/services/s/stock/5", method="GET").status == 200)))
    print("engine again:", bool(wait_for(
        lambda: statuses(2) and picked("engine-0") != before)))

    print("api:", order("drain", order_id="1"), order("restore", order_id="1"),
          order("drain", order_id="1"), order("drain", order_id="1"))
    print("a repeat does not follow a later order:", zones())
    print("without id:", order("drain"), "bad name:",
          order("drain", zone="a,b", order_id="2"), "unknown verb:",
          order("empty", order_id="2"), "without token:", order(
              "drain", order_id="2", name="i0") and request(
                  fleet.operators["i0"], "POST",
                  "/control/v1/zones/a/drain").status)
