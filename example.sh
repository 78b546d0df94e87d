#!/usr/bin/env bash
# Installs, then runs a small fleet on loopback: an answer, the bill, a refusal, the budget.
set -eu
cd "$(dirname "$0")"
./setup.sh
.venv/bin/python examples/run.py
