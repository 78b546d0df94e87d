"""How much of each budget an instance claims: ahead of demand, and fairly where it is short.

The load that this answers: every instance loses the store for eight to nine seconds at a time,
several times in a minute, while its callers go on; callers are spread unevenly and one workspace
may send several times its usual for some seconds. What an instance holds when the store goes
silent decides what it can serve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .claims import ClaimTable, HeldBudget, Holder
    from .demand import Demand


@dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """Constants of the decision.

    Parameters
    ----------
    ride_through_s
        Seconds of one's own demand to hold; above the longest usual outage of the store.
    spare_requests
        Largest requests to hold on top, so that chance does not refuse the first ones.
    held_share
        Part of what is left of a budget that the fleet holds at most: the rest can be claimed at
        once where it is wanted.
    window_share
        Part of what is left that the fleet's windows exceed its use by at most: what is served
        with until an outage has lasted `renewals.UNLOCK_S`. Four seconds of the usual demand
        while two thirds of a budget are left.
    base_share, base_s
        Part of what is left that the fleet's bases exceed its use by, or these seconds of one's
        own demand if that is more: what is spent between two looks at the store. All of it is
        lost when all die at once, and of the windows as much as had opened meanwhile.
    start_s
        Before any demand was seen, a budget is taken to last this long, spread evenly.
    lull_share
        Part of that demand that is held for later on, however little is asked now.
    slack
        Part of the target that may be missing or in excess before a claim is written: fewer calls.
    silent_after_s
        A holder whose claims have not changed for this long counts as gone for fair shares.
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
    """What the decision for one budget looks at.

    Parameters
    ----------
    waiting_tokens
        Bounds of requests that wait for tokens now.
    demand_tokens_per_s
        Own demand.
    others
        Demand of the other holders that live, as they last said.
    others_unspent_tokens
        What those hold, as they last said.
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
    """Return what the decision looks at, from the table and one's own books."""
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
    The target is `ride_through_s` of own demand, but no more than one's share, by demand, of all
    that is left. Near a budget's end the shares shrink with it; a rest that is too small for a
    request is moved to where it is wanted between instances, not through the store.
    """
    target = _target_tokens(view, policy)
    missing = max(target - view.held_tokens, view.waiting_tokens - view.held_tokens)
    if missing > policy.slack * target or view.waiting_tokens > view.held_tokens:
        raised = min(missing, view.free_tokens)
        return view.limit_tokens + int(raised) if raised >= 1 else None
    excess = view.held_tokens - target
    if excess > policy.slack * target + view.largest_tokens:
        # Not below nothing: what was borrowed stays with the borrower. Windows have no room for a
        # debt, so a negative claim would let it spend what it has given up.
        return max(0, view.limit_tokens - int(excess))
    return None


@dataclass(frozen=True, slots=True)
class Window:
    """What a claim's holder may spend of it before an outage has lasted for long."""

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
    """Return the least demand that is held for: a lull may end inside an outage."""
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
    # An instance without callers now may get them with the next connection.
    own_tokens_per_s = max(own_tokens_per_s, _IDLE_SHARE * total_tokens_per_s / instances)
    return min(1.0, own_tokens_per_s / total_tokens_per_s)


#: What an instance without callers counts for, as a part of an equal share.
_IDLE_SHARE = 0.1
