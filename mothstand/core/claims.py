"""Claims on prepaid budgets: what instances may spend, kept exact by conditional appends.

A claim says how many tokens of a budget one process may have consumed at most, from its start on.
A process writes its claims to a keyed stream of the platform's store, each time under the
condition that it has read the stream to its end, and only if all claims of a budget still fit
into what was paid. So every record fitted when it was written, nothing is rejected afterwards,
and the newest record of each key is the whole state. No clock, leader or belief about who is
alive takes part: a process that was paused or cut off fails the condition.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from .renewals import CLOSED, Opening

if TYPE_CHECKING:
    from ..types import BudgetName


class Holder(NamedTuple):
    """One process that holds claims: its instance's name and the id of this start of it."""

    instance: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Claim:
    """What a holder may consume of a budget, and its word on what it does with it.

    Parameters
    ----------
    claimed_tokens
        The most that the holder consumes in its life, transfers to others included.
    base_tokens
        The most of these that it consumes while in touch with the store.
    window_tokens
        The most of these that it consumes before it has been out of touch with the store for
        `renewals.UNLOCK_S`; between base and window the limit grows with that time.
    spent_tokens
        Consumed by requests that have ended, as of the record; it only grows.
    demand_tokens_per_s
        What callers asked of it lately.
    held_tokens
        What it has left of the claim, as of the record, for others to know whom to ask for a loan.
    """

    budget: BudgetName
    holder: Holder
    claimed_tokens: int
    base_tokens: int
    window_tokens: int
    spent_tokens: int
    demand_tokens_per_s: float
    held_tokens: int = 0

    def limit_tokens(self, opening: Opening) -> int:
        """Return the most that its holder consumes up to an opening."""
        return opening.limit_tokens(
            claimed=self.claimed_tokens, window=self.window_tokens, base=self.base_tokens
        )


@dataclass(slots=True)
class ClaimTable:
    """All claims of one shard of budgets, as read from the store.

    Parameters
    ----------
    next_offset
        Where to read on, and the condition of the next append.
    read_at_s
        When the claim of a holder was last seen to change, on this process's clock.
    """

    next_offset: int = 0
    claims: dict[BudgetName, dict[Holder, Claim]] = field(default_factory=lambda: defaultdict(dict))
    changed_at_s: dict[Holder, float] = field(default_factory=dict)

    def apply(self, claim: Claim, now_s: float) -> None:
        """Take a later claim of its holder."""
        self.claims[claim.budget][claim.holder] = claim
        self.changed_at_s[claim.holder] = now_s

    def claimed_tokens(self, budget: BudgetName) -> int:
        """Return what all holders of a budget may consume."""
        return sum(c.claimed_tokens for c in self.claims[budget].values())

    def claim(self, budget: BudgetName, holder: Holder) -> Claim:
        """Return the claim of one holder, one of nothing if it has none."""
        written = self.claims[budget].get(holder)
        return written or Claim(budget, holder, 0, 0, 0, 0, 0.0)


@dataclass(frozen=True, slots=True)
class Usage:
    """What a request that has ended consumed of its budget.

    Parameters
    ----------
    most_tokens
        What it may have consumed; so much is never given to another request.
    sure_tokens
        What it surely did. An upstream that got a request and showed no event of an answer may
        have begun to run it or not, and nobody can tell later.
    """

    max_tokens: int
    confirmed_tokens: int


#: Of a request that did not run.
NO_USAGE = Usage(0, 0)


@dataclass(slots=True)
class Reservation:
    """Tokens set aside for one running request, at its most."""

    budget: BudgetName
    tokens: int
    is_open: bool = True


@dataclass(slots=True)
class HeldBudget:
    """What this process holds of one budget.

    Parameters
    ----------
    limit_tokens, window_tokens, base_tokens
        Claim, window and base that are surely in the store; where an append's fate is unknown,
        the lowest that may be.
    opening
        How much of these may be spent now.
    received_tokens, given_tokens
        Moved from and to other instances, without a change of the claims in the store.
    borrowed_spent_tokens
        Spent while this process claimed nothing itself; its lenders write that for it.
    untold_tokens
        Of these, what no lender has been told.
    heard_spent_tokens
        Spent by borrowers, by their own word.
    doubtful_tokens
        Of what is counted as spent here, what may not have been consumed. It is never written as
        spent, nor told to lenders: a refusal that says a budget is used up rests on what is.
    """

    budget: BudgetName
    limit_tokens: int = 0
    window_tokens: int = 0
    base_tokens: int = 0
    opening: Opening = CLOSED
    spent_tokens: int = 0
    reserved_tokens: int = 0
    received_tokens: int = 0
    given_tokens: int = 0
    borrowed_spent_tokens: int = 0
    unreported_borrowed_tokens: int = 0
    borrowers_spent_tokens: int = 0
    uncertain_tokens: int = 0

    @property
    def recorded_spent_tokens(self) -> int:
        """What this process writes as spent; summed over all claims it is never too much."""
        own = self.spent_tokens - self.uncertain_tokens - self.borrowed_spent_tokens
        return own + self.borrowers_spent_tokens

    @property
    def available_tokens(self) -> int:
        """What may still be reserved now."""
        limit = self.opening.limit_tokens(
            claimed=self.limit_tokens, window=self.window_tokens, base=self.base_tokens
        )
        return limit - self.needed_claim_tokens

    @property
    def held_tokens(self) -> int:
        """What is claimed and not used, whether or not it may be reserved now."""
        return self.limit_tokens - self.needed_claim_tokens

    @property
    def needed_claim_tokens(self) -> int:
        """The least claim that covers what was done already."""
        used = self.spent_tokens + self.reserved_tokens + self.given_tokens
        return used - self.received_tokens

    def reserve(self, tokens: int, *, withheld_tokens: int = 0) -> Reservation | None:
        """Set tokens aside, or return None if they do not fit beside what is kept for others."""
        if tokens > self.available_tokens - withheld_tokens:
            return None
        self.reserved_tokens += tokens
        return Reservation(self.budget, tokens)

    def settle(self, reservation: Reservation, usage: Usage) -> int:
        """End a reservation, return what it surely spent; a second call changes nothing."""
        if not reservation.is_open:
            return 0
        reservation.is_open = False
        self.reserved_tokens -= reservation.tokens
        spent = min(usage.max_tokens, reservation.tokens)
        confirmed = min(usage.confirmed_tokens, spent)
        self.spent_tokens += spent
        self.uncertain_tokens += spent - confirmed
        return confirmed

    def spend_borrowed(self, tokens: int) -> None:
        """Note that of what was settled just now tokens came from lenders."""
        self.borrowed_spent_tokens += tokens
        self.unreported_borrowed_tokens += tokens

    def give(self, tokens: int) -> int:
        """Take up to `tokens` out for another instance, and return how many."""
        given = max(0, min(tokens, self.available_tokens))
        self.given_tokens += given
        return given

    def receive(self, tokens: int) -> None:
        """Add tokens that another instance has taken out."""
        self.received_tokens += tokens


