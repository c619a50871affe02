#!/bin/sh
# Check that the stand-ins of review 3 compile; they need nothing but Python.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q stand_ins_3 1[1-5]
