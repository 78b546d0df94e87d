"""Faults of the retry budget planted on purpose, which the histories must find."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..core.burst_shares import BurstShares
from ..core.retry_budget import RetryBudget, RetryDecision

if TYPE_CHECKING:
    from ..core.burst_shares import SharerNotice
    from ..core.retry_budget import RetryBudgetSettings
    from ..core.stall_watch import StallWatch
    from ..gateway.member_feed import MemberFeed


class Plant(Enum):
    """What is wrong with an instance."""

    NONE = "none"
    OWN_WINDOW = "requests pay in the window before each retry"
    FORGETS_RETRIES = "a start has its part of the burst at once"
    BELIEVES_FLEET = "the burst is divided by the fleet's size as it is believed"
    TAKES_AT_ONCE = "a newcomer uses its part before the others know of it"
    IGNORES_STALLS = "a request counts as sent when it is read"


class _OwnWindowBudget(RetryBudget):
    """Counts in the window before each retry only."""

    def _decide(self, now_s: float, sharers: int) -> RetryDecision:
        taken = 1 + sum(at_s >= now_s - self.settings.window_s for at_s in self._granted_s)
        requests = sum(at_s >= now_s - self.settings.window_s for at_s in self._requests_s)
        share = self.settings.burst / sharers if sharers else 0.0
        allowed = self.settings.ratio * requests + share
        return RetryDecision(taken <= allowed, taken, allowed, requests, sharers)


class _ForgetfulShares(BurstShares):
    """Does not wait for the retries of an earlier start."""

    def _note_own(self, incarnation: str, notice: SharerNotice, offset: int) -> None:
        super()._note_own(incarnation, notice, offset)
        self._waits_until_s = float("-inf")


class _HastyShares(BurstShares):
    """Does not wait for the others."""

    def _look_who_counts_me(self, now_s: float) -> None:
        self._is_known = self._offset is not None


_SHARES: dict[Plant, type[BurstShares]] = {
    Plant.FORGETS_RETRIES: _ForgetfulShares,
    Plant.TAKES_AT_ONCE: _HastyShares,
}


def budget_of(plant: Plant, settings: RetryBudgetSettings) -> RetryBudget:
    """Return a retry budget, with a fault if the plant is one of it."""
    return (_OwnWindowBudget if plant is Plant.OWN_WINDOW else RetryBudget)(settings)


def plant_shares(plant: Plant, members: MemberFeed) -> None:
    """Put shares with a fault into a feed that has not begun, if the plant is one of them."""
    right = members.shares
    wrong = _SHARES.get(plant, BurstShares)
    members.shares = wrong(right.name, right.incarnation, right.span_s, right.started_s)


def sharers_of(plant: Plant, members: MemberFeed, now_s: float) -> int:
    """Return by how many an instance divides the burst."""
    if plant is Plant.BELIEVES_FLEET:
        return members.fleet.size
    return members.shares.sharers(now_s)


def sent_since_s(plant: Plant, stalls: StallWatch, now_s: float) -> float:
    """Return the earliest time at which a request that is read now may have been sent."""
    return now_s if plant is Plant.IGNORES_STALLS else stalls.sent_since_s(now_s)
