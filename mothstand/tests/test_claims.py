"""Tests of claims, windows, loans, and renewals as proof for a successor."""

from __future__ import annotations

import json
from dataclasses import replace

from ..core.claims import Claim, ClaimTable, HeldBudget, Holder, LocalClaims, Usage
from ..core.loans import LoanLog, Peer, PeerChoice, holdings, peers_with_holdings
from ..core.renewals import (
    OPENING_STARTS_S,
    UNLOCK_S,
    Opening,
    Renewal,
    RenewalLog,
    opening_after,
)
from ..gateway.ledger_records import decode, encode_claim
from ..types import BudgetName

_BUDGET = BudgetName("seniors")
_LOCAL = Holder("a", "1")
_OTHER = Holder("b", "1")
_FULL_OPENING = Opening(1.0, is_full=True)


def claim(holder: Holder, claimed: int, *, window: int | None = None, spent: int = 0) -> Claim:
    window = claimed if window is None else window
    return Claim(_BUDGET, holder, claimed, window, window, spent, 0.0)


def local_claims_with(*claims: Claim) -> LocalClaims:
    local_claims = LocalClaims(_LOCAL)
    local_claims.held_budget(_BUDGET)
    for one in claims:
        local_claims.table.apply(one, 0.0)
    local_claims.advance_to(len(claims))
    return local_claims


class TestLocalClaims:
    def test_claim_above_prepaid_tokens_does_not_fit(self) -> None:
        local_claims = local_claims_with(claim(_OTHER, 60))
        assert local_claims.fits((claim(_LOCAL, 40),), {_BUDGET: 100})
        assert not local_claims.fits((claim(_LOCAL, 41),), {_BUDGET: 100})

    def test_lowered_claim_fits_when_prepaid_tokens_are_exceeded(self) -> None:
        local_claims = local_claims_with(claim(_OTHER, 60), claim(_LOCAL, 40))
        assert local_claims.fits((claim(_LOCAL, 10),), {_BUDGET: 50})

    def test_lowered_claim_limits_spend_while_unconfirmed(self) -> None:
        """Guards against two instances that spend the same tokens.

        An instance lowers its claim and the answer is lost. It reads its old claim and spends up
        to it; then the append arrives late, and another instance claims the freed tokens. The claim
        last read is not necessarily the one in force.
        """
        local_claims = local_claims_with(claim(_LOCAL, 100))
        local_claims.begin_append((claim(_LOCAL, 30),))
        local_claims.advance_to(local_claims.table.next_offset)
        assert local_claims.held_budget(_BUDGET).limit_tokens == 30

    def test_later_record_resolves_unconfirmed_append(self) -> None:
        local_claims = local_claims_with(claim(_LOCAL, 100))
        local_claims.begin_append((claim(_LOCAL, 30),))
        local_claims.table.apply(claim(_OTHER, 5), 0.0)
        local_claims.advance_to(local_claims.table.next_offset + 1)
        assert local_claims.held_budget(_BUDGET).limit_tokens == 100

    def test_unconfirmed_raise_does_not_raise_limit(self) -> None:
        local_claims = local_claims_with(claim(_LOCAL, 100))
        local_claims.begin_append((claim(_LOCAL, 150),))
        assert local_claims.held_budget(_BUDGET).limit_tokens == 100

    def test_spend_is_limited_to_base_until_claims_unlock(self) -> None:
        local_claims = local_claims_with(claim(_LOCAL, 100, window=20))
        held = local_claims.held_budget(_BUDGET)
        assert held.reserve(21) is None
        local_claims.set_opening(_FULL_OPENING)
        assert held.reserve(21) is not None

    def test_bases_below_usage_do_not_cover_it(self) -> None:
        """Guards against spend above the prepaid tokens; found by random histories, seed 2706.

        A process spends beyond its window in an outage, then renews without a new window and dies.
        Its successor starts soon enough to give back the tokens beyond the window, although some
        of them were used. The window was taken as unchanged because it was compared with the last
        confirmed one, not with the one in the store.
        """
        local_claims = local_claims_with(claim(_LOCAL, 31, window=10))
        local_claims.set_opening(_FULL_OPENING)
        assert local_claims.held_budget(_BUDGET).reserve(11) is not None
        assert not local_claims.bases_cover_usage(())
        assert not local_claims.bases_cover_usage((claim(_LOCAL, 31, window=10),))
        assert local_claims.bases_cover_usage((claim(_LOCAL, 31, window=11),))

    def test_window_opens_with_time_out_of_touch(self) -> None:
        opened = replace(claim(_LOCAL, 100, window=60), base_tokens=20)
        local_claims = local_claims_with(opened)
        held = local_claims.held_budget(_BUDGET)
        available = []
        for out_of_touch_s in (
            0.0,
            OPENING_STARTS_S,
            (OPENING_STARTS_S + UNLOCK_S) / 2,
            UNLOCK_S - 0.001,
            UNLOCK_S,
        ):
            local_claims.set_opening(opening_after(out_of_touch_s))
            available.append(held.available_tokens)
        assert available == [20, 20, 40, 59, 100]


