"""Tests that the fleet keeps its retry budget in each window, with any membership view."""

from __future__ import annotations

import pytest

from ..testing.retry_faults import InjectedFault
from ..testing.retry_histories import ALL_DISRUPTIONS, Disruption, RetryHistory

_SEEDS = range(12)


def seeds_exceeding_budget(disruptions: Disruption, *, instances: int = 6) -> list[int]:
    histories = [RetryHistory(seed, disruptions, instances=instances) for seed in _SEEDS]
    return [history.seed for history in histories if history.run().exceeds_budget]


class TestRetryHistories:
    def test_budget_holds_when_load_moves_between_instances(self) -> None:
        # Guards against retries allowed by requests that lie outside the fleet's window.
        assert (
            seeds_exceeding_budget(Disruption.JUMPS) + seeds_exceeding_budget(Disruption.NONE) == []
        )

    def test_budget_holds_when_instances_restart_repeatedly(self) -> None:
        # Guards against a restarted instance that uses its share of the burst again in one window.
        assert seeds_exceeding_budget(Disruption.KILLS) == []

    def test_budget_holds_when_store_is_unreachable(self) -> None:
        # The store may be unreachable from the start. Guards against an instance that then uses the
        # whole burst because it knows no other instance.
        assert seeds_exceeding_budget(Disruption.STORE_AWAY) == []

    def test_budget_holds_when_instances_are_added(self) -> None:
        # Guards against new instances that use a share of the burst before the others release it.
        assert seeds_exceeding_budget(Disruption.ADDED) == []

    def test_budget_holds_when_processes_freeze(self) -> None:
        # Guards against counting a request as sent when a frozen process resumed and read it.
        assert seeds_exceeding_budget(Disruption.FREEZES) == []

    @pytest.mark.parametrize("instances", [6, 18])
    def test_budget_holds_with_all_disruptions(self, instances: int) -> None:
        assert seeds_exceeding_budget(ALL_DISRUPTIONS, instances=instances) == []

    @pytest.mark.parametrize(
        ("fault", "disruptions"),
        [
            (InjectedFault.COUNTS_ONE_WINDOW, Disruption.NONE),
            (InjectedFault.FORGETS_RETRIES, Disruption.KILLS),
            (InjectedFault.DIVIDES_BY_FLEET_SIZE, Disruption.STORE_AWAY),
            (InjectedFault.IGNORES_STALLS, Disruption.FREEZES),
            (InjectedFault.USES_SHARE_AT_ONCE, Disruption.STORE_AWAY | Disruption.ADDED),
        ],
    )
    def test_injected_fault_is_found(self, fault: InjectedFault, disruptions: Disruption) -> None:
        histories = (RetryHistory(seed, disruptions, fault) for seed in range(24))
        assert any(history.run().exceeds_budget for history in histories)
