"""An instance that is killed and started while its disk is full serves callers
as a router, and votes again when there is room."""
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, fillable=("i0", "i1", "i2")) as fleet:
    def count(name, event):
        return open(fleet.path(name + ".log")).read().count(event)

    for name in fleet.control:
        fleet.fill_disk(name, room_bytes=10)
        print("full", bool(wait_for(lambda: [
            fleet.topup("w", 1), count(name, "disk-full")][1], 30)))
        fleet.kill(name)
        fleet.start(name)
        fleet.wait_ready([name])
        print("full again", bool(wait_for(lambda: [
            fleet.topup("w", 1), count(name, "disk-full") > 1][1], 30)))
        print("served there", fleet.retry(lambda: fleet.chat(
            name, "id=a", tokens=2)).status)
        fleet.empty_disk(name)
        print("room again", bool(wait_for(lambda: count(
            name, "disk-has-room"), 30)), fleet.processes[name].poll())

    # What was acknowledged meanwhile is on the disks.
    granted = fleet.account()["budget_mtok"]
    for name in fleet.control:
        fleet.kill(name)
    for name in fleet.control:
        fleet.start(name)
    fleet.wait_ready()
    print("none lost", fleet.account()["budget_mtok"] == granted)
