"""Tests that a fleet serves on while most requests come to one instance after the other."""

from __future__ import annotations

from collections import Counter

import pytest

from ..errors import ErrorKind
from ..testing.budget_fleet import BudgetFleet, Herd
from ..testing.virtual_time import run_in_virtual_time

#: The operators' bound: least share served from `STABLE_WINDOW_S` on, of that served before.
_SERVED_RATIO = 0.75
_STABLE_WINDOW_S = 3.0

_REQUESTS_PER_S = 100.0
_USED_TOKENS = 8_100
_DAY_S = 26.0

_FLEETS = [(3, 2), (3, 24), (3, 100)]


def run_herds(data_centres: int, per_data_centre: int, *, lasts_s: float) -> BudgetFleet:
    """Run a fleet whose budget lasts for a time, with a herd at a claimant and two at others."""
    count = data_centres * per_data_centre
    herds = (Herd(6.0, 12.0, 0), Herd(12.0, 18.0, count - 1), Herd(18.0, 26.0, count // 2))
    prepaid_tokens = int(_REQUESTS_PER_S * _USED_TOKENS * lasts_s)
    fleet = BudgetFleet(data_centres, per_data_centre, prepaid_tokens, herds=herds)
    run_in_virtual_time(lambda: fleet.run(_DAY_S, requests_per_s=_REQUESTS_PER_S))
    return fleet


def refusals(fleet: BudgetFleet, begin_s: float, end_s: float) -> Counter[ErrorKind | None]:
    """Return the requests sent in a time by the kind of their refusal, None for those served."""
    return Counter(o.refusal for o in fleet.outcomes if begin_s <= o.sent_s < end_s)


def served_share(fleet: BudgetFleet, begin_s: float, end_s: float) -> float:
    """Return the share of the requests that are served, without those of an exhausted budget."""
    counts = refusals(fleet, begin_s, end_s)
    del counts[ErrorKind.BUDGET_EXHAUSTED]
    return counts[None] / counts.total() if counts else 1.0


@pytest.mark.parametrize(("data_centres", "per_data_centre"), _FLEETS)
class TestHerds:
    @pytest.mark.parametrize("lasts_s", [60.0, 28.0])
    def test_requests_are_served_when_most_come_to_one_instance(
        self, data_centres: int, per_data_centre: int, lasts_s: float
    ) -> None:
        # Guards against tokens that are held where no requests come any more.
        fleet = run_herds(data_centres, per_data_centre, lasts_s=lasts_s)
        before = served_share(fleet, 0.0, fleet.herds[0].begin_s)
        for herd in fleet.herds:
            share = served_share(fleet, herd.begin_s + _STABLE_WINDOW_S, herd.end_s)
            assert share >= _SERVED_RATIO * before

    def test_exhausted_budget_is_reported_as_such_in_a_herd(
        self, data_centres: int, per_data_centre: int
    ) -> None:
        # Guards against asking callers to come back to a budget whose spend nobody has reported.
        fleet = run_herds(data_centres, per_data_centre, lasts_s=16.0)
        counts = refusals(fleet, 18.0 + _STABLE_WINDOW_S, _DAY_S)
        assert counts[ErrorKind.BUDGET_EXHAUSTED] >= _SERVED_RATIO * counts.total()
