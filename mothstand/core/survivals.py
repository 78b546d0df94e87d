"""Prompt parts that an instance has seen answered."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .suspects import SuspectId

#: Maximum number of parts that are remembered; those answered longest ago are dropped.
_MAX_PARTS = 10_000


@dataclass(slots=True)
class Survivals:
    """Times of the latest answers on prompt parts, on the monotonic clock."""

    _answered_s: dict[SuspectId, float] = field(default_factory=dict)

    def add(self, suspect_id: SuspectId, now_s: float) -> None:
        """Add an answer on a part, after which its upstream lived on."""
        self._answered_s.pop(suspect_id, None)
        self._answered_s[suspect_id] = now_s
        if len(self._answered_s) > _MAX_PARTS:
            del self._answered_s[next(iter(self._answered_s))]

    def latest_s(self, suspect_id: SuspectId) -> float:
        """Return the time of the latest answer on a part, minus infinity without any."""
        return self._answered_s.get(suspect_id, -math.inf)
