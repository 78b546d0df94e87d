"""Up to when the configuration in force is known to have been the newest one."""

from __future__ import annotations

import math
from dataclasses import dataclass


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
    _outdated_since_s: float | None = None

    def note_newest(self, at_s: float) -> None:
        """Record that the configuration in force was the newest at a time."""
        self._confirmed_s = max(self._confirmed_s, at_s)
        self._outdated_since_s = None

    def note_newer_exists(self, now_s: float) -> None:
        """Record that the store has a version which is not in force here yet."""
        if self._outdated_since_s is None:
            self._outdated_since_s = now_s

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last confirmation, or None before the first."""
        return None if math.isinf(self._confirmed_s) else now_s - self._confirmed_s

    def outdated_s(self, now_s: float) -> float:
        """Return for how long a newer version is known to exist; 0 if none is."""
        since_s = self._outdated_since_s
        return 0.0 if since_s is None else now_s - since_s
