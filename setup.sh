#!/usr/bin/env bash
# Makes .venv and installs mothstand with what its tests need.
set -eu
cd "$(dirname "$0")"
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/python -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
