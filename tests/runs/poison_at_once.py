"""The same crashing request is sent simultaneously under different keys,
before any crash is known.  At most two targets may crash."""
from fleet import Fleet, in_background

with Fleet(instances=3, control=3, engines=6) as fleet:
    threads = [in_background(lambda n=n: fleet.chat(
        "i%d" % (n % 3), "id=x #crash", key="poison-%d" % n, tokens=5))
        for n in range(8)]
    for thread in threads:
        thread.join(30)
    crashed = sum(fleet.processes[n].poll() is not None
                  for n in fleet.engine_names)
    print("within the bound of 2", crashed <= 2)
