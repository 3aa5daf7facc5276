"""A target list of several pages, whose provider refuses a page when it is
asked too often: the reading goes on at that page, not from the start."""
import json
import time
from pathfleet import (Target, answer, path_conf, path_fleet, send,
                       wait_targets)

asked = []


def tell(target, sent, link):
    page = int(sent["path"].rpartition("=")[2] or 0) \
        if "=" in sent["path"] else 0
    asked.append(page)
    if page > 0 and asked.count(page) <= 2:
        return answer(link, sent, status=429)
    answer(link, sent, json.dumps({
        "targets": [entries[page]],
        "next": "%d" % (page + 1) if page < 2 else None}))


targets = [Target("t%d" % n, lambda t, sent, link: answer(
    link, sent, t.name)) for n in range(3)]
entries = [t.entry() for t in targets]
fleet, listed = path_fleet(targets, [path_conf("/plain/")], instances=1,
                           control=1, tell=tell)
with fleet:
    print("ready", wait_targets(fleet, "i0", "/plain/"))
    time.sleep(1)
    print("first reading", asked[:7])
    print("served by", sorted({send(fleet, "i0", "/plain/x").split(
        b"\r\n\r\n")[1].decode() for _ in range(24)}))
