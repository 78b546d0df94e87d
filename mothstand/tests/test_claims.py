"""Tests of claims, windows, loans, and renewals as proof for a successor."""

from __future__ import annotations

import json
from dataclasses import replace

from ..core.claims import Claim, ClaimBook, ClaimTable, HeldBudget, Holder, Usage
from ..core.loans import LoanBook, Peer, PeerChoice, holdings, next_asked
from ..core.renewals import (
    OPENS_S,
    UNLOCK_S,
    Opening,
    Renewal,
    RenewalLog,
    opening_after,
)
from ..gateway.ledger_records import decode, encode_claim
from ..types import BudgetName

_BUDGET = BudgetName("seniors")
_ME = Holder("a", "1")
_OTHER = Holder("b", "1")
_ALL = Opening(1.0, all_claimed=True)


def claim(holder: Holder, claimed: int, *, window: int | None = None, spent: int = 0) -> Claim:
    window = claimed if window is None else window
    return Claim(_BUDGET, holder, claimed, window, window, spent, 0.0)


def book_with(*claims: Claim) -> ClaimBook:
    book = ClaimBook(_ME)
    book.of(_BUDGET)
    for one in claims:
        book.table.put(one, 0.0)
    book.took(len(claims))
    return book


class TestClaimBook:
    def test_a_claim_that_does_not_fit_is_not_written(self) -> None:
        book = book_with(claim(_OTHER, 60))
        assert book.fits((claim(_ME, 40),), {_BUDGET: 100})
        assert not book.fits((claim(_ME, 41),), {_BUDGET: 100})

    def test_a_lowered_claim_fits_also_when_too_much_is_claimed(self) -> None:
        book = book_with(claim(_OTHER, 60), claim(_ME, 40))
        assert book.fits((claim(_ME, 10),), {_BUDGET: 50})

    def test_lost_answer_of_a_lowered_claim(self) -> None:
        """Guards against two instances that spend the same tokens.

        An instance lowers its claim and the answer is lost. It reads its old claim and spends up
        to it; then the append arrives late, and another instance claims the freed tokens. The claim
        last read is not necessarily the one in force.
        """
        book = book_with(claim(_ME, 100))
        book.begin((claim(_ME, 30),))
        book.took(book.table.next_offset)
        assert book.of(_BUDGET).limit_tokens == 30

    def test_a_later_record_decides_a_doubtful_append(self) -> None:
        book = book_with(claim(_ME, 100))
        book.begin((claim(_ME, 30),))
        book.table.put(claim(_OTHER, 5), 0.0)
        book.took(book.table.next_offset + 1)
        assert book.of(_BUDGET).limit_tokens == 100

    def test_an_unanswered_raise_gives_nothing(self) -> None:
        book = book_with(claim(_ME, 100))
        book.begin((claim(_ME, 150),))
        assert book.of(_BUDGET).limit_tokens == 100

    def test_only_the_window_may_be_spent_in_touch_with_the_store(self) -> None:
        book = book_with(claim(_ME, 100, window=20))
        held = book.of(_BUDGET)
        assert held.reserve(21) is None
        book.open(_ALL)
        assert held.reserve(21) is not None

    def test_no_renewal_while_more_than_the_window_is_used(self) -> None:
        """Guards against spend above the prepaid tokens; found by random histories, seed 2706.

        A process spends beyond its window in an outage, then renews without a new window and dies.
        Its successor starts soon enough to give back the tokens beyond the window, although some
        of them were used. The window was taken as unchanged because it was compared with the last
        confirmed one, not with the one in the store.
        """
        book = book_with(claim(_ME, 31, window=10))
        book.open(_ALL)
        assert book.of(_BUDGET).reserve(11) is not None
        assert not book.covers(())
        assert not book.covers((claim(_ME, 31, window=10),))
        assert book.covers((claim(_ME, 31, window=11),))

    def test_the_window_opens_with_the_silence_of_the_store(self) -> None:
        opened = replace(claim(_ME, 100, window=60), base_tokens=20)
        book = book_with(opened)
        held = book.of(_BUDGET)
        available = []
        for silent_s in (0.0, OPENS_S, (OPENS_S + UNLOCK_S) / 2, UNLOCK_S - 0.001, UNLOCK_S):
            book.open(opening_after(silent_s))
            available.append(held.available_tokens)
        assert available == [20, 20, 40, 59, 100]


