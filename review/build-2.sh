#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, in cases 6 to 10. They
# need only Python and its standard library.
cd "$(dirname "$0")" && exec python3 -m compileall -q common2 6 7 8 9 10
