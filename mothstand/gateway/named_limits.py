"""Passes the rate limits that upstreams name in their answers on to the decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, emit

if TYPE_CHECKING:
    from ..clock import Clock
    from ..core.rate_limits import RateLimits
    from ..core.upstreams import RegisteredUpstream, UpstreamKey
    from .headers import UpstreamFields
    from .metrics import GatewayMetrics


class NamedLimits:
    """Logs when an upstream begins or ends to name a limit, and counts such answers."""

    def __init__(self, limits: RateLimits, clock: Clock, metrics: GatewayMetrics) -> None:
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._rates_per_s: dict[UpstreamKey, float] = {}
        self._invalid: set[UpstreamKey] = set()

    def note_answer(self, upstream: RegisteredUpstream, fields: UpstreamFields) -> None:
        """Record the limit that an answer names, or that it names none."""
        if fields.invalid_rate_limit and upstream.key not in self._invalid:
            self._invalid.add(upstream.key)
            emit(
                Event.RATE_LIMIT_IGNORED,
                upstream=upstream.upstream_id,
                value=fields.invalid_rate_limit,
            )
        rate_per_s = fields.rate_limit_per_s
        if rate_per_s is None and fields.invalid_rate_limit:
            return
        self._limits.note_answer(upstream, rate_per_s, self._clock.monotonic_s())
        if rate_per_s is not None:
            self._metrics.counts["answers_with_limit"] += 1
            if upstream.key not in self._rates_per_s:
                emit(Event.UPSTREAM_LIMITED, upstream=upstream.upstream_id, rate_per_s=rate_per_s)
            self._rates_per_s[upstream.key] = rate_per_s
        elif self._rates_per_s.pop(upstream.key, None) is not None:
            emit(Event.UPSTREAM_UNLIMITED, upstream=upstream.upstream_id)
        self._metrics.counts["limited_upstreams"] = len(self._rates_per_s)

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._limits.forget(upstream)
        self._rates_per_s.pop(upstream.key, None)
        self._invalid.discard(upstream.key)
