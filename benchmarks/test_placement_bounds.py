"""Tests of placement under load, in fake time."""

from __future__ import annotations

from dataclasses import replace

from mothstand.core.placement import PlacementPolicy

from .placement import SITES, Fleet, Outcome, PaceSharing


def run_uneven(sharing: PaceSharing) -> Outcome:
    """Run fifteen seconds of the load on engines of uneven pace."""
    site = replace(SITES["ninety uneven"], duration_s=15.0)
    return Fleet(site, PlacementPolicy(), 1, sharing).run()


def test_announced_paces_keep_long_prompts_from_streams_of_slow_engines() -> None:
    """Guards against short requests that pause because a slow engine reads long prompts."""
    unaware, aware = run_uneven(PaceSharing.NONE), run_uneven(PaceSharing.ANNOUNCED)
    assert aware.late_share("question") < unaware.late_share("question")
    assert aware.late_share("document") <= unaware.late_share("document")
