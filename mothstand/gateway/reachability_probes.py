"""Probes upstreams that this instance may not reach, and logs when a path is lost or regained."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from ..events import Event, emit
from .quarantine.crash_detector import Liveness

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.reachability import Reachability
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
    from .metrics import GatewayMetrics
    from .quarantine.crash_detector import LivenessCheck

#: Seconds between two checks whether a probe is due.
_POLL_INTERVAL_S = 0.1


class ReachabilityProbes:
    """Keeps an instance's reachability up to date by connections that send no request.

    Attributes
    ----------
    reachability
        The state that attempts and probes update.
    lost_services
        Services of which no upstream can be connected to.
    """

    def __init__(
        self,
        reachability: Reachability,
        directory: UpstreamDirectory,
        check: LivenessCheck,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self.reachability = reachability
        self._directory = directory
        self._check = check
        self._clock = clock
        self._metrics = metrics
        self.lost_services: set[str] = set()

    def note_attempt_failed(self, upstream: RegisteredUpstream, reason: str) -> float:
        """Record that no connection to an upstream was established; log a change.

        Returns
        -------
        float
            Seconds until the upstream is probed.
        """
        self._log_outage(upstream, reason)
        pause_s = self.reachability.note_unreachable(upstream, self._clock.monotonic_s())
        self._log_services()
        return pause_s

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self.reachability.forget(upstream)
        self._log_services()

    async def run(self) -> None:
        """Probe upstreams that are due, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self.reachability.is_idle:
                    self._start_due_probes(tasks)
                await self._clock.sleep(_POLL_INTERVAL_S)

    def _start_due_probes(self, tasks: TaskGroup) -> None:
        registered = list(self._directory.upstreams.values())
        random.shuffle(registered)
        for upstream in self.reachability.take_due_probes(registered, self._clock.monotonic_s()):
            tasks.start_soon(self._probe, upstream)
        self._log_services()

    def note_connected(self, address: str) -> None:
        """Record that a connection to ``IP:PORT`` was established after its request gave up."""
        for upstream in self._directory.upstreams.values():
            if upstream.address == address and not self.reachability.is_reachable(upstream):
                self._end_outage(upstream)

    async def _probe(self, upstream: RegisteredUpstream) -> None:
        self._metrics.counts["reachability_probes"] += 1
        liveness = await self._check.check(upstream.address)
        now_s = self._clock.monotonic_s()
        if self._directory.upstreams.get(upstream.upstream_id) != upstream:
            self.forget(upstream)
        elif liveness is Liveness.LISTENING:
            self._end_outage(upstream)
        else:
            self._log_outage(upstream, f"probe: {liveness.value}")
            self.reachability.note_probe_failed(upstream, now_s)
        self._log_services()

    def _end_outage(self, upstream: RegisteredUpstream) -> None:
        was_unreachable = not self.reachability.is_reachable(upstream)
        after_s = self.reachability.note_probe_succeeded(upstream, self._clock.monotonic_s())
        if was_unreachable:
            emit(Event.UPSTREAM_REACHABLE, upstream=upstream.upstream_id, after_s=round(after_s, 3))
        self._log_services()

    def _log_outage(self, upstream: RegisteredUpstream, reason: str) -> None:
        if self.reachability.is_reachable(upstream):
            emit(
                Event.UPSTREAM_UNREACHABLE,
                upstream=upstream.upstream_id,
                service=upstream.service,
                reason=reason,
            )

    def _log_services(self) -> None:
        """Log services whose upstreams have all become unreachable, or are reachable again."""
        self._metrics.counts["unreachable_upstreams"] = self.reachability.unreachable_count
        if not self.reachability.unreachable_count and not self.lost_services:
            return
        services = {u.service for u in self._directory.upstreams.values()}
        lost = {name for name in services if self._is_lost(name)}
        for name in lost - self.lost_services:
            emit(
                Event.SERVICE_UNREACHABLE,
                service=name,
                upstreams=len(self._directory.accepting_upstreams(name)),
            )
        for name in self.lost_services - lost:
            emit(Event.SERVICE_REACHABLE, service=name)
        self.lost_services = lost
        self._metrics.counts["unreachable_services"] = len(lost)

    def _is_lost(self, service: str) -> bool:
        upstreams = self._directory.accepting_upstreams(service)
        return bool(upstreams) and not self.reachability.reachable(upstreams)
