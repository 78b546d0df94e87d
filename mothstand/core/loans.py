"""Loans of tokens between instances: choice of lenders, amounts, and repeated calls."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .claims import Holder

if TYPE_CHECKING:
    from ..types import BudgetName
    from .claims import ClaimTable, HeldBudget

#: Part of a lender's spare tokens that it may lend beyond the need of the waiting requests. Without
#: extra tokens, each request of a borrower costs a call; if all were lent, the two instances would
#: borrow from each other in turn.
EXTRA_SHARE = 0.5

#: Maximum number of remembered loans, so that a repeated call moves tokens once. A caller repeats
#: within a minute, and ten calls per second for that long are far more than instances make.
_MAX_REMEMBERED_LOANS = 5000

#: Pause before a peer that did not answer is asked again: each further attempt would cost the
#: waiting request another timeout.
UNRESPONSIVE_PEER_PAUSE_S = 2.0


@dataclass(slots=True)
class LoanLog:
    """Loans that this instance has given, and handovers that it has received.

    If a reply is lost, the borrower does not know whether it received the tokens, and asks again
    with the same id. If the lender did not remember its first answer, it would lend twice, and
    nobody could use the tokens of the first loan.
    """

    _given_tokens: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _received_tokens: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def take_over(self, held: HeldBudget, loan_id: str, tokens: int) -> int:
        """Add tokens that a stopping instance hands over, once per id; return how many."""
        if loan_id in self._received_tokens:
            return 0
        held.receive(tokens)
        _remember(self._received_tokens, loan_id, tokens)
        return tokens

    def lend(
        self,
        held: HeldBudget,
        loan_id: str,
        *,
        withheld_tokens: int,
        needed_tokens: int,
        extra_tokens: int,
    ) -> int:
        """Lend held tokens, once per id, and return how many."""
        if loan_id in self._given_tokens:
            return self._given_tokens[loan_id]
        spare = max(0, held.available_tokens - withheld_tokens)
        share = int(spare * EXTRA_SHARE)
        wanted = max(needed_tokens, min(needed_tokens + extra_tokens, share))
        given = held.give(min(wanted, spare))
        _remember(self._given_tokens, loan_id, given)
        return given


def _remember(loans: OrderedDict[str, int], loan_id: str, tokens: int) -> None:
    loans[loan_id] = tokens
    while len(loans) > _MAX_REMEMBERED_LOANS:
        loans.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Peer:
    """Another instance of the fleet."""

    instance: str
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class Holding:
    """Tokens of a budget that an instance holds, as of its latest claim."""

    instance: str
    tokens: int


#: Maximum number of holders that a lender names; a borrower seldom needs loans from more.
_MAX_NAMED_HOLDERS = 4

#: A holder whose claims have not changed for this many seconds has possibly stopped.
_STALE_AFTER_S = 4.0


def holdings(
    table: ClaimTable, budget: BudgetName, local_holder: Holder, now_s: float
) -> tuple[Holding, ...]:
    """Return what other instances hold of a budget by their claims, largest first."""
    others = [
        Holding(holder.instance, claim.held_tokens)
        for holder, claim in table.claims[budget].items()
        if holder != local_holder
        and claim.held_tokens > 0
        and now_s - table.changed_at_s.get(holder, 0.0) < _STALE_AFTER_S
    ]
    return tuple(sorted(others, key=lambda h: -h.tokens)[:_MAX_NAMED_HOLDERS])


def peers_with_holdings(peers: list[Peer], named_holdings: tuple[Holding, ...]) -> list[Peer]:
    """Return the peers among the named holders, those with most tokens first.

    A borrower does not read claims. If it asked all lenders of a used-up budget in turn, the
    request would spend its whole waiting time and still be refused.
    """
    tokens = {holding.instance: holding.tokens for holding in named_holdings}
    holders = [peer for peer in peers if peer.instance in tokens]
    return sorted(holders, key=lambda peer: -tokens[peer.instance])


@dataclass(slots=True)
class PeerChoice:
    """Order in which to ask peers for a loan, without unresponsive and empty ones."""

    _unresponsive_until_s: dict[str, float] = field(default_factory=dict)
    _empty_until_s: dict[tuple[str, str], float] = field(default_factory=dict)

    def order(
        self, peers: list[Peer], table: ClaimTable, budget: BudgetName, now_s: float
    ) -> list[Peer]:
        """Return the peers to ask, those with most unspent tokens first; equal ones keep order."""
        claims = table.claims[budget]

        def unspent(peer: Peer) -> int:
            # Only the claim of the peer's current start: it cannot lend what an earlier start held.
            claim = claims.get(Holder(peer.instance, peer.incarnation))
            return 0 if claim is None else claim.claimed_tokens - claim.spent_tokens

        candidates = [
            p
            for p in self.responsive(peers, now_s)
            if self._empty_until_s.get((p.instance, budget), 0.0) <= now_s
        ]
        return sorted(candidates, key=unspent, reverse=True)

    def responsive(self, peers: list[Peer], now_s: float) -> list[Peer]:
        """Return the peers without those that recently did not answer."""
        return [p for p in peers if self._unresponsive_until_s.get(p.instance, 0.0) <= now_s]

    def mark_unresponsive(self, peer: Peer, now_s: float) -> None:
        """Note that a peer did not answer."""
        self._unresponsive_until_s[peer.instance] = now_s + UNRESPONSIVE_PEER_PAUSE_S

    def mark_empty(self, peer: Peer, budget: BudgetName, now_s: float) -> None:
        """Note that a peer had no tokens of a budget; requests that end there may free some."""
        self._empty_until_s[peer.instance, budget] = now_s + EMPTY_PEER_PAUSE_S


#: Pause before a peer without tokens is asked again; about the duration of a request.
EMPTY_PEER_PAUSE_S = 0.3
