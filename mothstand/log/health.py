"""Whether the platform's log answers, judged by all reads and appends of a process together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, emit

if TYPE_CHECKING:
    from ..clock import Clock

#: Seconds of silence after which the log counts as out.
UNREACHABLE_AFTER_S = 2.0


class PlatformHealth:
    """Since when nothing has been heard of the log.

    Notes
    -----
    One stream cannot tell: a read of a quiet stream waits seconds for a record, and meanwhile
    says neither that the log is gone nor that it is back. A process that still believes the log
    to be out refuses requests as out of reach that it could serve.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failing_since_s: float | None = None
        self._is_outage_reported = False

    def note_success(self) -> None:
        """Note an answer of the log, whatever it said."""
        self._failing_since_s = None
        if self._is_outage_reported:
            self._is_outage_reported = False
            emit(Event.LOG_REACHABLE)

    def note_failure(self, error: Exception) -> None:
        """Note a call without an answer."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
        if self.is_unreachable and not self._is_outage_reported:
            self._is_outage_reported = True
            emit(Event.LOG_UNREACHABLE, error=str(error))

    def failing_s(self) -> float:
        """Return the seconds since the first call without an answer; 0 while the log answers."""
        since = self._failing_since_s
        return 0.0 if since is None else self._clock.monotonic_s() - since

    @property
    def is_failing(self) -> bool:
        """Whether the latest call had no answer."""
        return self._failing_since_s is not None

    @property
    def is_unreachable(self) -> bool:
        """Whether the log has been silent for long."""
        return self.failing_s() >= UNREACHABLE_AFTER_S
