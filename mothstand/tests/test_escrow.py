"""The escrow policy."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ..core.escrow import (
    EscrowPolicy,
    EscrowView,
    SpendEstimator,
    ask_tokens,
    promotion_share_tokens,
    should_give_all,
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
    has_witness=True,
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


class TestSpendEstimator:
    def test_rate_of_steady_load(self) -> None:
        demand = SpendEstimator(10.0)
        for second in range(100):
            demand.add_usage(50, float(second))
        assert 45 < demand.rate_tokens_per_s(99.0) < 55

    def test_bounds_do_not_raise_the_rate(self) -> None:
        """Symptom: data centres hold more than twice what they spend.

        Sequence: requests reserve 700 tokens each and use 300.
        Cause it guards against: taking reservations for spend.
        """
        demand = SpendEstimator(10.0)
        demand.note_bound(700)
        assert demand.rate_tokens_per_s(0.0) == 0.0
        assert demand.largest_tokens == 700

    def test_rate_decays(self) -> None:
        demand = SpendEstimator(10.0)
        demand.add_usage(1000, 0.0)
        assert demand.rate_tokens_per_s(100.0) < 0.01


class TestAsk:
    def test_ask_covers_ride_through(self) -> None:
        assert ask_tokens(POLICY, VIEW) == target_tokens(POLICY, VIEW) == 1000

    def test_no_ask_while_enough_is_free(self) -> None:
        assert ask_tokens(POLICY, replace(VIEW, free_tokens=600)) == 0

    def test_ask_shrinks_near_budget_end(self) -> None:
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=1800)) == 300

    def test_ask_covers_four_large_requests_near_budget_end(self) -> None:
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=600)) == 200
        assert ask_tokens(POLICY, replace(VIEW, ungranted_tokens=60)) == 60

    def test_small_refill_near_budget_end_is_not_asked_for(self) -> None:
        """Symptom: an append for nearly every request near a budget's end.

        Sequence: the target is out of reach, so free tokens are always below it.
        Cause it guards against: asking whenever less than the target is free.
        """
        near_end = replace(VIEW, free_tokens=450, ungranted_tokens=500, largest_tokens=20)
        assert ask_tokens(POLICY, near_end) == 0

    def test_waiting_tokens_are_asked_for_in_full(self) -> None:
        view = replace(VIEW, ungranted_tokens=60, needed_tokens=70)
        assert ask_tokens(POLICY, view) == 70

    def test_target_is_lower_without_witness(self) -> None:
        alone = target_tokens(POLICY, replace(VIEW, has_witness=False))
        assert alone < target_tokens(POLICY, VIEW)

    @given(view=_VIEWS)
    def test_ask_is_never_negative(self, view: EscrowView) -> None:
        assert ask_tokens(POLICY, view) >= 0


class TestPromotionShare:
    def test_share_covers_four_large_requests(self) -> None:
        """Symptom: a promoted witness refuses everything though a share was held back for it.

        Sequence: a small grant, of which 5 % is less than one request.
        Cause it guards against: a share by percent alone.
        """
        assert promotion_share_tokens(5, 2000, 100) == 400
        assert promotion_share_tokens(5, 800, 100) == 200
        assert promotion_share_tokens(5, 1_000_000, 100) == 50_000
        assert promotion_share_tokens(0, 2000, 100) == 0


class TestShouldGiveAll:
    def test_all_but_one_waiting_data_centre_give_all(self) -> None:
        """Symptom: a budget's last tokens lie in three data centres, none enough for a request.

        Sequence: all three wait, each keeps its rest for itself.
        Cause it guards against: no data centre giving while it waits itself.
        """
        data_centres = [DataCentre(name) for name in ("sto-a", "sto-b", "sto-c")]
        giving = [
            should_give_all(BudgetName("lund"), place, data_centres) for place in data_centres
        ]
        assert sorted(giving) == [False, True, True]

    def test_data_centre_that_does_not_wait_keeps_its_escrow(self) -> None:
        assert not should_give_all(BudgetName("lund"), DataCentre("sto-a"), [DataCentre("sto-b")])


class TestSurplus:
    @given(view=_VIEWS, unmet=_TOKENS)
    def test_surplus_is_at_most_half_of_free_tokens(
        self, view: EscrowView, unfulfilled: int
    ) -> None:
        tokens = surplus_tokens(POLICY, view, unfulfilled)
        assert 0 <= tokens <= view.free_tokens // 2

    def test_no_surplus_without_unfulfilled_ask(self) -> None:
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=10_000), 0) == 0

    def test_surplus_exceeds_the_waiting_request(self) -> None:
        """Symptom: one data centre holds most of a budget while others wait request by request.

        Sequence: an ask for 500 tokens gets nothing; another data centre has 60,000 free.
        Cause it guards against: giving back just what waits at the moment.
        """
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=60_000), 500) == 29_990

    def test_own_demand_of_next_seconds_is_withheld(self) -> None:
        assert surplus_tokens(POLICY, replace(VIEW, free_tokens=20), 100) == 0
