"""Policy for how much of each budget an instance claims.

Every instance loses the store for eight to nine seconds at a time, several times a minute, while
its callers continue to send. Callers are spread unevenly, and one workspace may send several times
its usual load for some seconds. An instance can serve only what it holds when the store becomes
unreachable, so it claims ahead of demand, and only its share where a budget is short.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .claims import ClaimTable, HeldBudget, Holder
    from .demand import Demand


@dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """Constants of the claim policy.

    Parameters
    ----------
    ride_through_s
        Seconds of own demand to hold; above the longest usual outage of the store.
    spare_requests
        Number of largest requests to hold in addition, so that random variation does not refuse
        the first ones.
    held_share
        Maximum part of the remaining tokens that the fleet holds. The rest can be claimed at once
        where it is needed.
    window_share
        Maximum part of the remaining tokens by which the fleet's windows exceed its usage. Requests
        are served from the windows until an outage has lasted `renewals.UNLOCK_S`.
    base_share, base_s
        Part of the remaining tokens by which the fleet's bases exceed its usage, or the seconds of
        own demand that a base covers if that is more: what is spent between two polls of the store.
        All of it is lost when all instances die at once, and the opened part of the windows too.
    initial_lifetime_s
        Before any demand was seen, a budget is assumed to last this long, with its demand spread
        evenly over the instances.
    min_demand_share
        Part of that initial demand for which tokens are always held, also at lower demand.
    slack
        Part of the target that may be missing or in excess before a claim is written, to save
        calls.
    stale_after_s
        A holder whose claims have not changed for this long is ignored in fair shares.
    """

    ride_through_s: float = 10.0
    spare_requests: float = 1.5
    held_share: float = 0.6
    window_share: float = 0.2
    base_share: float = 0.05
    base_s: float = 0.5
    initial_lifetime_s: float = 40.0
    min_demand_share: float = 0.5
    slack: float = 0.15
    stale_after_s: float = 4.0


@dataclass(frozen=True, slots=True)
class BudgetView:
    """Inputs of the claim policy for one budget.

    Parameters
    ----------
    waiting_tokens
        Sum of the bounds of requests that wait for tokens now.
    demand_tokens_per_s
        Demand of the callers of this instance.
    other_demands_tokens_per_s
        Demand of the other live holders, from their latest claims.
    other_holders_unspent_tokens
        Unspent tokens of those holders, from their latest claims.
    """

    prepaid_tokens: int
    free_tokens: int
    held_tokens: int
    needed_claim_tokens: int
    limit_tokens: int
    waiting_tokens: int
    largest_tokens: int
    demand_tokens_per_s: float
    other_demands_tokens_per_s: tuple[float, ...] = field(default_factory=tuple)
    other_holders_unspent_tokens: int = 0
    instances: int = 1


def budget_view(
    table: ClaimTable,
    held: HeldBudget,
    demand: Demand,
    local_holder: Holder,
    *,
    prepaid_tokens: int,
    waiting_tokens: int,
    instances: int,
    now_s: float,
    policy: ClaimPolicy,
) -> BudgetView:
    """Return the inputs of the policy, from the claim table and this instance's own state."""
    live = [
        claim
        for holder, claim in table.claims[held.budget].items()
        if holder != local_holder and now_s - table.changed_at_s[holder] < policy.stale_after_s
    ]
    return BudgetView(
        prepaid_tokens=prepaid_tokens,
        free_tokens=prepaid_tokens - table.claimed_tokens(held.budget),
        held_tokens=held.held_tokens,
        needed_claim_tokens=held.needed_claim_tokens,
        limit_tokens=held.limit_tokens,
        waiting_tokens=waiting_tokens,
        largest_tokens=demand.largest_tokens,
        demand_tokens_per_s=demand.rate_tokens_per_s(now_s),
        other_demands_tokens_per_s=tuple(claim.demand_tokens_per_s for claim in live),
        other_holders_unspent_tokens=sum(c.claimed_tokens - c.spent_tokens for c in live),
        instances=instances,
    )


