#!/bin/sh
# The stand-ins of review/6 to 10 are Python scripts; there is nothing to
# compile.  Checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c 'import ast, glob
for name in glob.glob("review/lib-2/*.py") + glob.glob("review/[6-9]/*.py") + glob.glob("review/10/*.py"):
    ast.parse(open(name).read())'
