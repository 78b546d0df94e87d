#!/usr/bin/env bash
# Installs, then runs formatter, linter, type check and tests.
set -eu
cd "$(dirname "$0")"
./setup.sh
.venv/bin/ruff format --check .
.venv/bin/ruff check .
.venv/bin/mypy
.venv/bin/python -m pytest "$@"
