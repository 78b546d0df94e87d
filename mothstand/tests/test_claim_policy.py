"""How much is claimed, and who gets tokens first where they are short."""

from __future__ import annotations

from dataclasses import replace

from ..core.claim_policy import (
    BudgetView,
    ClaimPolicy,
    Window,
    wanted_claim_tokens,
    wanted_window,
)
from ..core.claims import Claim, HeldBudget, Holder
from ..core.demand import Demand
from ..core.priority_reserve import BudgetDemand, Supply
from ..core.renewals import Opening, opening_after
from ..types import BudgetName

_POLICY = ClaimPolicy()
_VIEW = BudgetView(
    prepaid_tokens=1_000_000,
    free_tokens=900_000,
    held_tokens=10_000,
    needed_claim_tokens=5_000,
    limit_tokens=15_000,
    waiting_tokens=0,
    largest_tokens=9_000,
    demand_tokens_per_s=5_000.0,
    other_demands_tokens_per_s=(5_000.0, 5_000.0),
    other_holders_unspent_tokens=90_000,
    instances=3,
)


class TestWantedClaim:
    def test_covers_the_ride_through_of_own_demand(self) -> None:
        wanted = wanted_claim_tokens(_VIEW, _POLICY)
        assert wanted is not None
        held = wanted - _VIEW.needed_claim_tokens
        assert held >= 5_000 * _POLICY.ride_through_s

    def test_claim_near_budget_end_is_within_share(self) -> None:
        view = replace(_VIEW, free_tokens=30_000, held_tokens=0, other_holders_unspent_tokens=0)
        wanted = wanted_claim_tokens(view, _POLICY)
        assert wanted is not None
        assert wanted - view.limit_tokens <= 30_000 * _POLICY.held_share / 3 + 1

    def test_waiting_tokens_are_claimed_beyond_share(self) -> None:
        view = replace(_VIEW, free_tokens=12_000, held_tokens=0, waiting_tokens=9_000)
        wanted = wanted_claim_tokens(view, _POLICY)
        assert wanted is not None
        assert wanted - view.limit_tokens >= 9_000

    def test_excess_lowers_the_claim(self) -> None:
        view = replace(_VIEW, held_tokens=400_000, limit_tokens=405_000)
        wanted = wanted_claim_tokens(view, _POLICY)
        assert wanted is not None
        assert view.needed_claim_tokens < wanted < view.limit_tokens

    def test_claim_is_never_negative(self) -> None:
        """Symptom: more is spent than was paid.

        Sequence: an instance borrows tokens, its demand falls, it lowers its claim below zero to
        give them back, and spends up to its window, which is not below zero.
        Cause: a debt in the claim that the window did not know. Found by random histories, seed 0.
        """
        view = replace(
            _VIEW, limit_tokens=10_000, held_tokens=700_000, needed_claim_tokens=-690_000
        )
        assert wanted_claim_tokens(view, _POLICY) == 0
        assert wanted_window(view, 0, _POLICY) == Window(0, 0)

    def test_claim_near_target_is_not_rewritten(self) -> None:
        wanted = wanted_claim_tokens(_VIEW, _POLICY)
        assert wanted is not None
        held = _VIEW.held_tokens + wanted - _VIEW.limit_tokens
        view = replace(_VIEW, held_tokens=held, limit_tokens=wanted)
        assert wanted_claim_tokens(view, _POLICY) is None


class TestWantedWindow:
    def test_base_covers_used_and_waiting_tokens(self) -> None:
        view = replace(_VIEW, waiting_tokens=200_000)
        assert wanted_window(view, 500_000, _POLICY).base_tokens >= 205_000

    def test_window_is_within_claim(self) -> None:
        assert wanted_window(_VIEW, 6_000, _POLICY).window_tokens <= 6_000

    def test_windows_exceed_use_by_a_share_of_remaining_tokens(self) -> None:
        wanted = wanted_window(_VIEW, 500_000, _POLICY)
        window = wanted.window_tokens - _VIEW.needed_claim_tokens
        assert 3 * window <= 1_000_000 * _POLICY.window_share + 3

    def test_tokens_lost_when_all_instances_die_are_bounded(self) -> None:
        """What a fleet of three loses when all die 2.4 s after they renewed: 11 % of what is left.

        It was 20 % when the whole window could be spent at once.
        """
        wanted = wanted_window(_VIEW, 500_000, _POLICY)
        claim = Claim(
            BudgetName("b"),
            Holder("a", "1"),
            500_000,
            wanted.base_tokens,
            wanted.window_tokens,
            _VIEW.needed_claim_tokens,
            5_000.0,
        )
        lost_tokens = claim.limit_tokens(opening_after(2.4)) - claim.spent_tokens
        assert 3 * lost_tokens < 0.12 * 1_000_000


