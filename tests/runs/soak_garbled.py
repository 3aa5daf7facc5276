"""Short runs of tests/soak.py with all faults: targets that garble their
answers, beside instances that are killed, stopped and cut off."""
from soak import Soak

for seed in (1, 2, 3):
    soak = Soak(seed, seconds=14)
    soak.run_all()
    print("requests served", soak.counts.get("once 200", 0) > 0,
          soak.counts.get("stream 200", 0) > 0)
    print("violations", soak.violations)
