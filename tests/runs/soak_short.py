"""A short run of tests/soak.py: eight seconds of faults, then a recovery."""
from soak import ALL_KINDS, Soak

# The other garbled answers are in soak_garbled.
kinds = [k for k in ALL_KINDS.split() if not k.startswith("garble/") or
         k.split("/")[1] in ("late", "torn", "pieces", "bodiless")]
soak = Soak(seed=7, seconds=8, kinds=" ".join(kinds))
soak.run_all()
print("requests served", soak.counts.get("once 200", 0) > 0,
      soak.counts.get("stream 200", 0) > 0)
print("violations", soak.violations)
