"""Tests of the schedule of long prompts under load, in fake time."""

from __future__ import annotations

from dataclasses import replace

from .prefill import LOADS, run_way


def test_scheduled_documents_hold_up_fewer_questions() -> None:
    """Guards against a schedule that serves one kind of request at the cost of the other."""
    load = replace(LOADS["documents x2.4"], duration_s=8.0)
    alone, scheduled = run_way(load, "each instance", seed=0), run_way(load, "calendar", seed=0)
    assert scheduled.late_share("document") < alone.late_share("document")
    assert scheduled.late_share("question") < alone.late_share("question")