@dataclass(frozen=True, slots=True)
class UnconfirmedAppend:
    """An append without an answer: its claims are in the store, or may get there late.

    Parameters
    ----------
    at_offset
        The condition it was sent under; once the stream has grown past it, it is decided.
    """

    condition_offset: int
    claims: dict[BudgetName, Claim]


@dataclass(slots=True)
class LocalClaims:
    """The claims of one shard together with what this process holds of them.

    Notes
    -----
    The dangerous append is a lowered claim whose answer is lost: the tokens may be another's
    already, or become so seconds later. Spending up to the claim last read would overspend, so
    the lowest doubtful claim binds until a later record proves the append's fate.
    """

    holder: Holder
    table: ClaimTable = field(default_factory=ClaimTable)
    held_budgets: dict[BudgetName, HeldBudget] = field(default_factory=dict)
    opening: Opening = CLOSED
    unconfirmed_appends: list[UnconfirmedAppend] = field(default_factory=list)

    def held_budget(self, budget: BudgetName) -> HeldBudget:
        """Return what is held of a budget."""
        if budget not in self.held_budgets:
            self.held_budgets[budget] = HeldBudget(budget, opening=self.opening)
        return self.held_budgets[budget]

    def advance_to(self, next_offset: int) -> None:
        """Note that the table shows the stream up to an offset."""
        self.table.next_offset = max(self.table.next_offset, next_offset)
        self.unconfirmed_appends = [
            d for d in self.unconfirmed_appends if d.condition_offset >= self.table.next_offset
        ]
        self._update_limits()

    def begin_append(self, claims: tuple[Claim, ...]) -> UnconfirmedAppend:
        """Note an append that is about to be sent; lowered claims bind from now on."""
        append = UnconfirmedAppend(
            self.table.next_offset, {c.budget: c for c in claims if c.holder == self.holder}
        )
        self.unconfirmed_appends.append(append)
        self._update_limits()
        return append

    def append_rejected(self, append: UnconfirmedAppend) -> None:
        """Note that an append was surely not done."""
        self.unconfirmed_appends = [d for d in self.unconfirmed_appends if d is not append]
        self._update_limits()

    def fits(self, claims: tuple[Claim, ...], prepaid_tokens: dict[BudgetName, int]) -> bool:
        """Return whether raised claims still fit into what was paid."""
        for claim in claims:
            before = self.table.claim(claim.budget, claim.holder).claimed_tokens
            total = self.table.claimed_tokens(claim.budget) - before + claim.claimed_tokens
            raised = claim.claimed_tokens > before
            if raised and total > prepaid_tokens.get(claim.budget, 0):
                return False
        return True

    def _update_limits(self) -> None:
        for budget, held in self.held_budgets.items():
            unconfirmed = [d.claims[budget] for d in self.unconfirmed_appends if budget in d.claims]
            claims = [self.table.claim(budget, self.holder), *unconfirmed]
            held.limit_tokens = min(claim.claimed_tokens for claim in claims)
            held.window_tokens = min(claim.window_tokens for claim in claims)
            held.base_tokens = min(claim.base_tokens for claim in claims)

    def bases_cover_usage(self, claims: tuple[Claim, ...]) -> bool:
        """Return whether bases cover all that was used, once claims are written.

        A renewal says that no more than the bases was used. One that is written while more was
        used, as after an outage, would let a successor give back tokens that are spent.
        """
        bases = {c.budget: c.base_tokens for c in claims if c.holder == self.holder}
        return all(
            held.needed_claim_tokens
            <= bases.get(budget, self.table.claim(budget, self.holder).base_tokens)
            for budget, held in self.held_budgets.items()
        )

    def set_opening(self, opening: Opening) -> None:
        """Allow to spend as much of all claims as an opening says."""
        self.opening = opening
        for held in self.held_budgets.values():
            held.opening = opening
