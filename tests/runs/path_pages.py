"""A target list of several pages, whose provider refuses pages when it is
asked too often: the reading goes on at that page, not from the start."""
import collections
import json
from fleet import wait_for
from pathfleet import (Target, answer, path_conf, path_fleet, send,
                       wait_targets)

asked = collections.defaultdict(list)  # connection -> pages
refused = collections.Counter()


def tell(target, sent, link):
    page = int(sent["path"].rpartition("=")[2]) if "=" in sent["path"] else 0
    pages = asked[link.getpeername()]
    pages.append(page)
    refused[page] += 1
    if page > 0 and refused[page] <= 2:
        pages.append("refused")
        return answer(link, sent, status=429)
    answer(link, sent, json.dumps({
        "targets": [entries[page]],
        "next": str(page + 1) if page < 2 else None}))


targets = [Target("t%d" % n, lambda t, sent, link: answer(
    link, sent, t.name)) for n in range(3)]
entries = [t.entry() for t in targets]
fleet, listed = path_fleet(targets, [path_conf("/plain/")], instances=1,
                           control=1, tell=tell)
with fleet:
    print("ready", wait_targets(fleet, "i0", "/plain/"))
    print("served by all", bool(wait_for(lambda: {send(
        fleet, "i0", "/plain/x").split(b"\r\n\r\n")[1].decode()
        for _ in range(24)} == {"t0", "t1", "t2"})))

    def after():
        return sorted((pages[i - 1], pages[i + 1])
                      for pages in asked.values()
                      for i in range(1, len(pages) - 1)
                      if pages[i] == "refused")

    wait_for(lambda: len(after()) == 4)
    print("after refusals", after())
