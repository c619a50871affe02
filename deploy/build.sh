#!/bin/sh
# Install the program and the packages that it depends on into target/deps.
set -eu
deps=target/deps
if [ ! target/.packages -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch target/.packages
fi
if [ ! -e target/.sources ] || [ -n "$(find src -name '*.py' -newer target/.sources | head -n 1)" ]; then
    rm -rf "$deps/gooseberrydeal"
    cp -R src/gooseberrydeal "$deps/gooseberrydeal"
    python3 -m compileall -q "$deps/gooseberrydeal"
    touch target/.sources
fi
