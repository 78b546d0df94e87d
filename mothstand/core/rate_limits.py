"""Rate limits that upstreams name in their answers, kept by the whole fleet together.

An overloaded upstream names the requests a second that it accepts from all instances, as long as
its answers name it. Its designated senders divide the rate among each other; all others send
nothing there. Instances announce to each other the limits that answers named, and the latest answer
counts: so those that do not send learn when a limit begins, changes and ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from .sender_quota import SavedRequest, SenderQuota

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import FleetView
    from .upstreams import RegisteredUpstream, UpstreamKey

#: Seconds for which the end of a limit is announced after the latest answer without one.
_ENDED_KEPT_S = 60.0

#: Maximum upstreams in one announcement.
_MAX_ANNOUNCED = 50


@dataclass(frozen=True, slots=True)
class RateLimitPolicy:
    """Arrivals that a named limit permits, and reserves for what instances do not know.

    Parameters
    ----------
    window_s
        Time over which arrivals are counted.
    overshoot, slack
        In a window, `overshoot` times what the limit allows and `slack` more may arrive.
    unknown_senders
        Instances that may send beside the designated ones, because their view of the fleet is
        older.
    min_rate_per_s
        Limits below count as this, so that some answer can tell when a limit ends.
    """

    window_s: float = 4.0
    overshoot: float = 1.5
    slack: float = 5.0
    unknown_senders: int = 2
    min_rate_per_s: float = 0.1

    def max_arrivals(self, rate_per_s: float) -> float:
        """Return the maximum arrivals in a window, over all instances."""
        return self.overshoot * rate_per_s * self.window_s + self.slack

    def quota(self, rate_per_s: float, fleet_size: int) -> SenderQuota:
        """Return the division that uses most of a limit, with as many senders as that permits."""
        return _best_quota(self, max(self.min_rate_per_s, rate_per_s), max(1, fleet_size))


@lru_cache(maxsize=256)
def _best_quota(policy: RateLimitPolicy, rate_per_s: float, fleet_size: int) -> SenderQuota:
    quotas = (_quota_of(policy, rate_per_s, n) for n in range(1, fleet_size + 1))
    return max(quotas, key=lambda q: (round(q.senders * q.rate_per_s, 6), q.senders))


def _quota_of(policy: RateLimitPolicy, rate_per_s: float, senders: int) -> SenderQuota:
    """Return the quota of each sender, which in a window sends one saved request and its rate."""
    share = policy.max_arrivals(rate_per_s) / (senders + policy.unknown_senders)
    return SenderQuota(senders, max(0.0, min(rate_per_s / senders, (share - 1) / policy.window_s)))


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What an instance has learnt from an upstream's answers, as it announces it.

    Parameters
    ----------
    rate_per_s
        The limit; None if the upstream named one before and no longer does.
    age_s
        Age of the latest answer that named it, or that no longer did, in seconds.
    """

    upstream: UpstreamKey
    rate_per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class _Evidence:
    """The latest answer known of an upstream that names, or has named, a limit."""

    rate_per_s: float | None
    answered_s: float
    is_own: bool


@dataclass(slots=True)
class RateLimits:
    """The limits that this instance knows, and its part of each."""

    fleet: FleetView
    policy: RateLimitPolicy = field(default_factory=RateLimitPolicy)
    _evidence: dict[UpstreamKey, _Evidence] = field(default_factory=dict)
    _saved: dict[UpstreamKey, SavedRequest] = field(default_factory=dict)

    def note_answer(
        self, upstream: RegisteredUpstream, rate_per_s: float | None, now_s: float
    ) -> None:
        """Record the limit that an answer names, or that it names none."""
        if rate_per_s is not None or upstream.key in self._evidence:
            self._evidence[upstream.key] = _Evidence(rate_per_s, now_s, is_own=True)

    def apply_notices(self, notices: Iterable[LimitNotice], now_s: float) -> None:
        """Apply what another instance announces where its answer is later than the known one.

        An announcement may be read one interval after it was made. The end of a limit is therefore
        taken for one interval older, so that it never replaces a limit that began again.
        """
        for notice in notices:
            answered_s = now_s - notice.age_s
            if notice.rate_per_s is None:
                answered_s -= self.fleet.announce_interval_s
            known = self._evidence.get(notice.upstream)
            if known is None and notice.rate_per_s is None:
                continue
            if known is None or answered_s > known.answered_s:
                evidence = _Evidence(notice.rate_per_s, answered_s, is_own=False)
                self._evidence[notice.upstream] = evidence

    def notices(self, now_s: float) -> tuple[LimitNotice, ...]:
        """Return what this instance has learnt from answers, to announce it; the latest first."""
        self._drop_ended(now_s)
        notices = [
            LimitNotice(key, evidence.rate_per_s, now_s - evidence.answered_s)
            for key, evidence in self._evidence.items()
            if evidence.is_own
        ]
        return tuple(sorted(notices, key=lambda n: n.age_s)[:_MAX_ANNOUNCED])

    def rate_per_s(self, upstream: RegisteredUpstream) -> float | None:
        """Return the limit of an upstream, or None."""
        evidence = self._evidence.get(upstream.key)
        return None if evidence is None else evidence.rate_per_s

    def may_send(self, upstream: RegisteredUpstream, now_s: float) -> bool:
        """Return whether this instance may send a request to an upstream now."""
        rate_per_s = self.rate_per_s(upstream)
        if rate_per_s is None:
            return True
        if self.fleet.size == 1 and not self.fleet.is_current(now_s):
            # It may have peers that it does not know of, and would take all of the rate.
            return False
        quota = self._quota(rate_per_s)
        return quota.permits(self.fleet, upstream.upstream_id) and (
            self._saved.get(upstream.key, SavedRequest()).amount(quota.rate_per_s, now_s) >= 1
        )

    def note_sent(self, upstream: RegisteredUpstream, now_s: float) -> None:
        """Count a request that is sent to an upstream, if it has a limit."""
        rate_per_s = self.rate_per_s(upstream)
        if rate_per_s is not None:
            self._bucket(upstream).take(self._quota(rate_per_s).rate_per_s, now_s)

    def retry_after_s(self, upstreams: Iterable[RegisteredUpstream]) -> float:
        """Return the seconds between two requests that the fleet may send to some upstreams."""
        rates = [r for u in upstreams if (r := self.rate_per_s(u)) is not None]
        total_per_s = sum(max(self.policy.min_rate_per_s, rate) for rate in rates)
        return 1.0 / total_per_s if total_per_s else 0.0

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._evidence.pop(upstream.key, None)
        self._saved.pop(upstream.key, None)

    def _drop_ended(self, now_s: float) -> None:
        ended = [
            key
            for key, evidence in self._evidence.items()
            if evidence.rate_per_s is None and now_s - evidence.answered_s > _ENDED_KEPT_S
        ]
        for key in ended:
            del self._evidence[key]

    def _quota(self, rate_per_s: float) -> SenderQuota:
        return self.policy.quota(rate_per_s, self.fleet.size)

    def _bucket(self, upstream: RegisteredUpstream) -> SavedRequest:
        return self._saved.setdefault(upstream.key, SavedRequest())
