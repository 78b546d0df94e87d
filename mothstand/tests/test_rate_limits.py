"""Tests of the rate limits that upstreams name in their answers."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

import pytest

from ..standins.users_engine import Arrival
from ..testing.gateway_fleet import GatewayFleet
from ..testing.limit_histories import LimitFault, LimitHistory, LimitSettings

if TYPE_CHECKING:
    from pathlib import Path

    from ..testing.fleet import FleetProcess

_LIMIT_PER_S = 1.0

#: The operators' bound: from `_STABLE_WINDOW_S` after an upstream first named its limit, it gets at
#: most one and a half times the limit and five requests more in `_WINDOW_S`.
_STABLE_WINDOW_S = 3.0
_WINDOW_S = 4.0
_MAX_ARRIVALS = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5

_DURATION_S = 9.0
_REQUEST_INTERVAL_S = 0.15


def _most_in_window(arrivals_s: list[float]) -> int:
    """Return the most arrivals in any window."""
    return max(sum(a <= t < a + _WINDOW_S for t in arrivals_s) for a in arrivals_s)


def _send_for(
    fleet: GatewayFleet, instance: FleetProcess, duration_s: float, statuses: list[int]
) -> None:
    until_s = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < until_s:
        number += 1
        statuses.append(fleet.send_request(instance, f"{instance.name}-{number}").status_code)
        time.sleep(_REQUEST_INTERVAL_S)


@pytest.mark.processes
class TestFleet:
    def test_fleet_keeps_the_rate_limit_that_an_upstream_names(self, tmp_path: Path) -> None:
        """Guards against instances that each send what an upstream accepts from all together."""
        with GatewayFleet(tmp_path) as fleet:
            fleet.publish(prepaid_tokens=1_000_000)
            fleet.start_engine("e-1", rate_limit=str(_LIMIT_PER_S))
            fleet.start_engine("e-2")
            instances = [fleet.start_instance(name) for name in ("a", "b", "c")]
            statuses: list[int] = []
            callers = [
                threading.Thread(target=_send_for, args=(fleet, instance, _DURATION_S, statuses))
                for instance in instances
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            lines = fleet.arrivals_path.read_text(encoding="utf-8").splitlines()
        arrivals = [Arrival(**json.loads(line)) for line in lines]
        limited_s = sorted(a.at_s for a in arrivals if a.upstream_id == "e-1")
        counted_s = [at_s for at_s in limited_s if at_s >= limited_s[0] + _STABLE_WINDOW_S]
        assert counted_s, "the limited upstream is not used at all"
        assert _most_in_window(counted_s) <= _MAX_ARRIVALS
        assert set(statuses) == {200}


class TestHistories:
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("limit_per_s", [0.3, 1.9, 8.0])
    @pytest.mark.parametrize("instances", [6, 90, 300])
    def test_limit_holds_for_the_fleet(self, instances: int, limit_per_s: float, seed: int) -> None:
        settings = LimitSettings(
            instances, limit_per_s, requests_per_s=15.0 * limit_per_s + 30, disruptions=6
        )
        assert LimitHistory(settings, seed).run().worst_share <= 1

    @pytest.mark.parametrize("fault", [LimitFault.EACH_ALONE, LimitFault.IGNORES_LIMITS])
    def test_planted_fault_is_found(self, fault: LimitFault) -> None:
        settings = LimitSettings(6, 1.9, requests_per_s=60.0, fault=fault)
        assert LimitHistory(settings, 0).run().worst_share > 1

    @pytest.mark.parametrize("limit_per_s", [0.3, 1.9, 8.0])
    @pytest.mark.parametrize("instances", [1, 6, 90])
    def test_limited_upstream_is_used(self, instances: int, limit_per_s: float) -> None:
        """Guards against limits that are divided into shares too small for any request."""
        settings = LimitSettings(instances, limit_per_s, requests_per_s=20.0 * limit_per_s + 60)
        result = LimitHistory(settings, 0).run()
        limited_s = settings.limited_to_s - settings.limited_from_s
        assert result.limited_arrivals >= 0.5 * limit_per_s * limited_s

    def test_upstream_is_used_by_all_after_its_limit_has_ended(self) -> None:
        settings = LimitSettings(6, 1.9, requests_per_s=60.0, duration_s=50.0)
        assert LimitHistory(settings, 0).run().blocked_at_end == 0
