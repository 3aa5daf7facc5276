"""A seeded run of tests/soak.py in which the document changes in series, with
short and long idle timeouts in turn, beside SIGHUP, stops and freezes: no request
is closed without a byte."""
from soak import CHANGE_KINDS, Soak

soak = Soak(seed=31, seconds=8, kinds=CHANGE_KINDS + " change term term freeze")
soak.run_all()
print("requests served", soak.counts.get("once 200", 0) > 0,
      soak.counts.get("stream 200", 0) > 0,
      "document changed", soak.counts.get("change", 0) > 1)
print("violations", soak.violations)
