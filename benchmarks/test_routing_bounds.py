"""Stored regression bounds on routing: ratios to the baselines of the same run, in fake time."""

from __future__ import annotations

import pytest

from .routing import CHOOSERS, DEMANDS, Result, World

_SEED = 1


def run(demand_name: str, chooser_name: str) -> Result:
    """Return the figures of one demand under one way of choosing."""
    demand = next(demand for demand in DEMANDS if demand.name == demand_name)
    return World(CHOOSERS[chooser_name], demand, _SEED).run()


class TestBounds:
    """Figures that a change may not make worse."""

    def test_more_prefix_hits_than_random_choice(self) -> None:
        """Affinity is worth its bookkeeping."""
        assert run("busy", "mothstand").hits_percent >= 1.2 * run("busy", "random").hits_percent

    @pytest.mark.parametrize("baseline", ["random", "least in flight"])
    def test_more_answers_in_time_than_baseline_under_overload(self, baseline: str) -> None:
        """Symptom: under overload every first token is late, though the engines work on.

        Sequence: more is offered than the engines carry.
        Cause it guards against: filling the engines' queues in place of refusing early.
        """
        assert run("over", "mothstand").answers_in_time >= 5 * run("over", baseline).answers_in_time

    def test_skewed_demand_uses_free_slots_of_other_data_centres(self) -> None:
        """Free slots elsewhere take what does not fit."""
        result = run("busy skewed", "mothstand")
        assert result.refused_percent <= 1.0
        assert result.answers_in_time >= 1.5 * run("busy skewed", "least in flight").answers_in_time
