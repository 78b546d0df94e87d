"""The fleet's retry budget holds in each window, whatever its instances believe of one another."""

from __future__ import annotations

import pytest

from ..testing.retry_histories import ALL_TROUBLES, RetryHistory, Trouble
from ..testing.retry_plants import Plant

_SEEDS = range(12)


def broken_seeds(troubles: Trouble, *, instances: int = 6) -> list[int]:
    histories = [RetryHistory(seed, troubles, instances=instances) for seed in _SEEDS]
    return [history.seed for history in histories if history.run().is_broken]


class TestRetryHistories:
    def test_windows_of_the_instances_that_do_not_lie_alike(self) -> None:
        # Guards against retries paid for by requests that the fleet's window does not have.
        assert broken_seeds(Trouble.JUMPS) + broken_seeds(Trouble.NONE) == []

    def test_restarts_in_series(self) -> None:
        # Guards against a start that has its part of the burst anew within the same window.
        assert broken_seeds(Trouble.KILLS) == []

    def test_store_away_from_the_start(self) -> None:
        # Guards against an instance that takes itself for the whole fleet.
        assert broken_seeds(Trouble.STORE_AWAY) == []

    def test_instances_that_are_added(self) -> None:
        # Guards against parts of the burst that newcomers take before others give them up.
        assert broken_seeds(Trouble.ADDED) == []

    def test_processes_that_hang(self) -> None:
        # Guards against requests that count as sent when a process woke and read them.
        assert broken_seeds(Trouble.FREEZES) == []

    @pytest.mark.parametrize("instances", [6, 18])
    def test_all_troubles_at_once(self, instances: int) -> None:
        assert broken_seeds(ALL_TROUBLES, instances=instances) == []

    @pytest.mark.parametrize(
        ("plant", "troubles"),
        [
            (Plant.OWN_WINDOW, Trouble.NONE),
            (Plant.FORGETS_RETRIES, Trouble.KILLS),
            (Plant.BELIEVES_FLEET, Trouble.STORE_AWAY),
            (Plant.IGNORES_STALLS, Trouble.FREEZES),
            (Plant.TAKES_AT_ONCE, Trouble.STORE_AWAY | Trouble.ADDED),
        ],
    )
    def test_planted_faults_are_found(self, plant: Plant, troubles: Trouble) -> None:
        histories = (RetryHistory(seed, troubles, plant) for seed in range(24))
        assert any(history.run().is_broken for history in histories)
