"""Which upstream gets a request: prefix affinity with bounded load, over own observations."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import ErrorKind, Refusal
from .membership import rank

if TYPE_CHECKING:
    from datetime import datetime

    from ..types import DataCentre
    from .config import FleetConfig, Upstream


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Constants of the routing decision.

    Parameters
    ----------
    load_factor
        An upstream may carry this many times the mean load before affinity gives way.
    open_after_failures
        Failures in a row after which an upstream is left alone.
    open_s
        For how long; then one request tries it.
    low_priority_percent
        Share of the slots that requests of priority 0 and below may fill.
    """

    load_factor: float = 1.25
    open_after_failures: int = 3
    open_s: float = 2.0
    low_priority_percent: int = 100


@dataclass(frozen=True, slots=True)
class RouteCall:
    """What routing looks at of a request.

    Parameters
    ----------
    serves
        Model or service name.
    prefix
        What requests that share a cached prompt prefix have in common.
    tried
        Upstreams that this request has failed at.
    resumes
        Only upstreams that can go on with a part of an answer.
    """

    serves: str
    prefix: str
    priority: int
    tried: frozenset[str] = frozenset()
    resumes: bool = False


@dataclass(slots=True)
class UpstreamHealth:
    """Own observations of one upstream."""

    in_flight: int = 0
    failures: int = 0
    retry_at_s: float = 0.0


@dataclass(slots=True)
class Router:
    """Chooses upstreams and counts what runs at them.

    Parameters
    ----------
    data_centre
        Upstreams here go before those elsewhere.
    """

    data_centre: DataCentre
    policy: RoutingPolicy = field(default_factory=RoutingPolicy)
    leaving: frozenset[str] = frozenset()
    health: dict[str, UpstreamHealth] = field(default_factory=dict)

    def choose(
        self,
        call: RouteCall,
        config: FleetConfig,
        *,
        sharers: int,
        now_utc: datetime,
        now_s: float,
    ) -> Result[Upstream, Refusal]:
        """Return the upstream for a request.

        Parameters
        ----------
        sharers
            Instances that share the upstreams' slots, this one included.

        Returns
        -------
        Result[Upstream, Refusal]
            ``NO_UPSTREAM`` when none can be used, ``OVERLOADED`` when all are full.
        """
        usable = [
            u
            for u in config.upstreams.values()
            if call.serves in u.serves
            and u.name not in call.tried
            and (u.resumes or not call.resumes)
            and self._takes_work(u, config, now_utc, now_s)
        ]
        here = [u for u in usable if u.data_centre == self.data_centre]
        # Another data centre's upstreams are for when there is none here, not for overflow: its
        # own instances fill them.
        usable = here or usable
        if not usable:
            return Failure(Refusal(ErrorKind.NO_UPSTREAM, f"nothing serves {call.serves!r} now"))
        free = [u for u in usable if self._has_slot(u, call.priority, sharers)]
        if not free:
            return Failure(Refusal(ErrorKind.OVERLOADED, f"{len(usable)} upstreams are full"))
        return Success(self._by_affinity(call, free))

    def started(self, upstream: str) -> None:
        """Count a request at an upstream."""
        self._health(upstream).in_flight += 1

    def ended(self, upstream: str, *, failed: bool, now_s: float) -> None:
        """Count a request's end; several failures in a row open the circuit for a while."""
        health = self._health(upstream)
        health.in_flight -= 1
        if not failed:
            health.failures = 0
            return
        health.failures += 1
        if health.failures >= self.policy.open_after_failures:
            health.retry_at_s = now_s + self.policy.open_s

    def _health(self, upstream: str) -> UpstreamHealth:
        health = self.health.get(upstream)
        if health is None:
            health = self.health[upstream] = UpstreamHealth()
        return health

    def _takes_work(
        self, upstream: Upstream, config: FleetConfig, now_utc: datetime, now_s: float
    ) -> bool:
        stop = config.stops.get(upstream.name)
        if stop is not None and now_utc >= stop.at_utc:
            return False
        if upstream.name in self.leaving:
            return False
        health = self._health(upstream.name)
        tripped = health.failures >= self.policy.open_after_failures
        return not tripped or (now_s >= health.retry_at_s and health.in_flight == 0)

    def _has_slot(self, upstream: Upstream, priority: int, sharers: int) -> bool:
        # Twice the fair share: others do not always use theirs, and engines queue a little.
        share = max(1, math.ceil(2 * upstream.slots / max(1, sharers)))
        if priority <= 0:
            # Never into the engine's queue, where high priority would wait behind it.
            share = min(share, upstream.slots)
            share = max(1, share * self.policy.low_priority_percent // 100)
        return self._health(upstream.name).in_flight < share

    def _by_affinity(self, call: RouteCall, free: list[Upstream]) -> Upstream:
        by_name = {u.name: u for u in free}
        total = sum(self._health(name).in_flight for name in by_name)
        most = math.ceil(self.policy.load_factor * (total + 1) / len(by_name))
        order = rank(by_name, call.prefix)
        for name in order:
            if self._health(name).in_flight < most:
                return by_name[name]
        return by_name[order[0]]
