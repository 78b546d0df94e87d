"""Choice of the upstream of a request: prefix affinity with bounded load, from observed load."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import ErrorKind, Refusal
from .membership import rank

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import datetime

    from ..types import DataCentre
    from .config import FleetConfig, Upstream


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Constants of the routing decision.

    Parameters
    ----------
    load_factor
        Multiple of the mean load up to which affinity chooses an upstream.
    max_queue_s
        Maximum wait of a request for a slot at an upstream; low priority never waits.
    report_lifetime_s
        Time for which a load report of an upstream is used.
    circuit_open_failures
        Number of consecutive failures that open the circuit of an upstream.
    circuit_open_s
        Time for which the circuit stays open; then one request probes the upstream.
    """

    load_factor: float = 1.25
    max_queue_s: float = 0.2
    report_lifetime_s: float = 3.0
    circuit_open_failures: int = 3
    circuit_open_s: float = 2.0


@dataclass(frozen=True, slots=True)
class RouteCall:
    """Properties of a request that routing uses.

    Parameters
    ----------
    serves
        Model or service name.
    prefix
        Key that is equal for requests that share a cached prompt prefix.
    tried_upstreams
        Upstreams at which this request has failed.
    must_resume
        Whether only upstreams that can continue a partial answer may be chosen.
    """

    serves: str
    prefix: str
    priority: int
    tried_upstreams: frozenset[str] = frozenset()
    must_resume: bool = False


#: Assumed duration of a request at an upstream where none has ended yet.
_FIRST_REQUEST_S = 1.0

#: Weight of the latest request in the mean duration.
_LATEST_WEIGHT = 0.1


