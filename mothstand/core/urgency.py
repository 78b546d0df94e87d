"""Which requests get tokens first while a budget cannot be refilled.

The load that this answers: for seconds an instance has only what it and its peers hold, a fraction
of what callers ask for. A workspace's short, urgent questions take a fifth of its tokens and are
two thirds of its requests; served first come, first served, they are refused along with the long
documents that used everything up. Keeping back what the urgent ones will need serves most callers
through the outage with the same tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .demand import Demand

#: The longest usual outage of the store; what urgent requests need is kept back until its end.
OUTAGE_S = 9.0

#: Least time that is kept for: the outage's end is noticed late.
_LEAST_S = 2.0

#: Part of what is unspent that may lie with dead processes before their loss counts as an outage
#: that lasts: up to this, what can be spent is spent first come, first served.
STRANDED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Supply:
    """Whether a budget can be refilled.

    Parameters
    ----------
    silent_s
        Seconds since the store last answered; 0 while it does.
    unspent_tokens
        Of the whole budget, by all that is known.
    stranded_tokens
        Of those, claimed by dead processes.
    """

    silent_s: float
    unspent_tokens: int
    stranded_tokens: int

    @property
    def short_for_s(self) -> float:
        """How long tokens are to be kept for urgent requests; 0 for no shortage."""
        if self.silent_s > 0:
            return max(_LEAST_S, OUTAGE_S - self.silent_s)
        if self.stranded_tokens > STRANDED_SHARE * self.unspent_tokens:
            return OUTAGE_S
        return 0.0


@dataclass(slots=True)
class BudgetDemand:
    """Demand on one budget, by the priority of its requests; 0 is the most urgent."""

    total: Demand = field(default_factory=Demand)
    by_priority: dict[int, Demand] = field(default_factory=dict)

    def ask(self, tokens: int, priority: int, now_s: float) -> None:
        """Count a request."""
        self.total.ask(tokens, now_s)
        self.by_priority.setdefault(priority, Demand()).ask(tokens, now_s)

    def kept_tokens(self, priority: int, supply: Supply, now_s: float) -> int:
        """Return what a request must leave for more urgent ones."""
        for_s = supply.short_for_s
        if for_s <= 0:
            return 0
        rates = (d.rate(now_s) for p, d in self.by_priority.items() if p < priority)
        return int(sum(rates) * for_s)
