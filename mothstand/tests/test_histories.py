"""Random histories of the ledger, and known faults that they must find."""

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
    """Run one history from its seed."""
    per_data_centre = 3 if fault is InjectedFault.HOLDER_PICKS_WITNESS else 2
    history = History(random.Random(seed), fault=fault, per_data_centre=per_data_centre)
    history.run(_STEPS)
    return history.counts


class TestHistories:
    def test_nothing_is_overspent(self) -> None:
        """Symptom: more is spent than was paid.

        Sequence: any of kills, pauses, cuts, takeovers, promotions, lost answers, old batches.
        Cause it guards against: any rule of the ledger that holds only when all goes well.
        """
        counts = [run_one(seed, InjectedFault.NONE) for seed in range(_CLEAN_SEEDS)]
        # The histories are worth something only if they reach the rare states.
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
        "plant", [plant for plant in InjectedFault if plant is not InjectedFault.NONE]
    )
    def test_injected_fault_is_found(self, plant: InjectedFault) -> None:
        """Symptom: a fault that overspends passes the checks.

        Sequence: the same histories, with one rule of the ledger broken on purpose.
        Cause it guards against: checks or histories too weak to reach the fault.
        """
        for seed in range(_MAX_SEEDS):
            try:
                run_one(seed, plant)
            except OverspentError:
                return
        pytest.fail(f"{plant} was not found in {_MAX_SEEDS} histories")
