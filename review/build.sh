#!/usr/bin/env bash
# Compiles the stand-ins and cases. They need the standard library alone.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
