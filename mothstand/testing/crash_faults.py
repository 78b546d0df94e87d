"""Faults injected into the quarantine, which the crash histories must find."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from ..core.quarantine import Quarantine
from ..gateway.quarantine.crash_detector import Liveness, LivenessCheck
from ..gateway.quarantine.feed import QuarantineFeed
from ..gateway.quarantine.outbox import QuarantineOutbox

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.suspects import SuspectId
    from ..gateway.store import KeyedRecord


class InjectedFault(Enum):
    """Faults of the quarantine."""

    NONE = "none"
    QUARANTINES_NOTHING = "no request is quarantined"
    IGNORES_PEERS = "an instance knows only the crashes that it saw itself"
    REPORTS_ONCE = "records of a failed append are not reported again"
    NEVER_CLEARS = "a complete answer clears no request"
    COUNTS_BREAKS_AS_CRASHES = "each broken connection counts as a crash of its upstream"


class _IsolatedFeed(QuarantineFeed):
    """Applies no records from other instances."""

    def _apply_record(self, record: KeyedRecord, *, source: str) -> bool:
        return False


class _ForgetfulOutbox(QuarantineOutbox):
    """Forgets the records of a failed append."""

    async def _relay(self) -> None:
        self._unrelayed.clear()
        self._waiting.clear()


class _ForgetfulFeed(QuarantineFeed):
    """Reports to the store once, and to no peer."""

    outbox_type = _ForgetfulOutbox


class _NeverClearingFeed(QuarantineFeed):
    """Never clears a request."""

    def clear(self, suspect_id: SuspectId) -> None:
        """Ignore the complete answer, so that the request stays quarantined."""


class _IdleQuarantine(Quarantine):
    """Quarantines no request."""

    def blocking(self, suspect_ids: Iterable[SuspectId], now_s: float) -> tuple[SuspectId, ...]:
        """Return no suspect."""
        return ()


class _IdleFeed(QuarantineFeed):
    """Feed whose quarantine admits all requests."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.quarantine = _IdleQuarantine()


class _NothingListensCheck(LivenessCheck):
    """Considers every upstream crashed."""

    async def check(self, address: str) -> Liveness:
        """Return that no process listens."""
        return Liveness.NOT_LISTENING


_FEEDS: dict[InjectedFault, type[QuarantineFeed]] = {
    InjectedFault.QUARANTINES_NOTHING: _IdleFeed,
    InjectedFault.IGNORES_PEERS: _IsolatedFeed,
    InjectedFault.REPORTS_ONCE: _ForgetfulFeed,
    InjectedFault.NEVER_CLEARS: _NeverClearingFeed,
}


def choose_feed_type(fault: InjectedFault) -> type[QuarantineFeed]:
    """Return the type of feed, a faulty one if the fault concerns the feed."""
    return _FEEDS.get(fault, QuarantineFeed)


def choose_check(fault: InjectedFault, correct_check: LivenessCheck) -> LivenessCheck:
    """Return the liveness check, a faulty one if the fault concerns the check."""
    return (
        _NothingListensCheck() if fault is InjectedFault.COUNTS_BREAKS_AS_CRASHES else correct_check
    )
