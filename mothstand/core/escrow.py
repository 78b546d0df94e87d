"""How much escrow a leaseholder asks for, and how much of it it gives back.

What a data centre holds is what it can go on spending while the platform is out, and what is out
of others' reach meanwhile. The one figure to choose is the ride-through; see
``docs/design/budgets.md``.
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
        Never ask for more than this share of what is ungranted, divided by the number of data
        centres; so that grants shrink as a budget nears its end.
    allowance_percent
        Share of a grant that may be spent while the witness does not answer; it is stranded if
        the holder then dies. 0 refuses instead.
    promotion_percent
        Share of a grant that the witness may spend by itself when holder and platform are both
        gone; it is stranded when the witness dies first.
    unwitnessed_percent
        Share of the target asked for in an epoch without a witness, all of which a crash strands.
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
        Time constant: spend older than a few of these no longer counts.
    """

    __slots__ = ("_at_s", "_tokens", "_window_s", "largest_tokens")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._tokens = 0.0
        self._at_s = 0.0
        self.largest_tokens = 0

    def add_usage(self, used_tokens: int, now_s: float) -> None:
        """Count a request's usage at `now_s`."""
        self._decay(now_s)
        self._tokens += used_tokens

    def note_bound(self, bound_tokens: int) -> None:
        """Note a request's upper bound, which is held while it runs but mostly not spent."""
        self.largest_tokens = max(self.largest_tokens, bound_tokens)

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the estimated demand."""
        self._decay(now_s)
        return self._tokens / self._window_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._tokens *= math.exp(-elapsed_s / self._window_s)
        self._at_s = now_s


@dataclass(frozen=True, slots=True)
class EscrowView:
    """What the policy looks at for one budget, in tokens.

    Parameters
    ----------
    free_tokens
        Left of this epoch's grant.
    ungranted_tokens
        Paid and in no epoch's hands.
    needed_tokens
        Asked for by requests that wait right now.
    """

    free_tokens: int
    ungranted_tokens: int
    needed_tokens: int
    rate_tokens_per_s: float
    largest_tokens: int
    data_centres: int
    has_witness: bool


def target_tokens(policy: EscrowPolicy, view: EscrowView) -> int:
    """Return how much the epoch should hold free."""
    target = view.rate_tokens_per_s * policy.ride_through_s
    if not view.has_witness:
        target = target * policy.unwitnessed_percent / 100
    # Room for a handful of the largest requests, lest a quiet budget asks for each one.
    return int(max(target, _MIN_LARGE_REQUESTS * view.largest_tokens))


def ask_tokens(policy: EscrowPolicy, view: EscrowView, *, shares_append: bool = False) -> int:
    """Return how many tokens to ask the log for; 0 when there is no need yet.

    Parameters
    ----------
    along
        Whether the ask would share the append of another budget's, and so costs none.
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
        # Near the end the target is out of reach, and asking for a little less each time would
        # cost an append for nearly every request.
        return 0
    # What waits now is asked for in full: the fold grants no more than there is.
    return max(wanted, shortfall, 0)


def promotion_share_tokens(percent: int, granted_tokens: int, largest_tokens: int) -> int:
    """Return how much of a grant its witness may spend alone, in all.

    Notes
    -----
    A share below a few requests would be held back for nothing: it could not serve even one.
    """
    if percent == 0:
        return 0
    floor = min(_MIN_PROMOTION_REQUESTS * largest_tokens, granted_tokens // 4)
    return max(granted_tokens * percent // 100, floor)


def should_give_all(
    budget: BudgetName, data_centre: DataCentre, waiting: Iterable[DataCentre]
) -> bool:
    """Return whether a data centre that waits for escrow itself should give all it has free.

    Notes
    -----
    At a budget's end each data centre may hold a rest too small for its next request, while the
    rests together would do. Were each to keep its own, nobody could spend them. So all but one
    give way; the budget's name decides who, so that all decide alike.
    """
    order = rank(waiting, budget)
    return data_centre in order and data_centre != order[0]


def surplus_tokens(policy: EscrowPolicy, view: EscrowView, unfulfilled_tokens: int) -> int:
    """Return how many free tokens to give back for another data centre's unmet ask.

    Notes
    -----
    Half of what is free after the demand of the next seconds: two data centres that give back at
    once leave each other with something. Not just what is asked for, which is what waits right
    now: moving costs a second and two appends, too much for one request at a time.
    """
    if unfulfilled_tokens <= 0:
        return 0
    withheld_tokens = max(int(view.rate_tokens_per_s * _WITHHELD_DEMAND_S), view.needed_tokens)
    return max(0, (view.free_tokens - withheld_tokens) // 2)


#: Large requests that a quiet budget has room for.
_MIN_LARGE_REQUESTS = 4

#: Large requests that a promotion share covers, if the grant is not too small for it.
_MIN_PROMOTION_REQUESTS = 4

#: A budget that asks along with another does so below this share of its target.
_SHARED_APPEND_BELOW_PERCENT = 97

#: A refill of less than one in so many of the free tokens is not worth an append.
_MIN_REFILL_DIVISOR = 4

#: Seconds of own demand that are kept when another data centre asks.
_WITHHELD_DEMAND_S = 2.0
