"""Regression bounds on routing, as ratios to baselines under the same demand in fake time."""

from __future__ import annotations

import pytest

from .routing import CHOOSERS, DEMANDS, Result, World

_SEED = 1


def run(demand_name: str, chooser_name: str) -> Result:
    """Run a demand with a chooser and return the figures."""
    demand = next(demand for demand in DEMANDS if demand.name == demand_name)
    return World(CHOOSERS[chooser_name], demand, _SEED).run()


class TestBounds:
    """Regression bounds on prefix hits, first tokens in time and refusals."""

    def test_more_prefix_hits_than_random_choice(self) -> None:
        """Prefix affinity gains enough hits to justify its bookkeeping."""
        assert run("busy", "mothstand").hits_percent >= 1.2 * run("busy", "random").hits_percent

    @pytest.mark.parametrize("baseline", ["random", "least in flight"])
    def test_more_answers_in_time_than_baseline_under_overload(self, baseline: str) -> None:
        """Guards against late first tokens for all requests when offered load exceeds capacity.

        That happens if the router fills the engines' queues instead of refusing early.
        """
        assert run("over", "mothstand").answers_in_time >= 5 * run("over", baseline).answers_in_time

    def test_skewed_demand_uses_free_slots_of_other_data_centres(self) -> None:
        """Requests beyond the local slots use free slots in other data centres."""
        result = run("busy skewed", "mothstand")
        assert result.refused_percent <= 1.0
        assert result.answers_in_time >= 1.5 * run("busy skewed", "least in flight").answers_in_time
