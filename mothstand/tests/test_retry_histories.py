"""Tests that the fleet keeps its retry budget in each window, with any membership view."""

from __future__ import annotations

import pytest

from ..testing.retry_faults import InjectedFault
from ..testing.retry_histories import ALL_DISRUPTIONS, Disruption, RetryHistory

_SEEDS = range(12)


def broken_seeds(troubles: Disruption, *, instances: int = 6) -> list[int]:
    histories = [RetryHistory(seed, troubles, instances=instances) for seed in _SEEDS]
    return [history.seed for history in histories if history.run().is_broken]


class TestRetryHistories:
    def test_windows_of_the_instances_that_do_not_lie_alike(self) -> None:
        # Guards against retries allowed by requests that lie outside the fleet's window.
        assert broken_seeds(Disruption.JUMPS) + broken_seeds(Disruption.NONE) == []

    def test_restarts_in_series(self) -> None:
        # Guards against a restarted instance that uses its share of the burst again in one window.
        assert broken_seeds(Disruption.KILLS) == []

    def test_store_away_from_the_start(self) -> None:
        # Guards against an instance that uses the whole burst because it knows no other instance.
        assert broken_seeds(Disruption.STORE_AWAY) == []

    def test_instances_that_are_added(self) -> None:
        # Guards against new instances that use a share of the burst before the others release it.
        assert broken_seeds(Disruption.ADDED) == []

    def test_processes_that_hang(self) -> None:
        # Guards against counting a request as sent when a frozen process resumed and read it.
        assert broken_seeds(Disruption.FREEZES) == []

    @pytest.mark.parametrize("instances", [6, 18])
    def test_all_troubles_at_once(self, instances: int) -> None:
        assert broken_seeds(ALL_DISRUPTIONS, instances=instances) == []

    @pytest.mark.parametrize(
        ("plant", "troubles"),
        [
            (InjectedFault.OWN_WINDOW, Disruption.NONE),
            (InjectedFault.FORGETS_RETRIES, Disruption.KILLS),
            (InjectedFault.BELIEVES_FLEET, Disruption.STORE_AWAY),
            (InjectedFault.IGNORES_STALLS, Disruption.FREEZES),
            (InjectedFault.TAKES_AT_ONCE, Disruption.STORE_AWAY | Disruption.ADDED),
        ],
    )
    def test_planted_faults_are_found(self, plant: InjectedFault, troubles: Disruption) -> None:
        histories = (RetryHistory(seed, troubles, plant) for seed in range(24))
        assert any(history.run().is_broken for history in histories)
