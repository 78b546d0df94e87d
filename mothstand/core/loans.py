"""Loans of tokens between instances: whom to ask, how much to give, and each loan once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .claims import Holder

if TYPE_CHECKING:
    from ..types import BudgetName
    from .claims import ClaimTable, HeldBudget

#: Part of what a lender holds that it gives beyond the need of the requests that wait: without
#: some, each request of a borrower costs a call; with all, the two would ask each other in turns.
EXTRA_SHARE = 0.5

#: Loans that a lender remembers, so that a repeated call moves tokens once. A caller repeats
#: within a minute; ten a second for that long are far more than instances ask for.
_MAX_REMEMBERED_LOANS = 5000

#: A peer that did not answer is not asked again for this long: each further try would cost the
#: waiting request another timeout.
UNRESPONSIVE_PEER_PAUSE_S = 2.0


@dataclass(slots=True)
class LoanLog:
    """The loans that this instance has given, and what was left to it.

    Notes
    -----
    When a reply is lost the borrower does not know whether the tokens are its own. It asks again
    under the same id; without a memory of the first answer the lender would give twice, and the
    first loan would be lost to everyone.
    """

    _given_tokens: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _received_tokens: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def take_over(self, held: HeldBudget, loan_id: str, tokens: int) -> int:
        """Add tokens that another instance has taken out for this one, once; return how many."""
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
        """Take tokens out of what is held, and return how many."""
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
    """What an instance holds of a budget, as it last wrote."""

    instance: str
    tokens: int


#: Holders that a lender names at most: more than one loan is seldom put together of.
_MAX_NAMED_HOLDERS = 4

#: A holder whose claims have not changed for this long may have gone.
_STALE_AFTER_S = 4.0


def holdings(
    table: ClaimTable, budget: BudgetName, local_holder: Holder, now_s: float
) -> tuple[Holding, ...]:
    """Return what others hold of a budget by their claims, most first."""
    others = [
        Holding(holder.instance, claim.held_tokens)
        for holder, claim in table.claims[budget].items()
        if holder != local_holder
        and claim.held_tokens > 0
        and now_s - table.changed_at_s.get(holder, 0.0) < _STALE_AFTER_S
    ]
    return tuple(sorted(others, key=lambda h: -h.tokens)[:_MAX_NAMED_HOLDERS])


def peers_with_holdings(peers: list[Peer], named_holdings: tuple[Holding, ...]) -> list[Peer]:
    """Return those of the peers that hold some, most first.

    A borrower knows no claims. Asked one after the other, all lenders of a budget that is used up
    cost it the whole time that a request may wait, and it refuses all the same.
    """
    tokens = {holding.instance: holding.tokens for holding in named_holdings}
    holders = [peer for peer in peers if peer.instance in tokens]
    return sorted(holders, key=lambda peer: -tokens[peer.instance])


@dataclass(slots=True)
class PeerChoice:
    """Whom to ask for a loan: who is believed to hold most, and answers."""

    _unresponsive_until_s: dict[str, float] = field(default_factory=dict)
    _empty_until_s: dict[tuple[str, str], float] = field(default_factory=dict)

    def order(
        self, peers: list[Peer], table: ClaimTable, budget: BudgetName, now_s: float
    ) -> list[Peer]:
        """Return the peers to ask, in order; those that hold the same keep their order."""
        claims = table.claims[budget]

        def unspent(peer: Peer) -> int:
            # By this start of the peer: what a dead one of the same name held it cannot give.
            claim = claims.get(Holder(peer.instance, peer.incarnation))
            return 0 if claim is None else claim.claimed_tokens - claim.spent_tokens

        candidates = [
            p
            for p in self.responsive(peers, now_s)
            if self._empty_until_s.get((p.instance, budget), 0.0) <= now_s
        ]
        return sorted(candidates, key=unspent, reverse=True)

    def responsive(self, peers: list[Peer], now_s: float) -> list[Peer]:
        """Return the peers without those that did not answer a moment ago."""
        return [p for p in peers if self._unresponsive_until_s.get(p.instance, 0.0) <= now_s]

    def mark_unresponsive(self, peer: Peer, now_s: float) -> None:
        """Note that a peer did not answer."""
        self._unresponsive_until_s[peer.instance] = now_s + UNRESPONSIVE_PEER_PAUSE_S

    def mark_empty(self, peer: Peer, budget: BudgetName, now_s: float) -> None:
        """Note that a peer had nothing of a budget; requests that end there free some again."""
        self._empty_until_s[peer.instance, budget] = now_s + EMPTY_PEER_PAUSE_S


#: A peer that had nothing is not asked again for this long; about as long as a request runs.
EMPTY_PEER_PAUSE_S = 0.3
