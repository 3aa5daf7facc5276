#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
