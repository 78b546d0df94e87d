#!/bin/sh
# Builds the stand-ins of the second review's scripts: Python without dependencies, so it only
# checks that they can be compiled.
cd "$(dirname "$0")/.." && exec python3 - review/harness2.py review/*/play.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
