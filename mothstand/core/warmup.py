"""Rate limit on cold upstreams, which crash when they get too many requests a second.

The limit applies to the arrivals from all instances, and is divided among designated senders (see
`sender_quota`).

While the fleet changes, instances know different members and may designate different senders. The
parts of all senders together are half of the limit, so that two views may be in use at once. An
instance whose view is out of date sends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .sender_quota import SavedRequest, SenderQuota

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


def cold_quota(max_arrivals: float) -> SenderQuota:
    """Divide the arrivals that a cold upstream may get in one second by views and senders."""
    arrivals = max_arrivals / _CONCURRENT_VIEWS
    senders = min(_MAX_SENDERS, int(arrivals / _MIN_SENDER_ARRIVALS)) or int(arrivals >= 1)
    return SenderQuota(senders, arrivals / senders - 1 if senders else 0.0)


@dataclass(slots=True)
class _ColdUpstream:
    """A cold upstream, with what this instance has saved up for it."""

    cold_until_s: float
    saved: SavedRequest = field(default_factory=SavedRequest)


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
        quota = cold_quota(self.settings.max_arrivals(cold_per_s))
        return (
            self.fleet.is_current(now_s)
            and quota.permits(self.fleet, upstream.upstream_id)
            and self._saved(upstream, quota, now_s) >= 1
        )

    def note_sent(self, upstream: RegisteredUpstream, cold_per_s: float, now_s: float) -> None:
        """Count a request that is sent to a cold upstream."""
        quota = cold_quota(self.settings.max_arrivals(cold_per_s))
        state = self._cold.setdefault(upstream.key, _ColdUpstream(now_s))
        state.saved.take(quota.rate_per_s, now_s)

    def _saved(self, upstream: RegisteredUpstream, quota: SenderQuota, now_s: float) -> float:
        state = self._cold.get(upstream.key)
        return 1.0 if state is None else state.saved.amount(quota.rate_per_s, now_s)
