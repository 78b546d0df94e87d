"""Reserve of tokens for higher-priority requests while a budget cannot be refilled.

During an outage of some seconds an instance has only the tokens that it and its peers hold, a
fraction of the demand. A workspace's short questions of high priority take a fifth of its tokens
and are two thirds of its requests. Without a reserve, the long documents use up all tokens and the
questions are refused with them. Withholding the tokens that the questions will need serves most
callers through the outage with the same tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .demand import Demand

#: Longest usual outage of the store; tokens for higher priorities are withheld until its end.
MAX_USUAL_OUTAGE_S = 9.0

#: Minimum time to withhold tokens for, because the end of an outage is noticed late.
_MIN_SHORTAGE_S = 2.0


@dataclass(frozen=True, slots=True)
class Supply:
    """Supply of tokens of a budget, and whether it can be refilled now.

    Parameters
    ----------
    store_silent_s
        Seconds since the store last answered; 0 while it answers.
    locked_tokens, unlocks_in_s
        Held tokens that may not be spent yet, and the time until they may be.

    Notes
    -----
    Nothing is withheld while the store answers, even near a budget's end: it is not known when the
    budget is topped up or its callers stop, and on most days the withheld tokens were not requested
    in time.
    """

    store_silent_s: float
    locked_tokens: int = 0
    unlocks_in_s: float = 0.0

    @property
    def shortage_s(self) -> float:
        """Time for which to withhold tokens for higher priorities; 0 if there is no shortage."""
        return (
            max(_MIN_SHORTAGE_S, MAX_USUAL_OUTAGE_S - self.store_silent_s)
            if self.store_silent_s > 0
            else 0.0
        )

    def withheld_tokens(self, higher_priority_tokens_per_s: float) -> int:
        """Return how many spendable tokens must be left for higher priorities.

        These must last until the locked tokens unlock, and both together until the end of the
        shortage. Without counting the locked tokens, requests would be refused in the first
        seconds of an outage although enough tokens for the others are about to unlock.
        """
        shortage_s = self.shortage_s
        until_unlocked = higher_priority_tokens_per_s * min(shortage_s, self.unlocks_in_s)
        until_end = higher_priority_tokens_per_s * shortage_s - self.locked_tokens
        return max(0, int(max(until_unlocked, until_end)))


@dataclass(slots=True)
class BudgetDemand:
    """Demand on one budget by the priority of its requests; 0 is the highest priority."""

    total: Demand = field(default_factory=Demand)
    by_priority: dict[int, Demand] = field(default_factory=dict)

    def add_request(self, tokens: int, priority: int, now_s: float) -> None:
        """Count a request."""
        self.total.add_request(tokens, now_s)
        self.by_priority.setdefault(priority, Demand()).add_request(tokens, now_s)

    def withheld_tokens(self, priority: int, supply: Supply, now_s: float) -> int:
        """Return the tokens that requests of a priority must leave for higher priorities.

        Notes
        -----
        Where requests of a higher priority are larger, the withheld tokens are reduced by the ratio
        of the sizes: a label of 2,000 tokens does not displace a document of 13,000. Without that,
        labels were refused for documents that the remaining tokens could not have served, and
        nobody used these tokens.
        """
        if supply.shortage_s <= 0:
            return 0
        own_demand = self.by_priority.get(priority)
        higher_priority_demands = [d for p, d in self.by_priority.items() if p < priority]
        return supply.withheld_tokens(
            sum(
                d.rate_tokens_per_s(now_s) * _withheld_share(own_demand, d)
                for d in higher_priority_demands
            )
        )


def _withheld_share(own_demand: Demand | None, higher_priority_demand: Demand) -> float:
    """Return the part of a higher-priority demand to withhold: the ratio of sizes, at most 1."""
    if own_demand is None or not own_demand.mean_tokens or not higher_priority_demand.mean_tokens:
        return 1.0
    return min(1.0, own_demand.mean_tokens / higher_priority_demand.mean_tokens)
