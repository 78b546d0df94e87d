"""The fleet's retry budget holds in each window, whatever its instances believe of one another."""

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
        # Guards against retries paid for by requests that the fleet's window does not have.
        assert (
            seeds_exceeding_budget(Disruption.JUMPS) + seeds_exceeding_budget(Disruption.NONE) == []
        )

    def test_budget_holds_when_instances_restart_repeatedly(self) -> None:
        # Guards against a start that has its part of the burst anew within the same window.
        assert seeds_exceeding_budget(Disruption.KILLS) == []

    def test_budget_holds_when_store_is_unreachable(self) -> None:
        # Guards against an instance that takes itself for the whole fleet.
        assert seeds_exceeding_budget(Disruption.STORE_AWAY) == []

    def test_budget_holds_when_instances_are_added(self) -> None:
        # Guards against parts of the burst that newcomers take before others give them up.
        assert seeds_exceeding_budget(Disruption.ADDED) == []

    def test_budget_holds_when_processes_freeze(self) -> None:
        # Guards against requests that count as sent when a process woke and read them.
        assert seeds_exceeding_budget(Disruption.FREEZES) == []

    @pytest.mark.parametrize("instances", [6, 18])
    def test_budget_holds_with_all_disruptions(self, instances: int) -> None:
        assert seeds_exceeding_budget(ALL_DISRUPTIONS, instances=instances) == []

    @pytest.mark.parametrize(
        ("plant", "troubles"),
        [
            (InjectedFault.COUNTS_ONE_WINDOW, Disruption.NONE),
            (InjectedFault.FORGETS_RETRIES, Disruption.KILLS),
            (InjectedFault.DIVIDES_BY_FLEET_SIZE, Disruption.STORE_AWAY),
            (InjectedFault.IGNORES_STALLS, Disruption.FREEZES),
            (InjectedFault.USES_SHARE_AT_ONCE, Disruption.STORE_AWAY | Disruption.ADDED),
        ],
    )
    def test_injected_fault_is_found(self, plant: InjectedFault, troubles: Disruption) -> None:
        histories = (RetryHistory(seed, troubles, plant) for seed in range(24))
        assert any(history.run().exceeds_budget for history in histories)
