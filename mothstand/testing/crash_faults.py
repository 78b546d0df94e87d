"""Faults of the quarantine planted on purpose, which the histories must find."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from ..core.quarantine import Quarantine
from ..gateway.crash_detector import Liveness, LivenessCheck
from ..gateway.quarantine_feed import QuarantineFeed
from ..gateway.quarantine_outbox import QuarantineOutbox

if TYPE_CHECKING:
    from ..core.request_digest import RequestDigest
    from ..gateway.store import KeyedRecord


class InjectedFault(Enum):
    """What is wrong with an instance."""

    NONE = "none"
    QUARANTINES_NOTHING = "no request is quarantined"
    IGNORES_PEERS = "an instance knows the ends that it saw, and no others"
    REPORTS_ONCE = "what the store does not take at once is told to nobody"
    NEVER_CLEARS = "a whole answer clears nothing"
    COUNTS_BREAKS_AS_CRASHES = "each broken connection counts as the end of its upstream"


class _IsolatedFeed(QuarantineFeed):
    """Takes nothing from others."""

    def _apply_record(self, record: KeyedRecord, *, source: str) -> bool:
        return False


class _ForgetfulOutbox(QuarantineOutbox):
    """Forgets what an append that failed should have told."""

    async def _relay(self) -> None:
        self._unrelayed.clear()
        self._waiting.clear()


class _ForgetfulFeed(QuarantineFeed):
    """Tells the store once, and no peer."""

    outbox_type = _ForgetfulOutbox


class _NeverClearingFeed(QuarantineFeed):
    """Clears nothing."""

    def clear(self, digest: RequestDigest) -> None:
        """Keep all that is known."""


class _IdleQuarantine(Quarantine):
    """Holds nothing."""

    def is_quarantined(self, digest: RequestDigest, now_s: float) -> bool:
        """Return False."""
        return False


class _IdleFeed(QuarantineFeed):
    """Lets all requests through."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.quarantine = _IdleQuarantine()


class _NothingListensCheck(LivenessCheck):
    """Takes every upstream for ended."""

    async def check(self, address: str) -> Liveness:
        """Return that nothing listens."""
        return Liveness.NOT_LISTENING


_FEEDS: dict[InjectedFault, type[QuarantineFeed]] = {
    InjectedFault.QUARANTINES_NOTHING: _IdleFeed,
    InjectedFault.IGNORES_PEERS: _IsolatedFeed,
    InjectedFault.REPORTS_ONCE: _ForgetfulFeed,
    InjectedFault.NEVER_CLEARS: _NeverClearingFeed,
}


def choose_feed_type(fault: InjectedFault) -> type[QuarantineFeed]:
    """Return the kind of feed, with a fault if the plant is one of it."""
    return _FEEDS.get(fault, QuarantineFeed)


def choose_check(fault: InjectedFault, correct_check: LivenessCheck) -> LivenessCheck:
    """Return a check, with a fault if the plant is one of it."""
    return (
        _NothingListensCheck() if fault is InjectedFault.COUNTS_BREAKS_AS_CRASHES else correct_check
    )