def wanted_claim_tokens(view: BudgetView, policy: ClaimPolicy) -> int | None:
    """Return the claim to write, or None to leave it as it is.

    Notes
    -----
    The target is `ride_through_s` of own demand, limited to this instance's share, by demand, of
    the remaining tokens. Near a budget's end the shares shrink with it; remainders too small for a
    request are moved between instances by loans, not through the store.
    """
    target = _target_tokens(view, policy)
    missing = max(target - view.held_tokens, view.waiting_tokens - view.held_tokens)
    if missing > policy.slack * target or view.waiting_tokens > view.held_tokens:
        raised = min(missing, view.free_tokens)
        return view.limit_tokens + int(raised) if raised >= 1 else None
    excess = view.held_tokens - target
    if excess > policy.slack * target + view.largest_tokens:
        # Not below 0: borrowed tokens stay with the borrower. Windows cannot be negative, so a
        # negative claim would let the borrower spend tokens that it has given up.
        return max(0, view.limit_tokens - int(excess))
    return None


@dataclass(frozen=True, slots=True)
class Window:
    """Tokens of a claim that may be spent before an outage has lasted `renewals.UNLOCK_S`."""

    base_tokens: int
    window_tokens: int


def wanted_window(view: BudgetView, claimed_tokens: int, policy: ClaimPolicy) -> Window:
    """Return the window to write with a claim."""
    share_tokens = _remaining_tokens(view) * _demand_share(view, policy)
    window = policy.window_share * share_tokens
    base = min(
        window, max(policy.base_share * share_tokens, policy.base_s * view.demand_tokens_per_s)
    )

    def within_claim(slack_tokens: float) -> int:
        wanted = view.needed_claim_tokens + max(slack_tokens, view.waiting_tokens)
        return max(0, min(claimed_tokens, int(wanted)))

    return Window(within_claim(base), within_claim(window))


def _target_tokens(view: BudgetView, policy: ClaimPolicy) -> float:
    share_tokens = policy.held_share * _remaining_tokens(view) * _demand_share(view, policy)
    demand_tokens_per_s = max(view.demand_tokens_per_s, _min_demand_tokens_per_s(view, policy))
    ride_through_tokens = (
        demand_tokens_per_s * policy.ride_through_s + policy.spare_requests * view.largest_tokens
    )
    return max(0.0, min(share_tokens, ride_through_tokens))


def _remaining_tokens(view: BudgetView) -> int:
    return max(0, view.free_tokens + view.held_tokens + view.other_holders_unspent_tokens)


def _min_demand_tokens_per_s(view: BudgetView, policy: ClaimPolicy) -> float:
    """Return the minimum demand to hold tokens for: demand may rise again during an outage."""
    initial_tokens_per_s = view.prepaid_tokens / policy.initial_lifetime_s / max(1, view.instances)
    has_demand = view.demand_tokens_per_s + sum(view.other_demands_tokens_per_s) > 0
    return policy.min_demand_share * initial_tokens_per_s if has_demand else initial_tokens_per_s


def _demand_share(view: BudgetView, policy: ClaimPolicy) -> float:
    """Return this instance's part of the demand on a budget, from 0 to 1."""
    instances = max(1, view.instances)
    own_tokens_per_s = view.demand_tokens_per_s
    total_tokens_per_s = own_tokens_per_s + sum(view.other_demands_tokens_per_s)
    if total_tokens_per_s <= 0:
        return 1 / instances
    # An instance without callers may get some with the next connection.
    own_tokens_per_s = max(own_tokens_per_s, _IDLE_SHARE * total_tokens_per_s / instances)
    return min(1.0, own_tokens_per_s / total_tokens_per_s)


#: Minimum weight of an instance's demand, as a part of an equal share.
_IDLE_SHARE = 0.1