class TestHeldBudget:
    def held(self, tokens: int) -> HeldBudget:
        return HeldBudget(_BUDGET, limit_tokens=tokens, window_tokens=tokens, base_tokens=tokens)

    def test_settling_twice_frees_unused_tokens_once(self) -> None:
        held = self.held(100)
        reservation = held.reserve(80)
        assert reservation is not None
        held.settle(reservation, Usage(30, 30))
        held.settle(reservation, Usage(30, 30))
        assert (held.spent_tokens, held.available_tokens) == (30, 70)

    def test_uncertain_tokens_are_neither_available_nor_recorded_as_spent(self) -> None:
        """Guards against a permanent refusal (402) of a request that its budget covers.

        Callers disconnect before any event of their answers, and what their prompts have possibly
        consumed was counted as consumed. One sum was both the limit on spend and the proof that a
        budget is used up.
        """
        held = self.held(100)
        for usage in (Usage(30, 30), Usage(20, 0)):
            reservation = held.reserve(40)
            assert reservation is not None
            held.settle(reservation, usage)
        assert held.available_tokens == 50
        assert held.recorded_spent_tokens == 30

    def test_reservation_leaves_withheld_tokens(self) -> None:
        held = self.held(100)
        assert held.reserve(80, withheld_tokens=30) is None
        assert held.reserve(70, withheld_tokens=30) is not None


class TestHoldings:
    _PEERS = tuple(Peer(name, f"{name}-1", f"{name}:1") for name in "abcde")

    def table(self) -> ClaimTable:
        """Return claims of five holders; the claim of `c` is stale, `d` has no tokens left."""
        table = ClaimTable()
        held_tokens = {"a": 50, "b": 700, "c": 900, "d": 0, "e": 60}
        for name, tokens in held_tokens.items():
            claim = Claim(_BUDGET, Holder(name, f"{name}-1"), 1000, 0, 0, 0, 0.0, tokens)
            table.apply(claim, 2.0 if name == "c" else 9.0)
        return table

    def test_lender_names_live_holders_with_most_tokens_first(self) -> None:
        named = holdings(self.table(), _BUDGET, Holder("a", "a-1"), 10.0)
        assert [(h.instance, h.tokens) for h in named] == [("b", 700), ("e", 60)]

    def test_borrower_asks_named_holders_next(self) -> None:
        named = holdings(self.table(), _BUDGET, Holder("a", "a-1"), 10.0)
        assert [p.instance for p in peers_with_holdings(list(self._PEERS), named)] == ["b", "e"]

    def test_claim_record_without_held_field_decodes_as_zero(self) -> None:
        claim = Claim(_BUDGET, Holder("a", "a-1"), 1000, 10, 20, 5, 1.5, 300)
        record = encode_claim(claim)
        assert decode(record) == claim
        value = json.loads(record.value or b"")
        del value["held"]
        without = replace(record, value=json.dumps(value).encode())
        assert decode(without) == replace(claim, held_tokens=0)


class TestLoans:
    def test_repeated_loan_call_lends_once(self) -> None:
        """Guards against tokens that are lost without being spent.

        A lender gives tokens, its answer is lost, and the borrower asks again. The second call made
        a second loan, and nobody could use the first one.
        """
        held = HeldBudget(_BUDGET, limit_tokens=100, window_tokens=100, base_tokens=100)
        loans = LoanLog()
        first = loans.lend(held, "x", withheld_tokens=0, needed_tokens=40, extra_tokens=0)
        again = loans.lend(held, "x", withheld_tokens=0, needed_tokens=40, extra_tokens=0)
        assert (first, again, held.available_tokens) == (40, 40, 60)

    def test_repeated_handover_is_received_once(self) -> None:
        """Guards against spend above the prepaid tokens.

        A stopping peer hands tokens over and its call arrives twice. The second call was applied as
        another handover.
        """
        held = HeldBudget(_BUDGET)
        loans = LoanLog()
        assert [loans.take_over(held, "x", 40), loans.take_over(held, "x", 40)] == [40, 0]
        assert held.available_tokens == 40

    def test_lender_lends_no_withheld_tokens(self) -> None:
        held = HeldBudget(_BUDGET, limit_tokens=100, window_tokens=100, base_tokens=100)
        assert LoanLog().lend(held, "x", withheld_tokens=90, needed_tokens=40, extra_tokens=0) == 10

    def test_extra_is_at_most_half_of_what_the_lender_can_spare(self) -> None:
        held = HeldBudget(_BUDGET, limit_tokens=100, window_tokens=100, base_tokens=100)
        assert LoanLog().lend(held, "x", withheld_tokens=0, needed_tokens=10, extra_tokens=90) == 50

    def test_unresponsive_peer_is_not_asked_for_two_seconds(self) -> None:
        """Guards against requests that each wait for the timeout of the same unreachable peer.

        A peer is unreachable, and each request that needs a loan asked it first, because the
        failure of one call was not remembered for the next.
        """
        peers = [Peer("b", "1", "b:1"), Peer("c", "1", "c:1")]
        table = local_claims_with(claim(_OTHER, 60)).table
        choice = PeerChoice()
        assert [p.instance for p in choice.order(peers, table, _BUDGET, 0.0)] == ["b", "c"]
        choice.mark_unresponsive(peers[0], 0.0)
        assert [p.instance for p in choice.order(peers, table, _BUDGET, 1.0)] == ["c"]
        assert len(choice.order(peers, table, _BUDGET, 2.5)) == 2


