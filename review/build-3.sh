#!/bin/sh
# Prepares what the scripts of the third review start, after the build of the
# deploy file: the system's programs need target/deps, and the stand-ins are
# Python modules that need only the standard library.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
python3 -m compileall -q review/common3 review/11 review/12 review/13 review/14 review/15
status=$?
rm -rf "$PYTHONPYCACHEPREFIX"
exit $status
