"""A request that ends each upstream that runs it, before instances as real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from ..testing.crash_fleet import ALLOWED_ARRIVALS, CrashFleet
from ..testing.gateway_fleet import GatewayFleet

if TYPE_CHECKING:
    from pathlib import Path


class TestCrashingRequest:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_crashing_request_is_quarantined_at_all_instances(
        self, tmp_path: Path, seed: int
    ) -> None:
        # Guards against a request that ends upstream after upstream, sent again to other instances.
        with GatewayFleet(tmp_path) as fleet:
            crash_fleet = CrashFleet(fleet, seed)
            crash_fleet.run(duration_s=12.0, crash_gap_s=0.5, kill_at_s=5.0)
        assert len(crash_fleet.late_arrivals()) <= ALLOWED_ARRIVALS
