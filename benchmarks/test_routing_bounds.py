"""Stored regression bounds on routing: ratios to the baselines of the same run, in fake time."""

from __future__ import annotations

import pytest

from .routing import CHOICES, DEMANDS, Result, World

_SEED = 1


def run(demand_name: str, choice_name: str) -> Result:
    """Return the figures of one demand under one way of choosing."""
    demand = next(demand for demand in DEMANDS if demand.name == demand_name)
    return World(CHOICES[choice_name], demand, _SEED).run()


class TestBounds:
    """Figures that a change may not make worse."""

    def test_more_prefix_hits_than_any_engine(self) -> None:
        """Affinity is worth its bookkeeping."""
        assert run("busy", "mothstand").hits_percent >= 1.2 * run("busy", "random").hits_percent

    @pytest.mark.parametrize("baseline", ["random", "least in flight"])
    def test_answers_in_time_under_overload(self, baseline: str) -> None:
        """Symptom: under overload every first token is late, though the engines work on.

        Sequence: more is offered than the engines carry.
        Cause it guards against: filling the engines' queues in place of refusing early.
        """
        assert run("over", "mothstand").in_time >= 5 * run("over", baseline).in_time

    def test_demand_in_one_data_centre_is_shared(self) -> None:
        """Free slots elsewhere take what does not fit."""
        result = run("busy skewed", "mothstand")
        assert result.refused_percent <= 1.0
        assert result.in_time >= 1.5 * run("busy skewed", "least in flight").in_time
