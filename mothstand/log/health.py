"""Reachability of the platform's log or store, from all calls of a process together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, emit

if TYPE_CHECKING:
    from ..clock import Clock

#: Seconds without an answer after which the log or store counts as unreachable.
UNREACHABLE_AFTER_S = 2.0


class PlatformHealth:
    """Tracks since when the platform's log or store has not answered.

    Notes
    -----
    A single stream is not enough: a read of a quiet stream waits seconds for a record, and
    meanwhile shows neither the start nor the end of an outage. A process that still considers the
    platform unreachable refuses requests that it could serve.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failing_since_s: float | None = None
        self._is_outage_reported = False

    def note_success(self) -> None:
        """Record an answer, whatever its content."""
        self._failing_since_s = None
        if self._is_outage_reported:
            self._is_outage_reported = False
            emit(Event.LOG_REACHABLE)

    def note_failure(self, error: Exception) -> None:
        """Record a call that got no answer."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
        if self.is_unreachable and not self._is_outage_reported:
            self._is_outage_reported = True
            emit(Event.LOG_UNREACHABLE, error=str(error))

    def failing_s(self) -> float:
        """Return the seconds since the first unanswered call, or 0 if the latest was answered."""
        since = self._failing_since_s
        return 0.0 if since is None else self._clock.monotonic_s() - since

    @property
    def is_failing(self) -> bool:
        """Whether the latest call got no answer."""
        return self._failing_since_s is not None

    @property
    def is_unreachable(self) -> bool:
        """Whether calls have failed for at least `UNREACHABLE_AFTER_S`."""
        return self.failing_s() >= UNREACHABLE_AFTER_S
