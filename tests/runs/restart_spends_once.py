"""An instance with a data folder is killed right after it has delivered, again
and again: what its earlier lives held of a prepaid amount stays counted, so
that no more is delivered than the amount."""
import signal
from pathfleet import (Target, answer, answer_stream, ask_stream, path_conf,
                       path_fleet, wait_targets)

PREPAID, PROMPT, EVENTS, EVENT_TOKENS = 4000, 50, 8, 3


def behave(target, sent, link):
    if sent["path"].startswith("/ready/"):
        return answer(link, sent)
    answer_stream(link, sent, EVENTS)


target = Target("t", behave)
fleet, listed = path_fleet([target], [
    path_conf("/ready/"), path_conf("/stream/", stream=True)],
    prepaid=PREPAID, instances=1, control=1)
with fleet:
    delivered = 0
    for life in range(8):
        if not wait_targets(fleet, "i0"):
            print("not ready")
        for number in range(12):
            delivered += ask_stream(fleet, "i0", "r-%d-%d" % (life, number),
                                    PROMPT, EVENTS, EVENT_TOKENS)[1]
        fleet.kill("i0", signal.SIGKILL)
        fleet.start("i0")
        fleet.wait_ready()
    print("some delivered", delivered > 0)
    print("no more than the amount", delivered <= PREPAID)