@dataclass(slots=True)
class UpstreamHealth:
    """Observations of one upstream by this instance, and the upstream's latest load report.

    Parameters
    ----------
    mean_request_s
        Mean duration of the latest requests at the upstream.
    reported_load
        Requests of all instances that ran or waited at the upstream at its latest report.
    in_flight_at_report
        Requests of this instance that were in flight when the report arrived.
    """

    in_flight: int = 0
    failures: int = 0
    retry_at_s: float = 0.0
    mean_request_s: float = _FIRST_REQUEST_S
    reported_load: int = 0
    in_flight_at_report: int = 0
    reported_at_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An upstream that accepts requests, with an estimate of its load.

    Parameters
    ----------
    load
        Estimated number of requests of all instances that run or wait there.
    free_capacity
        Number of requests that this instance may still send there; none if it is 0 or less.
    """

    upstream: Upstream
    load: int
    free_capacity: int


@dataclass(slots=True)
class Router:
    """Chooses upstreams and counts the requests in flight at each.

    Parameters
    ----------
    data_centre
        Data centre of this instance, whose upstreams are preferred.
    draining
        Names of upstreams that get no new requests.
    """

    data_centre: DataCentre
    policy: RoutingPolicy = field(default_factory=RoutingPolicy)
    draining: frozenset[str] = frozenset()
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
            Number of instances that share the upstreams' slots, this one included.

        Returns
        -------
        Result[Upstream, Refusal]
            ``NO_UPSTREAM`` if no upstream can be used, ``OVERLOADED`` if all are full.
        """
        by_data_centre = config.upstreams_serving(call.serves)
        local = self._usable(call, by_data_centre.get(self.data_centre, ()), config, now_utc, now_s)
        chosen = self._best_local(call, local, sharers, now_s)
        if chosen is not None:
            return Success(chosen)
        remote_upstreams = (
            u
            for data_centre, found in by_data_centre.items()
            if data_centre != self.data_centre
            for u in found
        )
        remote = self._usable(call, remote_upstreams, config, now_utc, now_s)
        chosen = self._best_remote(call, remote, now_s, no_local=not local)
        if chosen is not None:
            return Success(chosen)
        if local or remote:
            full = f"{len(local) + len(remote)} upstreams are full"
            return Failure(Refusal(ErrorKind.OVERLOADED, full))
        return Failure(Refusal(ErrorKind.NO_UPSTREAM, f"nothing serves {call.serves!r} now"))

    def note_started(self, upstream: str) -> None:
        """Count a request that is sent to an upstream."""
        self._health(upstream).in_flight += 1

    def note_ended(self, upstream: str, *, failed: bool, elapsed_s: float, now_s: float) -> None:
        """Record the end of a request; consecutive failures open the circuit for a while."""
        health = self._health(upstream)
        health.in_flight -= 1
        if not failed:
            health.failures = 0
            health.mean_request_s += _LATEST_WEIGHT * (elapsed_s - health.mean_request_s)
            return
        health.failures += 1
        if health.failures >= self.policy.circuit_open_failures:
            health.retry_at_s = now_s + self.policy.circuit_open_s

    def note_load_report(self, upstream: str, load: int, now_s: float) -> None:
        """Record an upstream's report of the number of requests that run or wait there."""
        health = self._health(upstream)
        health.reported_load = load
        health.in_flight_at_report = health.in_flight
        health.reported_at_s = now_s

    def _health(self, upstream: str) -> UpstreamHealth:
        health = self.health.get(upstream)
        if health is None:
            health = self.health[upstream] = UpstreamHealth()
        return health

    def _usable(
        self,
        call: RouteCall,
        upstreams: Iterable[Upstream],
        config: FleetConfig,
        now_utc: datetime,
        now_s: float,
    ) -> list[Upstream]:
        return [
            u
            for u in upstreams
            if u.name not in call.tried_upstreams
            and (u.resumes or not call.must_resume)
            and self._accepts_work(u, config, now_utc, now_s)
        ]

    def _accepts_work(
        self, upstream: Upstream, config: FleetConfig, now_utc: datetime, now_s: float
    ) -> bool:
        stop = config.stops.get(upstream.name)
        if stop is not None and now_utc >= stop.at_utc:
            return False
        if upstream.name in self.draining:
            return False
        health = self._health(upstream.name)
        is_circuit_open = health.failures >= self.policy.circuit_open_failures
        return not is_circuit_open or (now_s >= health.retry_at_s and health.in_flight == 0)

    def _best_local(
        self, call: RouteCall, local: list[Upstream], sharers: int, now_s: float
    ) -> Upstream | None:
        candidates = [self._candidate(u, call.priority, sharers, now_s) for u in local]
        free = [candidate for candidate in candidates if candidate.free_capacity > 0]
        return self._choose_by_affinity(call, free) if free else None

    def _best_remote(
        self, call: RouteCall, remote: list[Upstream], now_s: float, *, no_local: bool
    ) -> Upstream | None:
        """Return an upstream of another data centre for a request that no local one can accept.

        Notes
        -----
        Instances of the other data centre also fill these upstreams, and do not know the demand
        here. So a request only uses a slot that the upstream reports as free, and never queues.
        Without a recent report, this instance sends one request at a time to get one.
        """
        free = []
        for upstream in remote:
            health = self._health(upstream.name)
            reported = self._estimate_load(health, now_s)
            load = health.in_flight if reported is None else reported
            max_load = 1 if reported is None and not no_local else upstream.slots
            if load < max_load:
                free.append(_Candidate(upstream, load, max_load - load))
        return self._choose_by_affinity(call, free) if free else None

    def _candidate(
        self, upstream: Upstream, priority: int, sharers: int, now_s: float
    ) -> _Candidate:
        health = self._health(upstream.name)
        # Low priority never enters an engine's queue, where high priority would wait behind it.
        max_waiting = 0 if priority <= 0 else self._max_waiting(upstream, health)
        reported = self._estimate_load(health, now_s, sharers)
        if reported is not None:
            return _Candidate(upstream, reported, upstream.slots + max_waiting - reported)
        # Twice the fair share, since other instances do not always use theirs.
        share = max(1, math.ceil(2 * upstream.slots / max(1, sharers)))
        share = min(share, upstream.slots + max_waiting)
        return _Candidate(upstream, health.in_flight * sharers, share - health.in_flight)

    def _max_waiting(self, upstream: Upstream, health: UpstreamHealth) -> int:
        """Return the number of requests that may queue, so that each gets a slot in time.

        The last one must get a slot within `max_queue_s`, and a slot becomes free every
        `mean_request_s / slots` seconds (Little's law).
        """
        free_every_s = max(1e-3, health.mean_request_s) / upstream.slots
        return math.ceil(self.policy.max_queue_s / free_every_s)

    def _estimate_load(self, health: UpstreamHealth, now_s: float, sharers: int = 1) -> int | None:
        """Return the load by a recent report plus the requests sent since, or None without one.

        Notes
        -----
        All sharers see the same free slots in the same late report. If each counted only its own
        requests, together they would fill them several times before the next report.
        """
        if now_s - health.reported_at_s > self.policy.report_lifetime_s:
            return None
        sent_since = health.in_flight - health.in_flight_at_report
        if sent_since > 0:
            sent_since *= sharers
        return max(health.in_flight, health.reported_load + sent_since)

    def _choose_by_affinity(self, call: RouteCall, free: list[_Candidate]) -> Upstream:
        """Return the first upstream in rendezvous order that is not full nor far above the mean.

        Notes
        -----
        A cached prefix saves less than a wait for a slot costs. So affinity never adds to a queue
        while another upstream has a free slot. If all are full, the least loaded one is returned.
        """
        by_name = {candidate.upstream.name: candidate for candidate in free}
        mean = sum(candidate.load for candidate in free) / len(free)
        max_load = math.ceil(self.policy.load_factor * (mean + 1 / len(free)))
        for name in rank(by_name, call.prefix):
            candidate = by_name[name]
            if candidate.load < min(max_load, candidate.upstream.slots):
                return candidate.upstream
        return min(free, key=lambda candidate: candidate.load / candidate.upstream.slots).upstream
