"""Changes of the target list reach the instances as changes, not as the whole
list: targets that come, that leave, that go and that come back."""
import re
import time
from fleet import wait_for
from pathfleet import Target, answer, path_conf, path_fleet, send, wait_targets

targets = [Target("t%d" % n, lambda t, sent, link: answer(
    link, sent, t.name)) for n in range(4)]
fleet, listed = path_fleet(targets[:3], [path_conf("/plain/")], instances=3,
                           control=1)
with fleet:
    def kinds(name):
        """How the instance learned of each change so far."""
        with open(fleet.path(name + ".log")) as log:
            return re.findall(r" targets-changed .* from=(\w+)", log.read())

    def served():
        """Targets that serve 16 requests of each instance."""
        return {send(fleet, name, "/plain/x").split(b"\r\n\r\n")[1].decode()
                for name in fleet.names for _ in range(16)}

    def change(what, entries, away):
        before = {name: len(kinds(name)) for name in fleet.names}
        listed.entries = entries
        told = wait_for(lambda: all(len(kinds(name)) > before[name]
                                    for name in fleet.names))
        print(what, bool(told), "not served by", sorted(away & served()))

    print("ready", all(wait_targets(fleet, name, "/plain/")
                       for name in fleet.names))
    time.sleep(2)  # the leader reads the list from now on
    first = {name: len(kinds(name)) for name in fleet.names}
    change("one goes, one comes",
           [t.entry() for t in (targets[3], targets[0], targets[1])], {"t2"})
    change("one leaves", [targets[3].entry(), targets[0].entry(leaving=True),
                          targets[1].entry()], {"t0", "t2"})
    change("all are back", [t.entry() for t in targets], set())
    print("as changes", [kinds(name)[first[name]:] for name in fleet.names])
