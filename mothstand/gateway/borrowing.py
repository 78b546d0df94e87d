"""Borrows tokens from other instances when what is held here does not do."""

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

#: Seconds of one's own demand that are asked for on top of what waits.
_EXTRA_S = 2.0

#: A loan whose answer was lost is asked for again for this long; after that its tokens stay with
#: nobody, which costs them but overspends nothing.
_DOUBT_KEPT_S = 30.0


@dataclass(frozen=True, slots=True)
class _DoubtfulLoan:
    """A loan without an answer: the peer may have taken the tokens out."""

    peer: Peer
    request: LoanRequest
    until_s: float


class Borrower:
    """Asks peers for tokens of the budgets of one keeper, one round at a time for each."""

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
        """Return whether a round for requests of a priority is under way."""
        return (budget, priority) in self._running

    def spent_tokens(self, budget: BudgetName) -> int:
        """Return what lenders said to be surely spent of a budget."""
        return self._spent_tokens.get(budget, 0)

    def lend(self, request: LoanRequest) -> LoanReply:
        """Give tokens to a peer, from what is held."""
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
        # Who got all needs no others.
        named = None if given >= request.needed_tokens else self._keeper.holdings(request.budget)
        return LoanReply(given, self._keeper.spent_tokens(request.budget), named)

    def take_over(self, handover: Handover) -> None:
        """Take tokens that a peer leaves: it stops, or has only borrowed them."""
        held = self._keeper.book.of(handover.budget)
        taken = self.loans.take_over(held, handover.loan_id, handover.tokens)
        emit(Event.TOKENS_TAKEN_OVER, budget=handover.budget, tokens=taken, loan=handover.loan_id)
        self._changed()

    async def hand_over(self) -> None:
        """Leave all that may be spent to a peer that answers, at a stop without the store.

        What a stopped instance holds is lost to all callers: it cannot lower its claims, and once
        it has been out of touch for long enough to spend them whole, nobody can prove later that
        it did not. Of a rolling stop of six in an outage of eight seconds 13 to 17 % of a budget
        stayed unspent to the day's end, while every request was refused.
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
        """Give lenders back what requests here have left over, where this instance only borrows.

        Each request borrows what it may use at most, and mostly uses less. Left where it is, the
        rest waits for the next request of that workspace here: a good part of a budget near its end
        lay so in a large fleet, while every other request was refused.
        """
        if self._keeper.is_claimant:
            return
        for handover in self._rests():
            lenders = self._choice.answering(self._lenders(), self._clock.monotonic_s())
            if not lenders:
                return
            await self._hand_over(lenders[0], handover)

    def _rests(self) -> list[Handover]:
        """Return what can be given back of each budget."""
        # What is claimed is given back through the store.
        borrowed = [h for h in self._keeper.book.held.values() if not h.limit_tokens]
        return [
            Handover(held.budget, held.available_tokens, uuid.uuid4().hex)
            for held in borrowed
            # What was borrowed piece by piece for a request that still waits is no rest.
            if held.available_tokens > 0 and not self._keeper.waiting_of(held.budget).total()
        ]

    async def _hand_over(self, peer: Peer, handover: Handover) -> None:
        """Take tokens out and hand them over, once.

        Without an answer they are nobody's. Sent again they might meet a later start of the peer,
        which knows no ids of the one before: what that one had added and spent would be added once
        more.
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
        # Told also without an answer: no line of the peer's with this loan says that they are lost.
        emit(
            Event.TOKENS_HANDED_OVER,
            holder=self._keeper.book.me,
            budget=sent.budget,
            peer=peer.instance,
            tokens=sent.tokens,
            loan=sent.loan_id,
        )

    def _suspect(self, peer: Peer, error: PeerError) -> None:
        """Ask a peer that did not answer nothing for a while."""
        self._choice.silent(peer, self._clock.monotonic_s())
        emit(Event.PEER_SUSPECTED, peer=peer.instance, error=str(error))

    async def _answering_peer(self) -> Peer | None:
        """Return the first lender that answers: what is left to a dead one is lost."""
        for peer in self._lenders():
            try:
                # Any call tells; this one moves nothing.
                await self._link.registrations_followed_s(peer.address)
            except PeerError as error:
                self._suspect(peer, error)
            else:
                return peer
        return None

    def begin(self, budget: BudgetName, priority: int, tasks: TaskGroup) -> None:
        """Start a round unless one is under way."""
        if self.is_running(budget, priority):
            return
        self._running.add((budget, priority))
        tasks.start_soon(self._round, budget, priority)

    async def _round(self, budget: BudgetName, priority: int) -> None:
        """Ask one peer after the other until what waits can be served."""
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
        """Ask for the loans whose answers were lost."""
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
        """Ask a peer for a loan; return who else holds some, if it said so."""
        now_s = self._clock.monotonic_s()
        loan_id = uuid.uuid4().hex
        if self._keeper.is_claimant:
            extra = self._extra_tokens(budget, now_s)
            request = LoanRequest(budget, priority, missing, extra, loan_id)
        else:
            # No more than what waits: the rests of some 60 borrowers of each budget add up to
            # what its last callers are refused.
            spent = self._take_untold(budget)
            request = LoanRequest(budget, priority, missing, 0, loan_id, True, spent)
        reply = await self._borrow(peer, request, now_s + _DOUBT_KEPT_S)
        if reply is None:
            return None
        if reply.given_tokens < missing:
            self._choice.dry(peer, budget, self._clock.monotonic_s())
        return reply.holdings

    def _extra_tokens(self, budget: BudgetName, now_s: float) -> int:
        """Return what is welcome on top of what waits.

        In touch with the store nothing: loans are asked for there only when all is claimed, and
        what one has borrowed and not spent at its death is lost to everyone.
        """
        if not self._keeper.is_cut_off:
            return 0
        return int(self._keeper.demand_on(budget).total.rate(now_s) * _EXTRA_S)

    def _take_untold(self, budget: BudgetName) -> int:
        """Return what is still to be told as spent. Should the call fail it is never told.

        Told twice it would make a lender believe that a budget is used up which is not, and refuse
        for good what was paid for; told never, a request at the end is asked to come back.
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
