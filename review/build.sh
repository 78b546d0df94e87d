#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and need the standard library only, so this
# just compiles them.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q .