class TestRenewals:
    """A process dies at 100 s and its successor starts `gap_s` later.

    Four other instances renew just before the death and just after the start.
    """

    def log(self, gap_s: float, jumps_s: dict[str, float] | None = None) -> RenewalLog:
        jumps_s = jumps_s or {}
        log = RenewalLog()
        self.last = Renewal(Peer("a", "1", "a:1"), 100.0, 10)
        self.start = Renewal(Peer("a", "2", "a:1"), 100.0 + gap_s + 0.1, 20)
        log.add(self.last)
        log.add(self.start)
        for number, name in enumerate(("b", "c", "d", "e")):
            peer = Peer(name, "1", f"{name}:1")
            jump_s = jumps_s.get(name, 0.0)
            log.add(Renewal(peer, 99.7, 5 + number))
            log.add(Renewal(peer, 100.0 + gap_s + 0.5 + jump_s, 21 + number))
        self.started_s = 100.0 + gap_s + jumps_s.get("a", 0.0)
        return log

    def proves_not_fully_open(self, gap_s: float, jumps_s: dict[str, float] | None = None) -> bool:
        log = self.log(gap_s, jumps_s)
        proven_s = log.max_gap_s(self.last, self.start, self.started_s, 0.1)
        return proven_s is not None and not opening_after(proven_s).is_full

    def test_quick_restart_is_proven(self) -> None:
        assert self.proves_not_fully_open(2.5)

    def test_proven_gap_excludes_start_of_successor(self) -> None:
        """The renewals of others are 3.3 s apart, of which the successor's start took 0.1 s."""
        log = self.log(2.5)
        proven_s = log.max_gap_s(self.last, self.start, self.started_s, 0.1)
        assert proven_s is not None
        assert 3.2 <= proven_s < 3.5

    def test_start_time_of_successor_shortens_proven_gap(self) -> None:
        """Guards against tokens stranded for a day by a machine without power for 3.5 s.

        The first renewal of the successor comes 0.7 s after its start. The time that the successor
        took to start was counted as time in which its predecessor could have spent.
        """
        log = self.log(3.6)
        slow_s = log.max_gap_s(self.last, self.start, self.started_s, 0.0)
        quick_s = log.max_gap_s(self.last, self.start, self.started_s, 0.7)
        assert slow_s is not None and opening_after(slow_s).is_full
        assert quick_s is not None and not opening_after(quick_s).is_full

    def test_slow_restart_is_not_proven(self) -> None:
        assert not self.proves_not_fully_open(UNLOCK_S + 0.1)

    def test_own_clock_jump_is_not_taken_as_proof(self) -> None:
        """Guards against tokens that are spent, given back and spent again.

        A process is cut off for long, spends beyond its window and dies. The time of day of
        its machine jumps back, so the time since the last renewal looks short to its successor. The
        clock of a single machine was relied on.
        """
        assert not self.proves_not_fully_open(8.0, {"a": -6.0})

    def test_two_clocks_jumping_together_are_not_taken_as_proof(self) -> None:
        assert not self.proves_not_fully_open(8.0, {"a": -6.0, "b": -6.0})

    def test_no_gap_is_proven_without_renewals_of_others(self) -> None:
        log = RenewalLog()
        last, start = (
            Renewal(Peer("a", "1", "a:1"), 100.0, 1),
            Renewal(Peer("a", "2", "a:1"), 102.0, 2),
        )
        log.add(last)
        log.add(start)
        assert log.max_gap_s(last, start, 101.9, 0.1) is None

    def test_process_at_another_address_is_no_successor(self) -> None:
        log = self.log(2.5)
        moved = Renewal(Peer("a", "2", "z:1"), self.start.wall_s, self.start.offset)
        assert log.max_gap_s(self.last, moved, self.started_s, 0.1) is None
