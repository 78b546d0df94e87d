"""Claims on prepaid budgets, which limit what each process may spend.

A claim is the maximum number of tokens of a budget that one process consumes in its lifetime. A
process writes its claims to a keyed stream of the platform's store. Each append is conditional on
having read the stream to its end, and is sent only if all claims of a budget still fit into the
prepaid tokens. So every record fitted when it was written, none is rejected afterwards, and the
newest record of each key is the complete state. This depends on no clock, leader or liveness: the
append of a process that was paused or disconnected fails its condition.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from .renewals import CLOSED, Opening

if TYPE_CHECKING:
    from ..types import BudgetName


class Holder(NamedTuple):
    """A process that holds claims: its instance's name and the id of this start of it."""

    instance: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Claim:
    """The tokens of a budget that a holder may consume, and the usage that it reports.

    Parameters
    ----------
    claimed_tokens
        Maximum that the holder consumes in its lifetime, including transfers to other instances.
    base_tokens
        Maximum of these that it consumes while it reaches the store.
    window_tokens
        Maximum of these that it consumes before the store has been unreachable for
        `renewals.UNLOCK_S`; between base and window the limit grows with that time.
    spent_tokens
        Consumed by requests that have ended, as of the record; it never decreases.
    demand_tokens_per_s
        Recent demand of the holder's callers.
    held_tokens
        Unused tokens of the claim, as of the record; used to choose an instance to borrow from.
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
        """Return the maximum that its holder consumes under an opening."""
        return opening.limit_tokens(
            claimed=self.claimed_tokens, window=self.window_tokens, base=self.base_tokens
        )


@dataclass(slots=True)
class ClaimTable:
    """All claims of one shard of budgets, as read from the store.

    Parameters
    ----------
    next_offset
        Offset to read from next, and the condition of the next append.
    changed_at_s
        When a claim of a holder was last seen to change, on this process's clock.
    """

    next_offset: int = 0
    claims: dict[BudgetName, dict[Holder, Claim]] = field(default_factory=lambda: defaultdict(dict))
    changed_at_s: dict[Holder, float] = field(default_factory=dict)

    def apply(self, claim: Claim, now_s: float) -> None:
        """Replace the holder's claim by a later one."""
        self.claims[claim.budget][claim.holder] = claim
        self.changed_at_s[claim.holder] = now_s

    def claimed_tokens(self, budget: BudgetName) -> int:
        """Return the sum of all claims on a budget."""
        return sum(c.claimed_tokens for c in self.claims[budget].values())

    def claim(self, budget: BudgetName, holder: Holder) -> Claim:
        """Return the claim of one holder, or a claim of 0 tokens if it has none."""
        written = self.claims[budget].get(holder)
        return written or Claim(budget, holder, 0, 0, 0, 0, 0.0)


@dataclass(frozen=True, slots=True)
class Usage:
    """Usage of a request that has ended.

    Parameters
    ----------
    max_tokens
        Tokens that it possibly consumed; they are never given to another request.
    confirmed_tokens
        Tokens that it is confirmed to have consumed. If an upstream received a request and sent no
        event of an answer, it cannot be determined whether the request ran.
    """

    max_tokens: int
    confirmed_tokens: int


#: Usage of a request that did not run.
NO_USAGE = Usage(0, 0)


@dataclass(slots=True)
class Reservation:
    """Tokens set aside for one running request, by the upper bound of its usage."""

    budget: BudgetName
    tokens: int
    is_open: bool = True


