"""A target list of several pages, whose provider refuses pages when requests
are too frequent: reading continues at the refused page, not at the start."""
import collections
import itertools
import json
from fleet import wait_for
from pathfleet import (SimTarget, respond, path_conf, path_fleet, send,
                       wait_targets)

pages_by_read = collections.defaultdict(list)  # number of a read -> pages
read_numbers = itertools.count()
request_counts = collections.Counter()


def list_handler(target, req, conn):
    # The page token names the read as well, as several go on at once.
    if "=" in req["path"]:
        read, page = map(int, req["path"].rpartition("=")[2].split("-"))
    else:
        read, page = next(read_numbers), 0
    pages = pages_by_read[read]
    pages.append(page)
    request_counts[page] += 1
    if page > 0 and request_counts[page] <= 2:
        pages.append("refused")
        return respond(conn, req, status=429)
    respond(conn, req, json.dumps({
        "targets": [entries[page]],
        "next": "%d-%d" % (read, page + 1) if page < 2 else None}))


targets = [SimTarget("t%d" % n, lambda t, req, conn: respond(
    conn, req, t.name)) for n in range(3)]
entries = [t.entry() for t in targets]
fleet, listed = path_fleet(targets, [path_conf("/plain/")], instances=1,
                           control=1, list_handler=list_handler)
with fleet:
    print("ready", wait_targets(fleet, "i0", "/plain/"))
    print("served by all", bool(wait_for(lambda: {send(
        fleet, "i0", "/plain/x").split(b"\r\n\r\n")[1].decode()
        for _ in range(24)} == {"t0", "t1", "t2"})))

    def pages_around_refusals():
        return sorted((pages[i - 1], pages[i + 1])
                      for pages in pages_by_read.values()
                      for i in range(1, len(pages) - 1)
                      if pages[i] == "refused")

    wait_for(lambda: len(pages_around_refusals()) == 4)
    print("after refusals", pages_around_refusals())
