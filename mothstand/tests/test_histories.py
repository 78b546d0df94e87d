"""Tests of random histories of the ledger, which must also find injected faults."""

from __future__ import annotations

import random

import pytest
from absl import logging
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ..testing.histories import Counts, History, InjectedFault, OverspentError

_CLEAN_SEEDS = 150
_MAX_SEEDS = 1500
_STEPS = 1000


@pytest.fixture(autouse=True)
def _quiet() -> None:
    logging.set_verbosity(logging.FATAL)


def run_one(seed: int, fault: InjectedFault) -> Counts:
    """Run the history of a seed and return its counts."""
    per_data_centre = 3 if fault is InjectedFault.HOLDER_PICKS_WITNESS else 2
    history = History(random.Random(seed), fault=fault, per_data_centre=per_data_centre)
    history.run(_STEPS)
    return history.counts


class TestHistories:
    def test_nothing_is_overspent(self) -> None:
        """Guard against rules of the ledger that hold only without disruptions.

        Kills, pauses, lost connections, takeovers, promotions, lost answers or old batches would
        then let more be spent than was paid.
        """
        counts = [run_one(seed, InjectedFault.NONE) for seed in range(_CLEAN_SEEDS)]
        # The histories must reach rare states to be a useful test.
        assert sum(c.dispatched for c in counts) > 50 * _CLEAN_SEEDS // 2
        for rare in ("promoted", "allowance", "epochs", "returned", "restarts"):
            assert sum(getattr(c, rare) for c in counts) > 50, rare

    @settings(
        max_examples=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
    )
    @given(rng=st.randoms(use_true_random=False))
    def test_nothing_is_overspent_in_shrinkable_histories(self, rng: random.Random) -> None:
        History(rng).run(150)

    @pytest.mark.parametrize(
        "fault", [fault for fault in InjectedFault if fault is not InjectedFault.NONE]
    )
    def test_injected_fault_is_found(self, fault: InjectedFault) -> None:
        """Guard against checks and histories that are too weak to find a fault.

        The histories run with one rule of the ledger broken.
        """
        for seed in range(_MAX_SEEDS):
            try:
                run_one(seed, fault)
            except OverspentError:
                return
        pytest.fail(f"{fault} was not found in {_MAX_SEEDS} histories")
