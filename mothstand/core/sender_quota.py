"""Division of a fleet-wide rate at one upstream among designated senders.

Hundreds of instances cannot agree on each request that they send to one upstream. So a few
instances are designated as its senders, by a hash over the members of the fleet, and each sends at
a fixed part of the rate. All instances with the same view of the fleet designate the same ones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import FleetView


@dataclass(frozen=True, slots=True)
class SenderQuota:
    """Number of designated senders of an upstream, and the rate of each.

    Parameters
    ----------
    senders
        0 if the limit is too low for any.
    rate_per_s
        Requests a second of each sender, beside one that it may have saved up.
    """

    senders: int
    rate_per_s: float

    def permits(self, fleet: FleetView, upstream_id: str) -> bool:
        """Return whether this instance is a designated sender to an upstream."""
        return fleet.is_designated(upstream_id, self.senders)


@dataclass(slots=True)
class SavedRequest:
    """Token bucket of one request: what this instance has saved up (at most 1) as of a time."""

    _saved: float = 1.0
    _saved_at_s: float = -math.inf

    def amount(self, rate_per_s: float, now_s: float) -> float:
        """Return the saved part of a request; at 1 or more a request may be sent."""
        if math.isinf(self._saved_at_s):
            return self._saved
        return min(1.0, self._saved + rate_per_s * (now_s - self._saved_at_s))

    def take(self, rate_per_s: float, now_s: float) -> None:
        """Take one request, also if less was saved."""
        self._saved = self.amount(rate_per_s, now_s) - 1
        self._saved_at_s = now_s

    def wait_s(self, rate_per_s: float, now_s: float) -> float:
        """Return the seconds until a request may be sent."""
        missing = 1.0 - self.amount(rate_per_s, now_s)
        return 0.0 if missing <= 0 else missing / rate_per_s if rate_per_s else math.inf