class TestDemand:
    def test_demand_follows_a_jump_and_decays(self) -> None:
        demand = Demand()
        for step in range(80):
            demand.add_request(100, step / 10)
        assert 700 < demand.rate_tokens_per_s(8.0) < 1_100
        assert demand.rate_tokens_per_s(28.0) < 10


class TestPriorityReserve:
    """An outage of eight seconds in which a quarter of what is asked for is held.

    Each second 30 short questions of 1,000 tokens and 16 long documents of 9,000 are asked.
    """

    def served_shares(self, *, by_priority: bool) -> tuple[float, float]:
        """Return which parts of the questions and of the documents are served."""
        demand = BudgetDemand()
        held = HeldBudget(BudgetName("b"), limit_tokens=350_000, opening=Opening(1.0, is_full=True))
        requested = {0: 0, 1: 0}
        served = {0: 0, 1: 0}
        for step in range(-46 * 10, 46 * 8):
            now_s = step / 46
            priority, tokens = (0, 1_000) if step % 46 % 3 else (1, 9_000)
            demand.add_request(tokens, priority, now_s)
            if step < 0:
                continue
            supply = Supply(max(0.01, now_s))
            withheld = demand.withheld_tokens(priority, supply, now_s) if by_priority else 0
            requested[priority] += 1
            served[priority] += held.reserve(tokens, withheld_tokens=withheld) is not None
        return served[0] / requested[0], served[1] / requested[1]

    def test_short_questions_are_served_through_an_outage(self) -> None:
        """Served of short questions and long documents: 26 and 25 % before, 100 and 8 % now."""
        before, now = self.served_shares(by_priority=False), self.served_shares(by_priority=True)
        assert before[0] < 0.5
        assert now[0] > 0.95
        assert now[1] > 0

    def test_nothing_is_withheld_while_budget_can_be_refilled(self) -> None:
        demand = BudgetDemand()
        demand.add_request(1_000, 0, 0.0)
        assert demand.withheld_tokens(1, Supply(0.0), 0.0) == 0

    def test_smaller_requests_withhold_less_for_larger_ones(self) -> None:
        """Symptom: labels are refused for the sake of documents that the rest would not serve.

        Sequence: in an outage one document of 13,000 tokens is asked each second, and labels of
        2,000, which are less urgent. Cause: all that documents ask for was kept from them.
        """
        demand = BudgetDemand()
        for second in range(20):
            demand.add_request(13_000, 0, float(second))
            demand.add_request(2_000, 1, float(second))
        withheld = demand.withheld_tokens(1, Supply(2.0), 19.0)
        full_demand = 7.0 * demand.by_priority[0].rate_tokens_per_s(19.0)
        assert abs(withheld - full_demand * 2 / 13) < 10

    def test_locked_tokens_reduce_withheld_tokens(self) -> None:
        """Symptom: in the first seconds of an outage documents are refused though enough is held.

        Sequence: the store falls silent; of 60,000 tokens held 20,000 may be spent, the others in
        4 s; questions take 2,000 a second. Cause: 18,000 were kept of the 20,000 for the outage's
        nine seconds, though the 40,000 will serve the last five of them.
        """
        supply = Supply(0.1, locked_tokens=40_000, unlocks_in_s=4.0)
        assert supply.withheld_tokens(2_000) == 8_000
        assert Supply(0.1, unlocks_in_s=4.0).withheld_tokens(2_000) == 17_800
