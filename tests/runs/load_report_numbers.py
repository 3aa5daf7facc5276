"""Load reports of targets that share their machines have a fourth number: how
long work takes at this moment.  Reports with it, and with numbers that are not
known yet, were discarded as a whole."""
import re
from fleet import wait_for
from pathfleet import (SimTarget, path_conf, path_fleet, respond, send,
                       status_of, wait_targets)

reports = {"header": ""}


def handle_request(target, req, conn):
    respond(conn, req, extra_headers=reports["header"])


targets = [SimTarget("t0", handle_request)]
fleet, listed = path_fleet(targets, [
    path_conf("/ready/"), path_conf("/call/", repeat="any")])


def next_sent(report):
    """Sends a request whose response has the report, then another one; returns
    the fields of the latter's request-sent."""
    reports["header"] = "x-mimosapath-load: %s\r\n" % report if report else ""
    name = fleet.names[0]
    statuses = [status_of(send(fleet, name, "/call/x")) for _ in range(2)]
    lines = [line for line in open(fleet.path(name + ".log"))
             if " request-sent " in line]
    return statuses, dict(re.findall(r"(\w+)=(\S+)", lines[-1]))


def count_lines(event):
    return open(fleet.path(fleet.names[0] + ".log")).read().count(
        " %s " % event)


with fleet:
    print("ready", all(wait_targets(fleet, name) for name in fleet.names))
    for report in ("0,0,8", "0,0,8,300", "0,0,8,300,7,x"):
        statuses, fields = next_sent(report)
        print(report, statuses, "told", int(fields["told_age_ms"]) >= 0,
              "slow", int(fields["slow_percent"]) > 110,
              "figure", int(fields["figure_age_ms"]) >= 0,
              "left the zone", fields["zone_left"])
    print("unreadable", count_lines("target-load-invalid"))
    print("only the fourth unreadable", next_sent("0,0,8,fast")[0],
          wait_for(lambda: count_lines("target-load-invalid") == 1))
