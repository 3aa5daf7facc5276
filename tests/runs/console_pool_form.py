"""The console's form of a pool: its engine is an object, which the form must
keep, and a field that holds no number gets a message."""
import json
import re
import urllib.parse
from fleet import wait_for
from forms import fields
from pathfleet import SimTarget, path_conf, path_fleet, respond, wait_targets


def handle_request(target, request, conn):
    respond(conn, request)


fleet, _ = path_fleet([SimTarget("t", handle_request)],
                      [path_conf("/ready/")], instances=1, control=1,
                      extra_pools=["plain"])
with fleet:
    def get(path):
        return fleet.operator_request("GET", path, name="i0").body

    def review(kind, name, **values):
        form = fields(get("/edit/%s/%s" % (kind, name)))
        form.update({"f." + key.replace("__", "."): value
                     for key, value in values.items()})
        form["do"] = "save"
        return fleet.operator_request(
            "POST", "/edit/" + kind, urllib.parse.urlencode(form),
            {"content-type": "application/x-www-form-urlencoded"}, "i0")

    def change(kind, name, **values):
        page = review(kind, name, **values)
        done = fleet.operator_request(
            "POST", "/submit", urllib.parse.urlencode(fields(page.body)),
            {"content-type": "application/x-www-form-urlencoded"}, "i0")
        print("change", kind, name, page.status, done.status)

    def pools():
        return json.loads(re.sub(r"^version \d+\n", "", get(
            "/control/v1/document")))["pools"]

    print("ready", wait_targets(fleet, "i0"))
    change("pools", "p", engine__slots="4")
    print("engine", wait_for(lambda: pools()["p"]["engine"]["slots"] == 4),
          pools()["p"]["engine"]["event_tokens"])
    wait_for(lambda: "Version 2" in get("/list/pools"))
    change("pools", "plain", connections_most="9")
    print("no engine", wait_for(lambda: "connections_most" in
                                pools()["plain"]),
          "engine" in pools()["plain"])
    for text in ("many", "1.5", "4x"):
        page = review("pools", "p", engine__slots=text)
        print("slots %r" % text, page.status, re.findall(
            r"<tr><td>(pools\.[^<(]*)", page.body))
