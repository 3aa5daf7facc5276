"""A short run of tests/soak.py: eight seconds of faults, then a recovery."""
from soak import Soak

soak = Soak(seed=7, seconds=8)
soak.run_all()
print("requests served", soak.counts.get("once 200", 0) > 0,
      soak.counts.get("stream 200", 0) > 0)
print("violations", soak.violations)
