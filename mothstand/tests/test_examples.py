"""Tests that run the examples as a newcomer does."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

EXAMPLES = Path(__file__).parents[2] / "examples"


def run(*arguments: str) -> str:
    """Run an example until it exits and return its output."""
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=EXAMPLES.parent,
        capture_output=True,
        text=True,
        check=False,
        timeout=120.0,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    return done.stdout


class TestExamples:
    def test_answer_bill_and_refusal(self) -> None:
        printed = run("examples/run.py")
        assert "answer: 200" in printed
        assert "refusal: 402" in printed
        assert "run state: not run" in printed

    @pytest.mark.parametrize("user", ["kallhanvisa", "doto"])
    def test_first_deployment(self, user: str) -> None:
        printed = run("examples/deployment.py", user)
        assert printed.count(" serves\n") == 6
        assert "goes on" in printed
        assert "taken [mixed:" in printed
