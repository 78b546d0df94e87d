"""Faults injected into the retry budget, which the retry histories must find."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..core.burst_shares import BurstShares
from ..core.retry_budget import RetryBudget, RetryDecision

if TYPE_CHECKING:
    from ..core.burst_shares import SharerNotice
    from ..core.retry_budget import RetryBudgetSettings
    from ..core.stall_detector import StallDetector
    from ..gateway.member_feed import MemberFeed


class InjectedFault(Enum):
    """Faults of the retry budget."""

    NONE = "none"
    COUNTS_ONE_WINDOW = "requests and retries count only in the window before each retry"
    FORGETS_RETRIES = "a restarted process uses its share of the burst at once"
    DIVIDES_BY_FLEET_SIZE = "the burst is divided by the size of the fleet in the membership view"
    USES_SHARE_AT_ONCE = "a new instance uses its share before the others know of it"
    IGNORES_STALLS = "a request counts as sent when it is read"


class _OneWindowBudget(RetryBudget):
    """Counts requests and retries only in the window before each retry."""

    def _decide(self, now_s: float, sharers: int) -> RetryDecision:
        used = 1 + sum(at_s >= now_s - self.settings.window_s for at_s in self._granted_s)
        requests = sum(at_s >= now_s - self.settings.window_s for at_s in self._requests_s)
        share = self.settings.burst / sharers if sharers else 0.0
        allowed = self.settings.ratio * requests + share
        return RetryDecision(used <= allowed, used, allowed, requests, sharers)


class _ForgetfulShares(BurstShares):
    """Does not wait until the retries of the previous process have left the window."""

    def _apply_own_announcement(self, incarnation: str, notice: SharerNotice, offset: int) -> None:
        super()._apply_own_announcement(incarnation, notice, offset)
        self._wait_until_s = float("-inf")


class _HastyShares(BurstShares):
    """Does not wait until the other instances count this one as a sharer."""

    def _update_counted_by_all(self, now_s: float) -> None:
        self._is_counted_by_all = self._own_offset is not None


_SHARES: dict[InjectedFault, type[BurstShares]] = {
    InjectedFault.FORGETS_RETRIES: _ForgetfulShares,
    InjectedFault.USES_SHARE_AT_ONCE: _HastyShares,
}


def make_budget(fault: InjectedFault, settings: RetryBudgetSettings) -> RetryBudget:
    """Return a retry budget, a faulty one if the fault concerns the budget."""
    return (_OneWindowBudget if fault is InjectedFault.COUNTS_ONE_WINDOW else RetryBudget)(settings)


def inject_shares(fault: InjectedFault, members: MemberFeed) -> None:
    """Replace the burst shares of a feed that has not started, if the fault concerns them."""
    correct = members.burst_shares
    shares_type = _SHARES.get(fault, BurstShares)
    members.burst_shares = shares_type(
        correct.name, correct.incarnation, correct.span_s, correct.started_s
    )


def count_sharers(fault: InjectedFault, members: MemberFeed, now_s: float) -> int:
    """Return the number of sharers by which an instance divides the burst."""
    if fault is InjectedFault.DIVIDES_BY_FLEET_SIZE:
        return members.fleet.size
    return members.burst_shares.sharers(now_s)


def earliest_send_s(fault: InjectedFault, stalls: StallDetector, now_s: float) -> float:
    """Return the earliest time at which a request that is read now may have been sent."""
    return now_s if fault is InjectedFault.IGNORES_STALLS else stalls.earliest_send_s(now_s)
