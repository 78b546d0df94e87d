"""The escrow policy."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ..core.escrow import (
    Demand,
    EscrowPolicy,
    EscrowView,
    ask_tokens,
    surplus_tokens,
    target_tokens,
)

POLICY = EscrowPolicy(ride_through_s=100.0)
VIEW = EscrowView(
    free_tokens=0,
    ungranted_tokens=1_000_000,
    needed_tokens=0,
    rate_tokens_per_s=10.0,
    largest_tokens=50,
    data_centres=3,
    witnessed=True,
)
_TOKENS = st.integers(0, 10**9)
_VIEWS = st.builds(
    EscrowView,
    free_tokens=_TOKENS,
    ungranted_tokens=_TOKENS,
    needed_tokens=_TOKENS,
    rate_tokens_per_s=st.floats(0, 1e6),
    largest_tokens=_TOKENS,
    data_centres=st.integers(1, 14),
    witnessed=st.booleans(),
)


class TestDemand:
    def test_rate_of_a_steady_load(self) -> None:
        demand = Demand(10.0)
        for second in range(100):
            demand.add(50, float(second))
        assert 45 < demand.rate_tokens_per_s(99.0) < 55

    def test_old_demand_fades(self) -> None:
        demand = Demand(10.0)
        demand.add(1000, 0.0)
        assert demand.rate_tokens_per_s(100.0) < 0.01


class TestAsk:
    def test_covers_the_ride_through(self) -> None:
        assert ask_tokens(POLICY, VIEW) == target_tokens(POLICY, VIEW) == 1000

    def test_nothing_while_enough_is_left(self) -> None:
        assert ask_tokens(POLICY, replace(VIEW, free_tokens=600)) == 0

    def test_shrinks_near_the_end(self) -> None:
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=600)) == 100

    def test_waiting_request_is_asked_for_in_full(self) -> None:
        view = replace(VIEW, ungranted_tokens=60, needed_tokens=50)
        assert ask_tokens(POLICY, view) == 50

    def test_less_without_a_witness(self) -> None:
        alone = target_tokens(POLICY, replace(VIEW, witnessed=False))
        assert alone < target_tokens(POLICY, VIEW)

    @given(view=_VIEWS)
    def test_never_negative(self, view: EscrowView) -> None:
        assert ask_tokens(POLICY, view) >= 0


class TestSurplus:
    @given(view=_VIEWS, unmet=_TOKENS)
    def test_within_what_is_free_and_asked(self, view: EscrowView, unmet: int) -> None:
        tokens = surplus_tokens(POLICY, view, unmet)
        assert 0 <= tokens <= max(0, min(view.free_tokens, unmet))

    def test_keeps_its_own_next_seconds(self) -> None:
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=20), 100) == 0
