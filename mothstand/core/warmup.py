"""Rate limit on cold upstreams, which crash when they get too many requests a second.

The limit applies to the arrivals from all instances. Hundreds of instances learn at the same time
that an upstream is cold, and a request cannot wait for an agreement between them. So only a few
designated instances send to a cold upstream, each at a part of the permitted rate. All instances
choose them alike, by a hash over the members of the fleet.

While the fleet changes, instances know different members and may designate different senders. The
parts of all senders together are half of the limit, so that two views may be in use at once. An
instance whose view is out of date sends nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import FleetView
    from .upstreams import RegisteredUpstream, UpstreamKey

#: Views of the fleet that may be in use at the same time.
_CONCURRENT_VIEWS = 2

#: Maximum designated senders of a cold upstream. One may be down; more would leave each less than
#: a request a second.
_MAX_SENDERS = 4

#: Requests in one second that each sender may send at least: one that was saved up and one more.
_MIN_SENDER_ARRIVALS = 2.0


@dataclass(frozen=True, slots=True)
class WarmupSettings:
    """The fleet's limit on arrivals at a cold upstream, by the operators' settings.

    Parameters
    ----------
    overshoot
        Factor on the rate that the service states for its cold upstreams.
    slack
        Additional arrivals in any second.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def max_arrivals(self, cold_per_s: float) -> float:
        """Return the maximum arrivals in one second at a cold upstream, over all instances."""
        return cold_per_s * self.overshoot + self.slack


@dataclass(frozen=True, slots=True)
class SenderQuota:
    """Designated senders of each cold upstream of a service, and the rate of each sender.

    Parameters
    ----------
    senders
        0 if the limit is too low for any.
    rate_per_s
        Requests a second of each sender, beside one that it may have saved up.
    """

    senders: int
    rate_per_s: float

    @classmethod
    def of(cls, max_arrivals: float) -> SenderQuota:
        """Divide the limit by views and senders."""
        arrivals = max_arrivals / _CONCURRENT_VIEWS
        senders = min(_MAX_SENDERS, int(arrivals / _MIN_SENDER_ARRIVALS)) or int(arrivals >= 1)
        return cls(senders, arrivals / senders - 1 if senders else 0.0)


@dataclass(slots=True)
class _ColdUpstream:
    """A cold upstream, with this instance's saved-up request (0 to 1) as of a time."""

    cold_until_s: float
    saved: float = 1.0
    saved_at_s: float = -math.inf


@dataclass(slots=True)
class Warmup:
    """Tracks cold upstreams, and decides whether this instance may send to one."""

    settings: WarmupSettings
    fleet: FleetView
    _cold: dict[UpstreamKey, _ColdUpstream] = field(default_factory=dict)

    def note_cold(self, upstream: RegisteredUpstream, cold_s: float, now_s: float) -> None:
        """Record for how long an upstream stays cold from now on; 0 if it is warm."""
        if cold_s <= 0:
            self._cold.pop(upstream.key, None)
            return
        state = self._cold.setdefault(upstream.key, _ColdUpstream(0.0))
        state.cold_until_s = now_s + cold_s

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._cold.pop(upstream.key, None)

    def is_cold(self, upstream: RegisteredUpstream, now_s: float) -> bool:
        """Return whether an upstream is cold, as far as is known."""
        state = self._cold.get(upstream.key)
        return state is not None and now_s < state.cold_until_s

    def may_send(self, upstream: RegisteredUpstream, cold_per_s: float, now_s: float) -> bool:
        """Return whether this instance may send a request to a cold upstream now."""
        quota = SenderQuota.of(self.settings.max_arrivals(cold_per_s))
        return (
            self.fleet.is_current(now_s)
            and self.fleet.is_designated(upstream.upstream_id, quota.senders)
            and self._saved(upstream, quota, now_s) >= 1
        )

    def note_sent(self, upstream: RegisteredUpstream, cold_per_s: float, now_s: float) -> None:
        """Count a request that is sent to a cold upstream."""
        quota = SenderQuota.of(self.settings.max_arrivals(cold_per_s))
        state = self._cold.setdefault(upstream.key, _ColdUpstream(now_s))
        state.saved = self._saved(upstream, quota, now_s) - 1
        state.saved_at_s = now_s

    def _saved(self, upstream: RegisteredUpstream, quota: SenderQuota, now_s: float) -> float:
        state = self._cold.get(upstream.key)
        if state is None:
            return 1.0
        return min(1.0, state.saved + quota.rate_per_s * (now_s - state.saved_at_s))