@dataclass(slots=True)
class HeldBudget:
    """The tokens of one budget that this process holds and uses.

    Parameters
    ----------
    limit_tokens, window_tokens, base_tokens
        Confirmed claim, window and base in the store; while an append is unconfirmed, the lowest
        possible values.
    opening
        How much of these may be spent now.
    received_tokens, given_tokens
        Moved from and to other instances, without a change of the claims in the store.
    borrowed_spent_tokens
        Spent while this process had no claim of its own; its lenders write them as spent.
    unreported_borrowed_tokens
        The part of `borrowed_spent_tokens` that no lender has received a report of.
    borrowers_spent_tokens
        Spent by borrowers, as reported by them.
    uncertain_tokens
        The part of `spent_tokens` that was possibly not consumed. It is neither written as spent
        nor reported to lenders, because a refusal for a used-up budget relies on the tokens
        written as spent.
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
        """Tokens to write as spent; their sum over all claims never exceeds the true usage."""
        own = self.spent_tokens - self.uncertain_tokens - self.borrowed_spent_tokens
        return own + self.borrowers_spent_tokens

    @property
    def available_tokens(self) -> int:
        """Tokens that may still be reserved now."""
        limit = self.opening.limit_tokens(
            claimed=self.limit_tokens, window=self.window_tokens, base=self.base_tokens
        )
        return limit - self.needed_claim_tokens

    @property
    def held_tokens(self) -> int:
        """Claimed and unused tokens, whether or not they may be reserved now."""
        return self.limit_tokens - self.needed_claim_tokens

    @property
    def needed_claim_tokens(self) -> int:
        """Minimum claim that covers all usage, reservations and transfers up to now."""
        used = self.spent_tokens + self.reserved_tokens + self.given_tokens
        return used - self.received_tokens

    def reserve(self, tokens: int, *, withheld_tokens: int = 0) -> Reservation | None:
        """Set tokens aside, or return None if fewer are available after the withheld ones."""
        if tokens > self.available_tokens - withheld_tokens:
            return None
        self.reserved_tokens += tokens
        return Reservation(self.budget, tokens)

    def settle(self, reservation: Reservation, usage: Usage) -> int:
        """End a reservation and return its confirmed spend; a second call changes nothing."""
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
        """Note that some of the tokens just settled were borrowed."""
        self.borrowed_spent_tokens += tokens
        self.unreported_borrowed_tokens += tokens

    def give(self, tokens: int) -> int:
        """Give up to `tokens` to another instance, and return how many."""
        given = max(0, min(tokens, self.available_tokens))
        self.given_tokens += given
        return given

    def receive(self, tokens: int) -> None:
        """Add tokens that another instance has given."""
        self.received_tokens += tokens


@dataclass(frozen=True, slots=True)
class UnconfirmedAppend:
    """An append without an answer: its claims are in the store or may still arrive there.

    Parameters
    ----------
    condition_offset
        Offset that is the condition of the append. Once the stream has been read past it, the
        outcome is known.
    """

    condition_offset: int
    claims: dict[BudgetName, Claim]


@dataclass(slots=True)
class LocalClaims:
    """The claims of one shard of budgets, and the tokens of them that this process holds.

    Notes
    -----
    If the answer to an append that lowers a claim is lost, another process has possibly claimed
    the tokens, or may do so seconds later. Spending up to the claim last read would overspend, so
    the lowest unconfirmed claim is the limit until a later record shows the append's outcome.
    """

    holder: Holder
    table: ClaimTable = field(default_factory=ClaimTable)
    held_budgets: dict[BudgetName, HeldBudget] = field(default_factory=dict)
    opening: Opening = CLOSED
    unconfirmed_appends: list[UnconfirmedAppend] = field(default_factory=list)

    def held_budget(self, budget: BudgetName) -> HeldBudget:
        """Return the state of a budget, created on first use."""
        if budget not in self.held_budgets:
            self.held_budgets[budget] = HeldBudget(budget, opening=self.opening)
        return self.held_budgets[budget]

    def advance_to(self, next_offset: int) -> None:
        """Note that the table contains all records before an offset."""
        self.table.next_offset = max(self.table.next_offset, next_offset)
        self.unconfirmed_appends = [
            a for a in self.unconfirmed_appends if a.condition_offset >= self.table.next_offset
        ]
        self._update_limits()

    def begin_append(self, claims: tuple[Claim, ...]) -> UnconfirmedAppend:
        """Note an append that is about to be sent; lowered claims apply from now on."""
        append = UnconfirmedAppend(
            self.table.next_offset, {c.budget: c for c in claims if c.holder == self.holder}
        )
        self.unconfirmed_appends.append(append)
        self._update_limits()
        return append

    def append_rejected(self, append: UnconfirmedAppend) -> None:
        """Note that an append is confirmed as not done."""
        self.unconfirmed_appends = [a for a in self.unconfirmed_appends if a is not append]
        self._update_limits()

    def fits(self, claims: tuple[Claim, ...], prepaid_tokens: dict[BudgetName, int]) -> bool:
        """Return whether raised claims still fit into the prepaid tokens."""
        for claim in claims:
            before = self.table.claim(claim.budget, claim.holder).claimed_tokens
            total = self.table.claimed_tokens(claim.budget) - before + claim.claimed_tokens
            raised = claim.claimed_tokens > before
            if raised and total > prepaid_tokens.get(claim.budget, 0):
                return False
        return True

    def _update_limits(self) -> None:
        for budget, held in self.held_budgets.items():
            unconfirmed = [a.claims[budget] for a in self.unconfirmed_appends if budget in a.claims]
            claims = [self.table.claim(budget, self.holder), *unconfirmed]
            held.limit_tokens = min(claim.claimed_tokens for claim in claims)
            held.window_tokens = min(claim.window_tokens for claim in claims)
            held.base_tokens = min(claim.base_tokens for claim in claims)

    def bases_cover_usage(self, claims: tuple[Claim, ...]) -> bool:
        """Return whether the bases cover all usage, once `claims` are written.

        A renewal states that usage is within the bases. If one were written while usage exceeds
        them, as after an outage, a successor would give back tokens that are spent.
        """
        bases = {c.budget: c.base_tokens for c in claims if c.holder == self.holder}
        return all(
            held.needed_claim_tokens
            <= bases.get(budget, self.table.claim(budget, self.holder).base_tokens)
            for budget, held in self.held_budgets.items()
        )

    def set_opening(self, opening: Opening) -> None:
        """Set how much of all claims may be spent."""
        self.opening = opening
        for held in self.held_budgets.values():
            held.opening = opening
