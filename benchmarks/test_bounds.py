"""Regression bounds on the escrow benchmark's counts, which fake time makes reproducible."""

from __future__ import annotations

import pytest
from absl import logging

from .escrow import POLICIES, SCENARIOS, USERS, run_one

#: Maximum false refusals in %, stranded tokens and appends per 1,000 requests, by scenario.
BOUNDS = {
    "steady": (0.0, 0, 6.0),
    "kill holder": (0.1, 700_000, 30.0),
    "kill witness": (0.1, 900_000, 25.0),
    "budgets end": (3.0, 0, 200.0),
    "cut, then kill holder": (0.1, 1_500_000, 10.0),
}


@pytest.mark.parametrize("name", list(BOUNDS))
def test_scenario_stays_within_bounds(name: str) -> None:
    """A scenario stays within its bounds and never overspends."""
    logging.set_verbosity(logging.FATAL)
    scenario = next(scenario for scenario in SCENARIOS if scenario.name == name)
    user = "kallhanvisa"
    result = run_one("witnessed", scenario, USERS[user], POLICIES[user])
    false_percent, stranded_tokens, appends = BOUNDS[name]
    assert result.overspent_tokens == 0
    assert result.false_percent <= false_percent
    assert result.stranded_tokens <= stranded_tokens
    assert result.appends_per_1000 <= appends
