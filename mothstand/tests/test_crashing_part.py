"""Tests the quarantine of prompt parts that crash upstreams, with real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from ..testing.crash_fleet import ALLOWED_ARRIVALS, CrashCause, CrashFleet
from ..testing.gateway_fleet import GatewayFleet

if TYPE_CHECKING:
    from pathlib import Path

#: Least share of the other requests that are answered once the part is quarantined.
_ANSWERED_SHARE = 0.95


class TestCrashingPart:
    @pytest.mark.parametrize("kill_at_s", [None, 4.0], ids=["no-kills", "kills"])
    def test_part_that_crashes_upstreams_is_quarantined_at_all_instances(
        self, tmp_path: Path, kill_at_s: float | None
    ) -> None:
        # Guards against a prompt part that crashes further upstreams in requests that all differ.
        with GatewayFleet(tmp_path) as fleet:
            crash_fleet = CrashFleet(fleet, 1, CrashCause.PROMPT_PART, requests_per_s=40.0)
            crash_fleet.run(duration_s=16.0, crash_gap_s=0.5, kill_at_s=kill_at_s)
        assert len(crash_fleet.late_arrivals()) <= ALLOWED_ARRIVALS
        assert crash_fleet.answered_share() >= _ANSWERED_SHARE

    def test_part_of_relayed_requests_is_quarantined(self, tmp_path: Path) -> None:
        # Guards against crashes under requests that come through peers and are blamed on nothing.
        with GatewayFleet(tmp_path) as fleet:
            crash_fleet = CrashFleet(
                fleet, 1, CrashCause.PROMPT_PART, is_partitioned=True, requests_per_s=40.0
            )
            crash_fleet.run(duration_s=16.0, crash_gap_s=0.5, kill_at_s=None)
        assert crash_fleet.crashes()
        assert len(crash_fleet.late_arrivals()) <= ALLOWED_ARRIVALS
        assert crash_fleet.answered_share() >= _ANSWERED_SHARE
