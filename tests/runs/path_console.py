"""The console for paths: pools and their targets are shown, paths and prepaid
amounts are changed by forms, and the changes take effect."""
import re
import urllib.parse
from fleet import wait_for
from forms import fields
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       status_of, wait_targets)


def handle_request(target, request, conn):
    respond(conn, request)


targets = [SimTarget("t%d" % n, handle_request) for n in range(2)]
fleet, listed = path_fleet(targets, [path_conf("/ready/"),
                                     path_conf("/more/")],
                           prepaid=1000, instances=1, control=1)
listed.entries[1]["leaving"] = True
tokens = {"x-mimosapath-tokens": "2000,50"}
with fleet:
    def get(path):
        return fleet.operator_request("GET", path, name="i0").body

    def post(path, values):
        return fleet.operator_request(
            "POST", path, urllib.parse.urlencode(values),
            {"content-type": "application/x-www-form-urlencoded"}, "i0")

    def change(kind, name, **values):
        form = fields(get("/edit/%s/%s" % (kind, name)))
        form.update({"f." + key: value for key, value in values.items()})
        form["do"] = "save"
        review = post("/edit/" + kind, form)
        done = post("/submit", fields(review.body))
        print("change", kind, review.status, done.status)

    print("ready", wait_targets(fleet, "i0"))
    wait_for(lambda: "leaving" in get("/"))
    page = get("/")
    print("links", re.findall(r'href="/list/(paths|pools)"', page))
    print("targets", re.findall(r"<tr><td>(p)<td>(t\d)<td>.*?"
                                r'<td class="(?:good|bad)">([a-z]+)', page))
    print("too large", status_of(send(fleet, "i0", "/more/x",
                                      headers=tokens)))
    change("workspaces", "w", prepaid_tokens="5000")
    print("raised", wait_for(lambda: status_of(send(
        fleet, "i0", "/more/x", headers=tokens)) == "200"))
    wait_for(lambda: "Version 2" in get("/list/paths"))
    change("paths", "more", prefix="/less/")
    print("moved", wait_for(lambda: status_of(send(
        fleet, "i0", "/less/x")) == "200"),
        status_of(send(fleet, "i0", "/more/x")))
    print("outcomes", sorted(set(re.findall(
        r"<tr><td>(answered|refused)<td", get("/")))))
