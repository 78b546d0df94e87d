#!/usr/bin/env bash
# Builds dist/mothstand: one file with mothstand and its libraries, run by the machine's Python.
# See docs/design/binary.md for the ways weighed.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv/bin/python}"
# A folder left by an earlier build would bring back modules that are gone.
rm -rf build dist
mkdir -p build/binary dist
"$python" -m pip install --quiet --disable-pip-version-check --target build/binary .
"$python" tools/pack_binary.py build/binary dist/mothstand
echo "dist/mothstand: $(stat -c %s dist/mothstand) bytes"
