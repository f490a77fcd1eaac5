#!/bin/sh
# Checks the stand-ins of the cases 11 to 15. They are Python programs of the standard library alone,
# so that nothing is compiled.
set -eu
cd "$(dirname "$0")"
for file in lib-3/fleet.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
