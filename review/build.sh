#!/bin/sh
# Compile the stand-ins and the cases; they need Python and target/deps only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-9]
test -d ../target/deps || { echo "run deploy/build.sh first" >&2; exit 2; }
