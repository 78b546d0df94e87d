"""Borrows tokens from other instances when this one holds too few, and lends to them."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..core.loans import Holding, LoanLog, Peer, PeerChoice, peers_with_holdings
from ..events import Event, emit
from ..peers.failures import PeerError, PeerUnreachableError
from .lending import Handover, LoanReply, LoanRequest, PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..types import BudgetName
    from .claim_manager import ClaimManager

#: Seconds of this instance's demand that are requested in addition to waiting requests.
_EXTRA_DEMAND_S = 2.0

#: A loan whose answer was lost is requested again for this long. After that its tokens are lost if
#: the peer deducted them, which overspends nothing.
_RETRY_UNCONFIRMED_S = 30.0


#: Seconds without spend after which an instance reports what it has spent: with steady requests,
#: their loans report it.
_REPORT_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class _UnconfirmedLoan:
    """Loan without an answer: the peer may have deducted the tokens."""

    peer: Peer
    request: LoanRequest
    until_s: float


@dataclass(frozen=True, slots=True)
class _UnreportedSpend:
    """Spend that no lender knows, and since when it has not changed."""

    tokens: int
    since_s: float


class Borrower:
    """Borrows tokens of one shard's budgets, one round at a time per budget and priority."""

    def __init__(
        self,
        claim_manager: ClaimManager,
        link: PeerLink,
        lenders: Callable[[], list[Peer]],
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.loans = LoanLog()
        self._claim_manager = claim_manager
        self._link = link
        self._lenders = lenders
        self._spent_tokens: dict[BudgetName, int] = {}
        self._unreported: dict[BudgetName, _UnreportedSpend] = {}
        self._clock = clock
        self._on_change = on_change
        self._peer_choice = PeerChoice()
        self._running_rounds: set[tuple[BudgetName, int]] = set()
        self._unconfirmed_loans: list[_UnconfirmedLoan] = []

    def is_round_running(self, budget: BudgetName, priority: int) -> bool:
        """Return whether a round for requests of a priority is running."""
        return (budget, priority) in self._running_rounds

    def spent_tokens(self, budget: BudgetName) -> int:
        """Return the confirmed spend of a budget, as reported by lenders."""
        return self._spent_tokens.get(budget, 0)

    def lend(self, request: LoanRequest) -> LoanReply:
        """Lend tokens that this instance holds to a peer."""
        self._claim_manager.update_opening()
        self._claim_manager.claims.held_budget(
            request.budget
        ).borrowers_spent_tokens += request.spent_tokens
        given_tokens = self.loans.lend(
            self._claim_manager.claims.held_budget(request.budget),
            request.loan_id,
            withheld_tokens=self._claim_manager.withheld_tokens(request.budget, request.priority),
            needed_tokens=request.needed_tokens,
            extra_tokens=request.extra_tokens,
        )
        emit(Event.TOKENS_LENT, budget=request.budget, tokens=given_tokens, loan=request.loan_id)
        # A borrower that got everything asks no other peers.
        named_holdings = (
            None
            if given_tokens >= request.needed_tokens
            else self._claim_manager.holdings(request.budget)
        )
        return LoanReply(
            given_tokens, self._claim_manager.spent_tokens(request.budget), named_holdings
        )

    def take_over(self, handover: Handover) -> None:
        """Add tokens handed over by a peer that stops or returns a loan."""
        held = self._claim_manager.claims.held_budget(handover.budget)
        received_tokens = self.loans.take_over(held, handover.loan_id, handover.tokens)
        emit(
            Event.TOKENS_TAKEN_OVER,
            budget=handover.budget,
            tokens=received_tokens,
            loan=handover.loan_id,
        )
        self._on_change()

    async def hand_over(self) -> None:
        """Hand over all available tokens to a responsive peer, at a stop without the store.

        Otherwise they are lost to all callers: the instance cannot lower its claims, and once they
        have unlocked nobody can prove that it did not spend them.
        """
        self._claim_manager.update_opening()
        spare = [
            h for h in self._claim_manager.claims.held_budgets.values() if h.available_tokens > 0
        ]
        peer = await self._find_responsive_peer() if spare else None
        if peer is None:
            return
        for held in spare:
            handover = Handover(held.budget, held.available_tokens, uuid.uuid4().hex)
            await self._send_handover(peer, handover)

    async def give_back_unused(self) -> None:
        """Give unused borrowed tokens back to a lender, unless this instance claims.

        A request borrows its maximum and mostly uses less. The unused tokens of many borrowers
        added up to a good part of a budget near its end, while every other request was refused.
        """
        if self._claim_manager.is_claimant:
            return
        for handover in self._unused_handovers():
            lenders = self._peer_choice.responsive(self._lenders(), self._clock.monotonic_s())
            if not lenders:
                return
            await self._send_handover(lenders[0], handover)

    async def report_spent(self) -> None:
        """Report to a lender what was spent of budgets that this instance borrows no longer.

        A request for a loan reports it otherwise. Without this, nobody would know that a budget is
        exhausted once its requests come to other instances.
        """
        if self._claim_manager.is_claimant:
            return
        for budget in self._budgets_with_idle_spend():
            lenders = self._peer_choice.responsive(self._lenders(), self._clock.monotonic_s())
            if not lenders:
                return
            spent_tokens = self._pop_unreported_tokens(budget)
            request = LoanRequest(budget, 0, 0, 0, uuid.uuid4().hex, True, spent_tokens)
            await self._borrow_from(lenders[0], request, self._clock.monotonic_s())

    def _budgets_with_idle_spend(self) -> list[BudgetName]:
        """Return the budgets whose unreported spend has not changed for some time."""
        now_s = self._clock.monotonic_s()
        unreported: dict[BudgetName, _UnreportedSpend] = {}
        for budget, held in self._claim_manager.claims.held_budgets.items():
            if tokens := held.unreported_borrowed_tokens:
                known = self._unreported.get(budget)
                if known is None or known.tokens != tokens:
                    known = _UnreportedSpend(tokens, now_s)
                unreported[budget] = known
        self._unreported = unreported
        return [b for b, u in unreported.items() if now_s - u.since_s >= _REPORT_AFTER_S]

    def _unused_handovers(self) -> list[Handover]:
        """Return a handover for each budget with tokens to give back."""
        # Claimed tokens are given back through the store.
        borrowed = [
            h for h in self._claim_manager.claims.held_budgets.values() if not h.limit_tokens
        ]
        return [
            Handover(held.budget, held.available_tokens, uuid.uuid4().hex)
            for held in borrowed
            # Tokens that were borrowed in parts for a waiting request are needed by it.
            if held.available_tokens > 0
            and not self._claim_manager.waiting_tokens_by_priority(held.budget).total()
        ]

    async def _send_handover(self, peer: Peer, handover: Handover) -> None:
        """Deduct tokens and hand them over, once.

        Without an answer they may be lost. If they were sent again, a restarted peer, which knows
        no earlier loan ids, could add a second time what it had added and spent before.
        """
        held = self._claim_manager.claims.held_budget(handover.budget)
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
            holder=self._claim_manager.claims.holder,
            budget=sent.budget,
            peer=peer.instance,
            tokens=sent.tokens,
            loan=sent.loan_id,
        )

    def _suspect(self, peer: Peer, error: PeerError) -> None:
        """Send no requests for a while to a peer that did not answer."""
        self._peer_choice.mark_unresponsive(peer, self._clock.monotonic_s())
        emit(Event.PEER_SUSPECTED, peer=peer.instance, error=str(error))

    async def _find_responsive_peer(self) -> Peer | None:
        """Return the first lender that answers: tokens handed over to a dead one are lost."""
        for peer in self._lenders():
            try:
                # Any call shows whether the peer answers; this one moves no tokens.
                await self._link.registrations_gapless_read_s(peer.address)
            except PeerError as error:
                self._suspect(peer, error)
            else:
                return peer
        return None

    def begin_round(self, budget: BudgetName, priority: int, tasks: TaskGroup) -> None:
        """Start a round unless one is running."""
        if self.is_round_running(budget, priority):
            return
        self._running_rounds.add((budget, priority))
        tasks.start_soon(self._run_round, budget, priority)

    async def _run_round(self, budget: BudgetName, priority: int) -> None:
        """Ask one peer after another until the waiting requests can be served."""
        try:
            now_s = self._clock.monotonic_s()
            table = self._claim_manager.claims.table
            peers = self._peer_choice.order(self._lenders(), table, budget, now_s)
            while peers and (missing_tokens := self._missing_tokens(budget, priority)) > 0:
                named_holdings = await self._request_loan(
                    peers.pop(0), budget, priority, missing_tokens
                )
                if named_holdings is not None and not self._claim_manager.is_claimant:
                    peers = peers_with_holdings(peers, named_holdings)
        finally:
            self._running_rounds.discard((budget, priority))
            self._on_change()

    async def retry_unconfirmed(self) -> None:
        """Repeat the requests for loans whose answers were lost."""
        unconfirmed, self._unconfirmed_loans = self._unconfirmed_loans, []
        for loan in unconfirmed:
            if loan.until_s > self._clock.monotonic_s():
                await self._borrow_from(loan.peer, loan.request, loan.until_s)

    def _missing_tokens(self, budget: BudgetName, priority: int) -> int:
        wanted_tokens = self._claim_manager.wanted_tokens(budget, priority)
        return wanted_tokens - self._claim_manager.claims.held_budget(budget).available_tokens

    async def _request_loan(
        self, peer: Peer, budget: BudgetName, priority: int, missing_tokens: int
    ) -> tuple[Holding, ...] | None:
        """Ask a peer for a loan; return the holdings of other instances if it reported them."""
        now_s = self._clock.monotonic_s()
        loan_id = uuid.uuid4().hex
        if self._claim_manager.is_claimant:
            extra_tokens = self._extra_tokens(budget, now_s)
            request = LoanRequest(budget, priority, missing_tokens, extra_tokens, loan_id)
        else:
            # No extra tokens: with some 60 borrowers per budget, their unused tokens would add up
            # to what the last callers of the budget are refused.
            spent_tokens = self._pop_unreported_tokens(budget)
            request = LoanRequest(budget, priority, missing_tokens, 0, loan_id, True, spent_tokens)
        reply = await self._borrow_from(peer, request, now_s + _RETRY_UNCONFIRMED_S)
        if reply is None:
            return None
        if reply.given_tokens < missing_tokens:
            self._peer_choice.mark_empty(peer, budget, self._clock.monotonic_s())
        return reply.holdings

    def _extra_tokens(self, budget: BudgetName, now_s: float) -> int:
        """Return the tokens to request in addition to waiting requests.

        Zero while the store is reachable: loans are then requested only when everything is
        claimed, and borrowed tokens that are unspent when an instance dies are lost.
        """
        if not self._claim_manager.is_cut_off:
            return 0
        return int(
            self._claim_manager.demand_for(budget).total.rate_tokens_per_s(now_s) * _EXTRA_DEMAND_S
        )

    def _pop_unreported_tokens(self, budget: BudgetName) -> int:
        """Return and reset the unreported spend; a failed loan request never reports it again.

        Spend that is reported twice could make a lender refuse paid requests for good, as if the
        budget were exhausted. Unreported spend only makes the last requests be retried later.
        """
        held = self._claim_manager.claims.held_budget(budget)
        unreported_tokens, held.unreported_borrowed_tokens = held.unreported_borrowed_tokens, 0
        return unreported_tokens

    async def _borrow_from(
        self, peer: Peer, request: LoanRequest, until_s: float
    ) -> LoanReply | None:
        try:
            reply = await self._link.borrow(peer.address, request)
        except PeerError as error:
            retry = replace(request, spent_tokens=0)
            self._unconfirmed_loans.append(_UnconfirmedLoan(peer, retry, until_s))
            self._suspect(peer, error)
            return None
        given_tokens = reply.given_tokens
        self._claim_manager.claims.held_budget(request.budget).receive(given_tokens)
        self._spent_tokens[request.budget] = max(
            self.spent_tokens(request.budget), reply.spent_tokens
        )
        emit(
            Event.TOKENS_BORROWED,
            budget=request.budget,
            peer=peer.instance,
            tokens=given_tokens,
            needed=request.needed_tokens,
            loan=request.loan_id,
        )
        self._on_change()
        return reply
