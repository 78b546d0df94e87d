"""Pace of upstreams, by the gaps between the events of their streams.

Some upstreams of a service run on slower machines. While an upstream reads a long prompt, all its
streams pause between two events, and at a slow one for longer than callers accept. So long prompts
are better read at the others, and slow upstreams serve short ones.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .upstreams import RegisteredUpstream, UpstreamKey

#: Minimum gaps of a stream whose median shows the pace of its upstream: reading a prompt between
#: two events lengthens some of them.
_MIN_GAPS = 8

#: Upstreams of a service that must be measured before any is called slow.
_MIN_MEASURED = 3

#: Ratio of an upstream's gap to that of the fast ones from which it is slow. Smaller differences
#: come from the number and the length of its running requests.
_SLOW_RATIO = 1.15

#: Instances that must report an upstream as slow before one that has not measured it believes it.
_MIN_REPORTS = 2

#: Time for which a report is used; a few intervals between announcements.
_REPORT_LIFETIME_S = 20.0

#: Maximum number of slow upstreams in a report, which all instances read.
_MAX_REPORTED = 16

#: Weight of the latest stream in an upstream's mean gap.
_LATEST_WEIGHT = 0.3


@dataclass(slots=True)
class StreamGaps:
    """The times between the events of one stream."""

    _last_s: float | None = None
    _gaps_s: list[float] = field(default_factory=list)

    def note_events(self, count: int, now_s: float) -> None:
        """Record that events arrived; several at once share the time since the ones before."""
        if self._last_s is not None and count:
            self._gaps_s.append((now_s - self._last_s) / count)
        self._last_s = now_s

    @property
    def longest_s(self) -> float:
        """The longest gap, or 0 for fewer than two events."""
        return max(self._gaps_s, default=0.0)

    @property
    def typical_s(self) -> float | None:
        """The median gap, or None if there are too few."""
        return median(self._gaps_s) if len(self._gaps_s) >= _MIN_GAPS else None


@dataclass(frozen=True, slots=True)
class _Report:
    """Slow upstreams that another instance has measured."""

    upstream_ids: frozenset[str]
    reported_s: float


@dataclass(slots=True)
class UpstreamPaces:
    """Mean gaps of the upstreams of each service, and the slow ones that other instances report.

    In a large fleet an instance seldom uses the same upstream twice within seconds, so most of
    what it knows comes from the others.
    """

    _gaps_s: dict[str, dict[UpstreamKey, float]] = field(default_factory=dict)
    _reports: dict[str, _Report] = field(default_factory=dict)
    _report_counts: Counter[str] = field(default_factory=Counter)

    def record(self, upstream: RegisteredUpstream, gap_s: float) -> None:
        """Record the typical gap of a stream of an upstream."""
        gaps_s = self._gaps_s.setdefault(upstream.service, {})
        mean_s = gaps_s.get(upstream.key, gap_s)
        gaps_s[upstream.key] = mean_s + _LATEST_WEIGHT * (gap_s - mean_s)

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the pace of an upstream that is deregistered."""
        self._gaps_s.get(upstream.service, {}).pop(upstream.key, None)

    def apply_report(self, instance: str, upstream_ids: Iterable[str], now_s: float) -> None:
        """Replace what another instance has reported as slow."""
        self._drop_report(instance)
        self._reports[instance] = _Report(frozenset(upstream_ids), now_s)
        self._report_counts.update(self._reports[instance].upstream_ids)

    def _drop_report(self, instance: str) -> None:
        report = self._reports.pop(instance, None)
        if report is not None:
            self._report_counts -= Counter(report.upstream_ids)

    def _drop_expired_reports(self, now_s: float) -> None:
        # Reports are in the order of their times, since a new one goes to the end.
        while self._reports:
            instance, report = next(iter(self._reports.items()))
            if now_s - report.reported_s < _REPORT_LIFETIME_S:
                return
            self._drop_report(instance)

    @property
    def own_slow_ids(self) -> tuple[str, ...]:
        """Ids of the upstreams that this instance has measured as slow, to report to others."""
        slow = [k.upstream_id for service in self._gaps_s for k in self._measured_slow(service)]
        return tuple(sorted(slow)[:_MAX_REPORTED])

    def slow_upstreams(
        self, upstreams: Sequence[RegisteredUpstream], now_s: float
    ) -> frozenset[str]:
        """Return the ids of those upstreams of one service that are known to be slow.

        Own measurements go before reports, of which it takes two.
        """
        if not upstreams:
            return frozenset()
        self._drop_expired_reports(now_s)
        return self._slow_by(upstreams, self._report_counts)

    def peek_slow_upstreams(
        self, upstreams: Sequence[RegisteredUpstream], now_s: float
    ) -> frozenset[str]:
        """Return what `slow_upstreams` does, without dropping reports that have expired."""
        if not upstreams:
            return frozenset()
        counts: Counter[str] = Counter()
        for report in self._reports.values():
            if now_s - report.reported_s < _REPORT_LIFETIME_S:
                counts.update(report.upstream_ids)
        return self._slow_by(upstreams, counts)

    def _slow_by(
        self, upstreams: Sequence[RegisteredUpstream], reports: Counter[str]
    ) -> frozenset[str]:
        service = upstreams[0].service
        measured = self._gaps_s.get(service, {})
        slow = self._measured_slow(service)
        return frozenset(
            u.upstream_id
            for u in upstreams
            if u.key in slow or (u.key not in measured and reports[u.upstream_id] >= _MIN_REPORTS)
        )

    def _measured_slow(self, service: str) -> frozenset[UpstreamKey]:
        gaps_s = self._gaps_s.get(service, {})
        if len(gaps_s) < _MIN_MEASURED:
            return frozenset()
        fast_s = sorted(gaps_s.values())[len(gaps_s) // 4]
        return frozenset(key for key, gap_s in gaps_s.items() if gap_s > _SLOW_RATIO * fast_s)
