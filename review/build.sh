#!/bin/sh
# The stand-ins are Python programs of the standard library alone; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
