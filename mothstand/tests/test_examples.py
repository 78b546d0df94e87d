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
    completed = subprocess.run(
        [sys.executable, *arguments],
        cwd=EXAMPLES.parent,
        capture_output=True,
        text=True,
        check=False,
        timeout=120.0,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return completed.stdout


class TestExamples:
    def test_run_prints_answer_and_refusal(self) -> None:
        output = run("examples/run.py")
        assert "answer: 200" in output
        assert "refusal: 402" in output
        assert "run state: not run" in output

    @pytest.mark.parametrize("user", ["kallhanvisa", "doto"])
    def test_deployment_serves_on_after_kill(self, user: str) -> None:
        output = run("examples/deployment.py", user)
        assert output.count(" serves\n") == 6
        assert "goes on" in output
        assert "taken [mixed:" in output
