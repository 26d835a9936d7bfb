#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python without requirements, so this only compiles them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q [0-9]
