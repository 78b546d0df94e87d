"""Borrows tokens from other instances when this one holds too few, and lends to them."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..core.loans import Holding, LoanBook, Peer, PeerChoice, next_asked
from ..events import Event, emit
from ..peers.failures import PeerError, PeerUnreachableError
from .lending import Handover, LoanReply, LoanRequest, PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..types import BudgetName
    from .claim_keeper import ClaimKeeper

#: Seconds of this instance's demand that are requested in addition to waiting requests.
_EXTRA_S = 2.0

#: A loan whose answer was lost is requested again for this long. After that its tokens are lost,
#: which overspends nothing.
_DOUBT_KEPT_S = 30.0


@dataclass(frozen=True, slots=True)
class _DoubtfulLoan:
    """Loan without an answer: the peer may have deducted the tokens."""

    peer: Peer
    request: LoanRequest
    until_s: float


class Borrower:
    """Borrows tokens of one shard's budgets, one round at a time per budget and priority."""

    def __init__(
        self,
        keeper: ClaimKeeper,
        link: PeerLink,
        lenders: Callable[[], list[Peer]],
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        self.loans = LoanBook()
        self._keeper = keeper
        self._link = link
        self._lenders = lenders
        self._spent_tokens: dict[BudgetName, int] = {}
        self._clock = clock
        self._changed = changed
        self._choice = PeerChoice()
        self._running: set[tuple[BudgetName, int]] = set()
        self._doubtful: list[_DoubtfulLoan] = []

    def is_running(self, budget: BudgetName, priority: int) -> bool:
        """Return whether a round for requests of a priority is running."""
        return (budget, priority) in self._running

    def spent_tokens(self, budget: BudgetName) -> int:
        """Return the confirmed spend of a budget, as reported by lenders."""
        return self._spent_tokens.get(budget, 0)

    def lend(self, request: LoanRequest) -> LoanReply:
        """Lend tokens that this instance holds to a peer."""
        self._keeper.update_opening()
        self._keeper.book.of(request.budget).heard_spent_tokens += request.spent_tokens
        given = self.loans.lend(
            self._keeper.book.of(request.budget),
            request.loan_id,
            kept_tokens=self._keeper.kept_tokens(request.budget, request.priority),
            needed_tokens=request.needed_tokens,
            extra_tokens=request.extra_tokens,
        )
        emit(Event.TOKENS_LENT, budget=request.budget, tokens=given, loan=request.loan_id)
        # A borrower that got everything asks no other peers.
        named = None if given >= request.needed_tokens else self._keeper.holdings(request.budget)
        return LoanReply(given, self._keeper.spent_tokens(request.budget), named)

    def take_over(self, handover: Handover) -> None:
        """Add tokens handed over by a peer that stops or returns a loan."""
        held = self._keeper.book.of(handover.budget)
        taken = self.loans.take_over(held, handover.loan_id, handover.tokens)
        emit(Event.TOKENS_TAKEN_OVER, budget=handover.budget, tokens=taken, loan=handover.loan_id)
        self._changed()

    async def hand_over(self) -> None:
        """Hand over all available tokens to a responsive peer, at a stop without the store.

        Otherwise they are lost to all callers: the instance cannot lower its claims, and once they
        have unlocked nobody can prove that it did not spend them. After a rolling stop of six
        instances in an outage of 8 s, 13 to 17 % of a budget stayed unspent while every request
        was refused.
        """
        self._keeper.update_opening()
        spare = [h for h in self._keeper.book.held.values() if h.available_tokens > 0]
        peer = await self._answering_peer() if spare else None
        if peer is None:
            return
        for held in spare:
            handover = Handover(held.budget, held.available_tokens, uuid.uuid4().hex)
            await self._hand_over(peer, handover)

    async def give_back_rests(self) -> None:
        """Give unused borrowed tokens back to a lender, unless this instance claims.

        A request borrows its maximum and mostly uses less. The unused tokens of many borrowers
        added up to a good part of a budget near its end, while every other request was refused.
        """
        if self._keeper.is_claimant:
            return
        for handover in self._rests():
            lenders = self._choice.answering(self._lenders(), self._clock.monotonic_s())
            if not lenders:
                return
            await self._hand_over(lenders[0], handover)

    def _rests(self) -> list[Handover]:
        """Return a handover for each budget with tokens to give back."""
        # Claimed tokens are given back through the store.
        borrowed = [h for h in self._keeper.book.held.values() if not h.limit_tokens]
        return [
            Handover(held.budget, held.available_tokens, uuid.uuid4().hex)
            for held in borrowed
            # Tokens that were borrowed in parts for a waiting request are needed by it.
            if held.available_tokens > 0 and not self._keeper.waiting_of(held.budget).total()
        ]

    async def _hand_over(self, peer: Peer, handover: Handover) -> None:
        """Deduct tokens and hand them over, once.

        Without an answer they are lost. If they were sent again, a restarted peer, which knows no
        earlier loan ids, could add a second time what it had added and spent before.
        """
        held = self._keeper.book.of(handover.budget)
        sent = replace(handover, tokens=held.give(handover.tokens))
        try:
            await self._link.hand_over(peer.address, sent)
        except PeerUnreachableError as error:
            held.receive(sent.tokens)
            self._suspect(peer, error)
            return
        except PeerError as error:
            self._suspect(peer, error)
        # Logged without an answer too: if the peer logged no line with this loan id, the tokens
        # are lost.
        emit(
            Event.TOKENS_HANDED_OVER,
            holder=self._keeper.book.me,
            budget=sent.budget,
            peer=peer.instance,
            tokens=sent.tokens,
            loan=sent.loan_id,
        )

    def _suspect(self, peer: Peer, error: PeerError) -> None:
        """Send no requests for a while to a peer that did not answer."""
        self._choice.silent(peer, self._clock.monotonic_s())
        emit(Event.PEER_SUSPECTED, peer=peer.instance, error=str(error))

    async def _answering_peer(self) -> Peer | None:
        """Return the first lender that answers: tokens handed over to a dead one are lost."""
        for peer in self._lenders():
            try:
                # Any call shows whether the peer answers; this one moves no tokens.
                await self._link.registrations_followed_s(peer.address)
            except PeerError as error:
                self._suspect(peer, error)
            else:
                return peer
        return None

    def begin(self, budget: BudgetName, priority: int, tasks: TaskGroup) -> None:
        """Start a round unless one is running."""
        if self.is_running(budget, priority):
            return
        self._running.add((budget, priority))
        tasks.start_soon(self._round, budget, priority)

    async def _round(self, budget: BudgetName, priority: int) -> None:
        """Ask one peer after another until the waiting requests can be served."""
        try:
            now_s = self._clock.monotonic_s()
            table = self._keeper.book.table
            peers = self._choice.order(self._lenders(), table, budget, now_s)
            while peers and (missing := self._missing(budget, priority)) > 0:
                named = await self._ask(peers.pop(0), budget, priority, missing)
                if named is not None and not self._keeper.is_claimant:
                    peers = next_asked(peers, named)
        finally:
            self._running.discard((budget, priority))
            self._changed()

    async def ask_again(self) -> None:
        """Repeat the requests for loans whose answers were lost."""
        doubtful, self._doubtful = self._doubtful, []
        for doubt in doubtful:
            if doubt.until_s > self._clock.monotonic_s():
                await self._borrow(doubt.peer, doubt.request, doubt.until_s)

    def _missing(self, budget: BudgetName, priority: int) -> int:
        wanted = self._keeper.wanted_tokens(budget, priority)
        return wanted - self._keeper.book.of(budget).available_tokens

    async def _ask(
        self, peer: Peer, budget: BudgetName, priority: int, missing: int
    ) -> tuple[Holding, ...] | None:
        """Ask a peer for a loan; return the holdings of other instances if it reported them."""
        now_s = self._clock.monotonic_s()
        loan_id = uuid.uuid4().hex
        if self._keeper.is_claimant:
            extra = self._extra_tokens(budget, now_s)
            request = LoanRequest(budget, priority, missing, extra, loan_id)
        else:
            # No extra tokens: unused tokens of some 60 borrowers of a budget would add up to the
            # requests that are refused near its end.
            spent = self._take_untold(budget)
            request = LoanRequest(budget, priority, missing, 0, loan_id, True, spent)
        reply = await self._borrow(peer, request, now_s + _DOUBT_KEPT_S)
        if reply is None:
            return None
        if reply.given_tokens < missing:
            self._choice.dry(peer, budget, self._clock.monotonic_s())
        return reply.holdings

    def _extra_tokens(self, budget: BudgetName, now_s: float) -> int:
        """Return the tokens to request in addition to waiting requests.

        Zero while the store is reachable: loans are then requested only when everything is
        claimed, and borrowed tokens that are unspent when an instance dies are lost.
        """
        if not self._keeper.is_cut_off:
            return 0
        return int(self._keeper.demand_on(budget).total.rate(now_s) * _EXTRA_S)

    def _take_untold(self, budget: BudgetName) -> int:
        """Return and reset the unreported spend. If the call fails, it is never reported.

        Spend that is reported twice could make a lender refuse paid requests for good, as if the
        budget were exhausted. Unreported spend only makes the last requests be retried later.
        """
        held = self._keeper.book.of(budget)
        untold, held.untold_tokens = held.untold_tokens, 0
        return untold

    async def _borrow(self, peer: Peer, request: LoanRequest, until_s: float) -> LoanReply | None:
        try:
            reply = await self._link.borrow(peer.address, request)
        except PeerError as error:
            again = replace(request, spent_tokens=0)
            self._doubtful.append(_DoubtfulLoan(peer, again, until_s))
            self._suspect(peer, error)
            return None
        given = reply.given_tokens
        self._keeper.book.of(request.budget).receive(given)
        self._spent_tokens[request.budget] = max(
            self.spent_tokens(request.budget), reply.spent_tokens
        )
        emit(
            Event.TOKENS_BORROWED,
            budget=request.budget,
            peer=peer.instance,
            tokens=given,
            needed=request.needed_tokens,
            loan=request.loan_id,
        )
        self._changed()
        return reply
