"""Reachability of the platform's log or store, from all calls of a process together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, emit

if TYPE_CHECKING:
    from ..clock import Clock

#: Seconds without an answer after which the log or store counts as unreachable.
LOG_OUT_AFTER_S = 2.0


class LogHealth:
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
        self._told = False

    def answered(self) -> None:
        """Record an answer, whatever its content."""
        self._failing_since_s = None
        if self._told:
            self._told = False
            emit(Event.LOG_REACHABLE)

    def failed(self, error: Exception) -> None:
        """Record a call that got no answer."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
        if self.is_out and not self._told:
            self._told = True
            emit(Event.LOG_UNREACHABLE, error=str(error))

    def silent_s(self) -> float:
        """Return the seconds since the first unanswered call, or 0 if the latest was answered."""
        since = self._failing_since_s
        return 0.0 if since is None else self._clock.monotonic_s() - since

    @property
    def is_failing(self) -> bool:
        """Whether the latest call got no answer."""
        return self._failing_since_s is not None

    @property
    def is_out(self) -> bool:
        """Whether calls have failed for at least `UNREACHABLE_AFTER_S`."""
        return self.silent_s() >= LOG_OUT_AFTER_S
