#!/usr/bin/env bash
# Installs into a folder of the build, builds and runs a program against the installed library, and
# runs the installed programs on the installed examples.
set -euo pipefail
source_dir=$1
build_dir=$2
prefix=$build_dir/installed
cmake --install "$build_dir" --prefix "$prefix" >/dev/null
cmake -S "$source_dir/tests/install" -B "$build_dir/consumer" -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
cmake --build "$build_dir/consumer" >/dev/null
"$build_dir/consumer/consumer"
examples=$prefix/share/tarragonlock/examples
"$prefix/bin/tarragonlock-entry" --settings "$examples/entry.yaml" --check
"$prefix/bin/tarragonlock-agent" --settings "$examples/agent.yaml" --check
"$prefix/bin/tarragonlock" check "$examples/clearing.yaml"
