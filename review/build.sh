#!/bin/sh
# Builds the stand-ins: they are plain Python without dependencies, so this only checks
# that the interpreter of the deploy file compiles them.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review &&
    PYTHONPYCACHEPREFIX=target/review exec python3 -m compileall -q review
