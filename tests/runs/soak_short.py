"""A short soak: eight seconds of faults in series, then calm (tests/soak.py)."""
from soak import Soak

soak = Soak(seed=7, seconds=8)
soak.play()
print("played", soak.counts.get("once 200", 0) > 0,
      soak.counts.get("stream 200", 0) > 0)
print("broken", soak.broken)
