"""Policy for how much escrow a leaseholder asks for and returns.

A data centre can spend its escrow while the platform is unreachable, and meanwhile no other data
centre can. The ride-through time sets this trade-off; see ``docs/design/budgets.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .membership import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import BudgetName, DataCentre


@dataclass(frozen=True, slots=True)
class EscrowPolicy:
    """The operators' settings of the escrow policy.

    Parameters
    ----------
    ride_through_s
        Seconds of demand that a grant should cover.
    refill_below_percent
        Ask again when less than this share of the target is left.
    end_share_percent
        Maximum share of the ungranted tokens to ask for, divided by the number of data centres,
        so that grants shrink as a budget nears its end.
    allowance_percent
        Share of a grant that may be spent while the witness does not answer; it is stranded if
        the holder then dies. At 0, requests are refused instead.
    promotion_percent
        Share of a grant that the witness may spend by itself while both holder and platform are
        unreachable; it is stranded if the witness dies first.
    unwitnessed_percent
        Share of the target to ask for in an epoch without a witness; a crash strands all of it.
    demand_window_s
        Time constant of the demand estimate.
    """

    ride_through_s: float = 4500.0
    refill_below_percent: int = 85
    end_share_percent: int = 50
    allowance_percent: int = 2
    promotion_percent: int = 5
    unwitnessed_percent: int = 10
    demand_window_s: float = 60.0


class SpendEstimator:
    """Estimates one budget's spend rate at one leaseholder, as an exponentially decaying rate.

    Parameters
    ----------
    window_s
        Time constant; spend older than a few of them has almost no weight.
    """

    __slots__ = ("_at_s", "_tokens", "_window_s", "largest_tokens")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._tokens = 0.0
        self._at_s = 0.0
        self.largest_tokens = 0

    def add_usage(self, used_tokens: int, now_s: float) -> None:
        """Add a request's usage at `now_s`."""
        self._decay(now_s)
        self._tokens += used_tokens

    def note_bound(self, bound_tokens: int) -> None:
        """Note a request's upper bound, which is reserved while it runs but mostly not spent."""
        self.largest_tokens = max(self.largest_tokens, bound_tokens)

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the estimated spend rate."""
        self._decay(now_s)
        return self._tokens / self._window_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._tokens *= math.exp(-elapsed_s / self._window_s)
        self._at_s = now_s


@dataclass(frozen=True, slots=True)
class EscrowView:
    """Inputs of the escrow policy for one budget, in tokens.

    Parameters
    ----------
    free_tokens
        Unspent and unreserved tokens of this epoch's grant.
    ungranted_tokens
        Paid and not granted to any epoch.
    needed_tokens
        Needed by requests that wait now.
    """

    free_tokens: int
    ungranted_tokens: int
    needed_tokens: int
    rate_tokens_per_s: float
    largest_tokens: int
    data_centres: int
    has_witness: bool


def target_tokens(policy: EscrowPolicy, view: EscrowView) -> int:
    """Return how many free tokens the epoch should hold."""
    target = view.rate_tokens_per_s * policy.ride_through_s
    if not view.has_witness:
        target = target * policy.unwitnessed_percent / 100
    # Enough for a few of the largest requests; otherwise a budget with little demand would ask
    # for escrow with every request.
    return int(max(target, _MIN_LARGE_REQUESTS * view.largest_tokens))


def ask_tokens(policy: EscrowPolicy, view: EscrowView, *, shares_append: bool = False) -> int:
    """Return how many tokens to ask the log for; 0 when there is no need yet.

    Parameters
    ----------
    shares_append
        Whether the ask would share another budget's append and so need none of its own.
    """
    target = target_tokens(policy, view)
    shortfall = view.needed_tokens - view.free_tokens
    below_percent = _SHARED_APPEND_BELOW_PERCENT if shares_append else policy.refill_below_percent
    if shortfall <= 0 and view.free_tokens * 100 >= target * below_percent:
        return 0
    share = view.ungranted_tokens * policy.end_share_percent // (100 * view.data_centres)
    floor = _MIN_LARGE_REQUESTS * view.largest_tokens
    wanted = min(target - view.free_tokens, max(share, min(view.ungranted_tokens, floor)))
    if (
        shortfall <= 0
        and not shares_append
        and wanted * _MIN_REFILL_DIVISOR < min(view.free_tokens, target // 2)
    ):
        # Near the budget's end the target cannot be reached, and asking for ever smaller amounts
        # would cost an append for nearly every request.
        return 0
    # Waiting requests are asked for in full: the fold grants no more than is ungranted.
    return max(wanted, shortfall, 0)


def promotion_share_tokens(percent: int, granted_tokens: int, largest_tokens: int) -> int:
    """Return the total tokens of a grant that its witness may spend alone.

    The share is at least a few large requests, within a quarter of the grant: tokens withheld in a
    share below one request could not be used.
    """
    if percent == 0:
        return 0
    floor = min(_MIN_PROMOTION_REQUESTS * largest_tokens, granted_tokens // 4)
    return max(granted_tokens * percent // 100, floor)


def should_give_all(
    budget: BudgetName, data_centre: DataCentre, waiting: Iterable[DataCentre]
) -> bool:
    """Return whether a data centre that waits for escrow should return all its free tokens.

    At a budget's end each data centre may hold too few tokens for its next request, although their
    sum would be enough. So all waiting data centres but one return theirs. The budget's name
    determines which one, so all data centres make the same choice.
    """
    order = rank(waiting, budget)
    return data_centre in order and data_centre != order[0]


def surplus_tokens(policy: EscrowPolicy, view: EscrowView, unfulfilled_tokens: int) -> int:
    """Return how many free tokens to return for another data centre's unfulfilled ask.

    The result is half of the free tokens beyond the demand of the next seconds, so that two data
    centres that return tokens at the same time both keep some. It is not limited to the ask, which
    covers only the requests that wait now: a move takes a second and two appends, too much for
    each single request.
    """
    if unfulfilled_tokens <= 0:
        return 0
    withheld_tokens = max(int(view.rate_tokens_per_s * _WITHHELD_DEMAND_S), view.needed_tokens)
    return max(0, (view.free_tokens - withheld_tokens) // 2)


#: Number of large requests that the target covers at least.
_MIN_LARGE_REQUESTS = 4

#: Number of large requests that a promotion share covers, if the grant is large enough.
_MIN_PROMOTION_REQUESTS = 4

#: A budget whose ask shares another's append asks below this percentage of its target.
_SHARED_APPEND_BELOW_PERCENT = 97

#: A refill below the free tokens divided by this is not worth an append.
_MIN_REFILL_DIVISOR = 4

#: Seconds of own demand that are withheld when another data centre asks.
_WITHHELD_DEMAND_S = 2.0