class TestHeldBudget:
    def held(self, tokens: int) -> HeldBudget:
        return HeldBudget(_BUDGET, limit_tokens=tokens, window_tokens=tokens, base_tokens=tokens)

    def test_settling_gives_back_what_was_not_used(self) -> None:
        held = self.held(100)
        reservation = held.reserve(80)
        assert reservation is not None
        held.settle(reservation, Usage(30, 30))
        held.settle(reservation, Usage(30, 30))
        assert (held.spent_tokens, held.available_tokens) == (30, 70)

    def test_what_is_in_doubt_is_neither_free_nor_recorded_as_spent(self) -> None:
        """Guards against a final refusal (402) of a request that its budget covers.

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

    def test_a_less_urgent_request_leaves_what_is_kept(self) -> None:
        held = self.held(100)
        assert held.reserve(80, kept_tokens=30) is None
        assert held.reserve(70, kept_tokens=30) is not None


class TestHoldings:
    _PEERS = tuple(Peer(name, f"{name}-1", f"{name}:1") for name in "abcde")

    def table(self) -> ClaimTable:
        """Return claims of five holders; the claim of `c` is stale, `d` has no tokens left."""
        table = ClaimTable()
        held_tokens = {"a": 50, "b": 700, "c": 900, "d": 0, "e": 60}
        for name, tokens in held_tokens.items():
            claim = Claim(_BUDGET, Holder(name, f"{name}-1"), 1000, 0, 0, 0, 0.0, tokens)
            table.put(claim, 2.0 if name == "c" else 9.0)
        return table

    def test_a_lender_names_who_lives_and_holds_most(self) -> None:
        named = holdings(self.table(), _BUDGET, Holder("a", "a-1"), 10.0)
        assert [(h.instance, h.tokens) for h in named] == [("b", 700), ("e", 60)]

    def test_a_borrower_asks_those_next(self) -> None:
        named = holdings(self.table(), _BUDGET, Holder("a", "a-1"), 10.0)
        assert [p.instance for p in next_asked(list(self._PEERS), named)] == ["b", "e"]

    def test_a_claim_of_an_earlier_version_holds_nothing_that_is_known(self) -> None:
        claim = Claim(_BUDGET, Holder("a", "a-1"), 1000, 10, 20, 5, 1.5, 300)
        record = encode_claim(claim)
        assert decode(record) == claim
        value = json.loads(record.value or b"")
        del value["held"]
        without = replace(record, value=json.dumps(value).encode())
        assert decode(without) == replace(claim, held_tokens=0)


class TestLoans:
    def test_lost_answer_of_a_loan(self) -> None:
        """Guards against tokens that are lost without being spent.

        A lender gives tokens, its answer is lost, and the borrower asks again. The second call made
        a second loan, and nobody could use the first one.
        """
        held = HeldBudget(_BUDGET, limit_tokens=100, window_tokens=100, base_tokens=100)
        loans = LoanBook()
        first = loans.lend(held, "x", kept_tokens=0, needed_tokens=40, extra_tokens=0)
        again = loans.lend(held, "x", kept_tokens=0, needed_tokens=40, extra_tokens=0)
        assert (first, again, held.available_tokens) == (40, 40, 60)

    def test_what_a_stopping_peer_leaves_is_taken_once(self) -> None:
        """Guards against spend above the prepaid tokens.

        A stopping peer hands tokens over and its call arrives twice. The second call was applied as
        another handover.
        """
        held = HeldBudget(_BUDGET)
        loans = LoanBook()
        assert [loans.take_over(held, "x", 40), loans.take_over(held, "x", 40)] == [40, 0]
        assert held.available_tokens == 40

    def test_a_lender_keeps_what_its_urgent_requests_need(self) -> None:
        held = HeldBudget(_BUDGET, limit_tokens=100, window_tokens=100, base_tokens=100)
        assert LoanBook().lend(held, "x", kept_tokens=90, needed_tokens=40, extra_tokens=0) == 10

    def test_extra_is_at_most_half_of_what_the_lender_can_spare(self) -> None:
        held = HeldBudget(_BUDGET, limit_tokens=100, window_tokens=100, base_tokens=100)
        assert LoanBook().lend(held, "x", kept_tokens=0, needed_tokens=10, extra_tokens=90) == 50

    def test_a_silent_peer_is_not_asked_for_a_while(self) -> None:
        """Guards against requests that each wait for the timeout of the same unreachable peer.

        A peer is disconnected, and each request that needs a loan asked it first, because the
        failure of one call was not remembered for the next.
        """
        peers = [Peer("b", "1", "b:1"), Peer("c", "1", "c:1")]
        table = book_with(claim(_OTHER, 60)).table
        choice = PeerChoice()
        assert [p.instance for p in choice.order(peers, table, _BUDGET, 0.0)] == ["b", "c"]
        choice.silent(peers[0], 0.0)
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
        log.note(self.last)
        log.note(self.start)
        for number, name in enumerate(("b", "c", "d", "e")):
            peer = Peer(name, "1", f"{name}:1")
            jump_s = jumps_s.get(name, 0.0)
            log.note(Renewal(peer, 99.7, 5 + number))
            log.note(Renewal(peer, 100.0 + gap_s + 0.5 + jump_s, 21 + number))
        self.started_s = 100.0 + gap_s + jumps_s.get("a", 0.0)
        return log

    def proves(self, gap_s: float, jumps_s: dict[str, float] | None = None) -> bool:
        log = self.log(gap_s, jumps_s)
        proven_s = log.longest_gap_s(self.last, self.start, self.started_s, 0.1)
        return proven_s is not None and not opening_after(proven_s).all_claimed

    def test_a_quick_restart_is_proven(self) -> None:
        assert self.proves(2.5)

    def test_how_long_the_dead_was_out_of_touch(self) -> None:
        """The renewals of others are 3.3 s apart, of which the successor's start took 0.1 s."""
        log = self.log(2.5)
        proven_s = log.longest_gap_s(self.last, self.start, self.started_s, 0.1)
        assert proven_s is not None
        assert 3.2 <= proven_s < 3.5

    def test_the_start_of_the_successor_does_not_count(self) -> None:
        """Guards against tokens stranded for a day by a machine without power for 3.5 s.

        The first renewal of the successor comes 0.7 s after its start. The time that the successor
        took to start was counted as time in which its predecessor could have spent.
        """
        log = self.log(3.6)
        slow_s = log.longest_gap_s(self.last, self.start, self.started_s, 0.0)
        quick_s = log.longest_gap_s(self.last, self.start, self.started_s, 0.7)
        assert slow_s is not None and opening_after(slow_s).all_claimed
        assert quick_s is not None and not opening_after(quick_s).all_claimed

    def test_a_slow_restart_is_not(self) -> None:
        assert not self.proves(UNLOCK_S + 0.1)

    def test_clock_that_jumps_back_while_the_process_is_down(self) -> None:
        """Guards against tokens that are spent, given back and spent again.

        A process is disconnected for long, spends beyond its window and dies. The time of day of
        its machine jumps back, so the time since the last renewal looks short to its successor. The
        clock of a single machine was relied on.
        """
        assert not self.proves(8.0, {"a": -6.0})

    def test_one_other_clock_that_jumps_along_is_not_enough(self) -> None:
        assert not self.proves(8.0, {"a": -6.0, "b": -6.0})

    def test_without_renewals_of_others_nothing_is_proven(self) -> None:
        log = RenewalLog()
        last, start = (
            Renewal(Peer("a", "1", "a:1"), 100.0, 1),
            Renewal(Peer("a", "2", "a:1"), 102.0, 2),
        )
        log.note(last)
        log.note(start)
        assert log.longest_gap_s(last, start, 101.9, 0.1) is None

    def test_another_address_is_no_successor(self) -> None:
        log = self.log(2.5)
        moved = Renewal(Peer("a", "2", "z:1"), self.start.wall_s, self.start.offset)
        assert log.longest_gap_s(self.last, moved, self.started_s, 0.1) is None
