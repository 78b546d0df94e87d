"""Up to when the configuration in force is known to have been the newest one."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

#: Part of the time for a version to be in force that may pass before its first bytes arrive.
_NEWS_DELAY_S = 0.5

#: Seconds after which a refused caller should retry: another instance has the newest version.
OUTDATED_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class _KnownEnd:
    """End of the configuration's stream, and when this instance learnt of it."""

    offset: int
    learnt_s: float


@dataclass(slots=True)
class ConfigFreshness:
    """Tracks when the configuration in force was last confirmed as the newest.

    Parameters
    ----------
    max_age_s
        Time within which a version has to be in force after its acknowledgement.
    """

    max_age_s: float
    _confirmed_s: float = -math.inf
    _unread_ends: deque[_KnownEnd] = field(default_factory=deque)

    def note_end(self, end_offset: int, now_s: float) -> None:
        """Record that the stream has records up to an offset, which may not be applied yet."""
        if not self._unread_ends or end_offset > self._unread_ends[-1].offset:
            self._unread_ends.append(_KnownEnd(end_offset, now_s))

    def note_applied(self, next_offset: int, answered_s: float) -> None:
        """Record that all records before an offset are applied.

        Parameters
        ----------
        answered_s
            Earliest time at which the store can have answered the read.
        """
        while self._unread_ends and self._unread_ends[0].offset <= next_offset:
            self._unread_ends.popleft()
        if not self._unread_ends:
            self._confirmed_s = max(self._confirmed_s, answered_s)

    def note_read_failed(self) -> None:
        """Record that the store could not be read: a newer version cannot be read in time.

        Service goes on by the version in force, as in any outage of the store.
        """
        self._unread_ends.clear()

    def is_confirmed(self, arrived_s: float) -> bool:
        """Return whether a request may be refused for good by the configuration in force.

        All versions that were acknowledged `max_age_s` before the request arrived must be in it.
        """
        return self._confirmed_s >= arrived_s - self.max_age_s

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last confirmation, or None before the first."""
        return None if math.isinf(self._confirmed_s) else now_s - self._confirmed_s

    def is_outdated(self, now_s: float) -> bool:
        """Return whether a newer version must be in force by now, and is not.

        A request could be served by a dropped route or key.
        """
        return self.outdated_s(now_s) >= max(0.0, self.max_age_s - _NEWS_DELAY_S)

    def outdated_s(self, now_s: float) -> float:
        """Return for how long a newer version is known to exist; 0 if none is."""
        return now_s - self._unread_ends[0].learnt_s if self._unread_ends else 0.0
