"""Changes of the target list reach the instances as partial updates instead of
the whole list: targets that are added, leaving, removed and added again."""
import re
import time
from fleet import wait_for
from pathfleet import SimTarget, respond, path_conf, path_fleet, send, \
    wait_targets

targets = [SimTarget("t%d" % n, lambda t, req, conn: respond(
    conn, req, t.name)) for n in range(4)]
fleet, listed = path_fleet(targets[:3], [path_conf("/plain/")], instances=3,
                           control=1)
with fleet:
    def update_kinds(name):
        """Returns how the instance got each update so far."""
        with open(fleet.path(name + ".log")) as log:
            return re.findall(r" targets-changed .* from=(\w+)", log.read())

    def serving_targets():
        """Returns the targets that serve 16 requests to each instance."""
        return {send(fleet, name, "/plain/x").split(b"\r\n\r\n")[1].decode()
                for name in fleet.names for _ in range(16)}

    def apply_change(label, entries, unavailable):
        count_before = {name: len(update_kinds(name)) for name in fleet.names}
        listed.entries = entries
        is_applied = wait_for(lambda: all(
            len(update_kinds(name)) > count_before[name]
            for name in fleet.names))
        print(label, bool(is_applied), "not served by",
              sorted(unavailable & serving_targets()))

    print("ready", all(wait_targets(fleet, name, "/plain/")
                       for name in fleet.names))
    time.sleep(2)  # until the leader reads the list
    count_at_start = {name: len(update_kinds(name)) for name in fleet.names}
    apply_change("one removed, one added",
                 [t.entry() for t in (targets[3], targets[0], targets[1])],
                 {"t2"})
    apply_change("one leaving", [
        targets[3].entry(), targets[0].entry(leaving=True),
        targets[1].entry()], {"t0", "t2"})
    apply_change("all added again", [t.entry() for t in targets], set())
    print("as changes", [update_kinds(name)[count_at_start[name]:]
                         for name in fleet.names])
