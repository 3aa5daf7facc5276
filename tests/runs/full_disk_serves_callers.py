"""An instance that is a router and a control replica loses no request under
way when its disk is full, goes on as a router, and votes again when there is
room."""
from concurrent.futures import ThreadPoolExecutor
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3, fillable=("i0", "i1", "i2"),
           engine_options=("--token-us", "250000")) as fleet:
    def is_logged(name, event):
        return event in open(fleet.path(name + ".log")).read()

    # Returns whether the caller got its answer, a refusal, or an error event.
    def stream(name, number):
        answer = fleet.chat(name, "id=%s-%d" % (name, number), tokens=100,
                            stream=True, key="%s-%d" % (name, number),
                            timeout=60)
        return (answer.status >= 400 or "[DONE]" in answer.body or
                'data: {"error"' in answer.body)

    leader = fleet.leader()
    for name in sorted(fleet.control, key=lambda n: (n != leader, n)):
        process = fleet.processes[name]
        with ThreadPoolExecutor(16) as pool:
            answers = [pool.submit(stream, name, n) for n in range(12)]
            wait_for(lambda: fleet.run_count(name + "-0"))
            fleet.fill_disk(name, room_bytes=10)
            seen = wait_for(lambda: [
                fleet.topup("w", 1), is_logged(name, "disk-full")][1], 30)
            others = fleet.retry(lambda: fleet.chat(
                name, "id=more", tokens=2), seconds=30)
            ends = [answer.result() for answer in answers]
        print("full", bool(seen), "served there", bool(others),
              "answered or refused", sum(ends), "of", len(ends),
              "runs", process.poll() is None)
        fleet.empty_disk(name)
        print("room again", bool(wait_for(lambda: is_logged(
            name, "disk-has-room"), 30)), process.poll() is None)
