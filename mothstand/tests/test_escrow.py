"""Tests of the escrow policy."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ..core.escrow import (
    Demand,
    EscrowPolicy,
    EscrowView,
    ask_tokens,
    gives_way,
    promotion_share_tokens,
    surplus_tokens,
    target_tokens,
)
from ..types import BudgetName, DataCentre

POLICY = EscrowPolicy(ride_through_s=100.0, refill_below_percent=50)
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

    def test_bounds_are_no_demand(self) -> None:
        """Guards against data centres that hold more than twice what they spend.

        Requests reserve 700 tokens each and use 300; reservations must not count as spend.
        """
        demand = Demand(10.0)
        demand.note_bound(700)
        assert demand.rate_tokens_per_s(0.0) == 0.0
        assert demand.largest_tokens == 700

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
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=1800)) == 300

    def test_not_below_a_handful_of_requests_near_the_end(self) -> None:
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=600)) == 200
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=60)) == 60

    def test_no_refill_of_a_small_part(self) -> None:
        """Guards against an append for nearly every request near a budget's end.

        The target cannot be reached there, so the free tokens are always below it. Being below the
        target must not be enough to ask.
        """
        near_end = replace(VIEW, free_tokens=450, ungranted_tokens=500, largest_tokens=20)
        assert ask_tokens(POLICY, near_end) == 0

    def test_waiting_request_is_asked_for_in_full(self) -> None:
        view = replace(VIEW, ungranted_tokens=60, needed_tokens=70)
        assert ask_tokens(POLICY, view) == 70

    def test_less_without_a_witness(self) -> None:
        alone = target_tokens(POLICY, replace(VIEW, witnessed=False))
        assert alone < target_tokens(POLICY, VIEW)

    @given(view=_VIEWS)
    def test_never_negative(self, view: EscrowView) -> None:
        assert ask_tokens(POLICY, view) >= 0


class TestShares:
    def test_a_share_serves_a_few_requests(self) -> None:
        """Guards against a promoted witness that refuses everything although it has a share.

        Of a small grant, 5 % is less than one request, so a percentage alone is not enough.
        """
        assert promotion_share_tokens(5, 2000, 100) == 400
        assert promotion_share_tokens(5, 800, 100) == 200
        assert promotion_share_tokens(5, 1_000_000, 100) == 50_000
        assert promotion_share_tokens(0, 2000, 100) == 0


class TestGivingWay:
    def test_all_but_one_give_way(self) -> None:
        """Guards against last tokens of a budget that no data centre can use.

        Three data centres wait for escrow, and each holds too few tokens for a request. A waiting
        data centre must return its tokens too.
        """
        places = [DataCentre(name) for name in ("sto-a", "sto-b", "sto-c")]
        giving = [gives_way(BudgetName("lund"), place, places) for place in places]
        assert sorted(giving) == [False, True, True]

    def test_only_who_waits(self) -> None:
        assert not gives_way(BudgetName("lund"), DataCentre("sto-a"), [DataCentre("sto-b")])


class TestSurplus:
    @given(view=_VIEWS, unmet=_TOKENS)
    def test_at_most_half_of_what_is_free(self, view: EscrowView, unmet: int) -> None:
        tokens = surplus_tokens(POLICY, view, unmet)
        assert 0 <= tokens <= view.free_tokens // 2

    def test_nothing_unless_somebody_waits(self) -> None:
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=10_000), 0) == 0

    def test_more_than_one_request_at_a_time(self) -> None:
        """Guards against a data centre that holds most of a budget while others wait repeatedly.

        An ask for 500 tokens gets nothing while another data centre has 60,000 free tokens. It must
        return more than what waits at the moment.
        """
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=60_000), 500) == 29_990

    def test_keeps_its_own_next_seconds(self) -> None:
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=20), 100) == 0
