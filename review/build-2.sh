#!/bin/sh
# Build the stand-ins of the second review: they are Python without packages, so this
# compiles them to find what this Python can't read.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_2 [6-8]/*.py
