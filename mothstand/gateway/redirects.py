"""Redirects callers to other instances while this one is busy, and announces that it is."""

from __future__ import annotations

import math
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from anyio.lowlevel import checkpoint

from ..core.ingress import FairConcurrencyLimit, IngressLoad, IngressPolicy
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..clock import Clock
    from ..core.fleet import FleetView
    from ..core.ingress import BusyInstances
    from ..core.load_sharing import LoadSharing
    from .metrics import GatewayMetrics

#: Time for which an instance announces that it was busy, and at least an announcement interval, so
#: that each busy time is announced.
_MIN_BUSY_S = 4.0

#: New connections are unwanted for this long after the instance was nearly full. Longer than the
#: interval of readiness checks, so that two of them see it.
_UNREADY_S = 2.5


class Redirects:
    """Measures this instance's own load and refuses requests that others can serve.

    Parameters
    ----------
    busy_instances
        What other instances announce of themselves.
    """

    def __init__(
        self,
        sharing: LoadSharing,
        fleet: FleetView,
        busy_instances: BusyInstances,
        clock: Clock,
        metrics: GatewayMetrics,
        policy: IngressPolicy | None = None,
    ) -> None:
        self._policy = policy or IngressPolicy()
        self._sharing = sharing
        self._fleet = fleet
        self._busy_instances = busy_instances
        self._clock = clock
        self._metrics = metrics
        capacity = fleet.local_member.capacity
        self._load = IngressLoad(capacity.link_mbit_per_s, self._policy)
        self._decision = FairConcurrencyLimit(
            capacity.cores * self._policy.initial_limit_per_core, self._policy
        )
        self._running: Counter[str] = Counter()
        self._redirected_s = -math.inf
        self._nearly_full_s = -math.inf
        self._unready_since_s: float | None = None
        self._was_busy = False

    @property
    def is_busy(self) -> bool:
        """Whether this instance was nearly full or redirected callers recently.

        It depends on this instance alone. If it followed `accepts_connections`, which depends on
        the others, all instances of a data centre would become busy and free together.
        """
        self.update_readiness()
        busy_s = max(_MIN_BUSY_S, self._fleet.announce_interval_s)
        latest_s = max(self._nearly_full_s, self._redirected_s)
        return self._clock.monotonic_s() - latest_s < busy_s

    @property
    def accepts_connections(self) -> bool:
        """Whether callers that connect anew should still come to this instance.

        A platform that assigns callers by a hash sends a repeated attempt to the same instance, as
        long as that one says that it is ready.
        """
        return self._unready_since_s is None

    @property
    def is_slow(self) -> bool:
        """Whether the times measured now are this instance's own and not those of upstreams."""
        return self._sharing.redirects and self._load.is_slow(self._clock.monotonic_s())

    def retry_after_s(self) -> float | None:
        """Return when a caller may retry elsewhere if this instance is slow, else None."""
        if not (self.is_slow and self._others_are_free()):
            return None
        return self._policy.retry_after_s(self._unready_s())

    def _unready_s(self) -> float:
        """Return for how long this instance has wanted no new connections."""
        since_s = self._unready_since_s
        return 0.0 if since_s is None else self._clock.monotonic_s() - since_s

    def update_readiness(self) -> None:
        """Decide whether new connections are wanted, by the requests that run now."""
        if not self._sharing.redirects:
            self._unready_since_s = None
            return
        now_s = self._clock.monotonic_s()
        if self._decision.is_nearly_full(self._running):
            self._nearly_full_s = now_s
        if now_s - self._nearly_full_s >= _UNREADY_S or not self._others_are_free():
            self._unready_since_s = None
        elif self._unready_since_s is None:
            self._unready_since_s = now_s

    async def check(self, workspace: str) -> None:
        """Refuse a request that has just arrived if another instance should serve it.

        Raises
        ------
        RefusedError
            If this instance is busy. The request has not run.
        """
        if not self._sharing.redirects:
            return
        began_s = self._clock.monotonic_s()
        # Resumed in the next pass of the event loop, so this takes one pass.
        await checkpoint()
        now_s = self._clock.monotonic_s()
        self._load.note_pass(now_s - began_s, now_s)
        pressure = self._load.pressure(now_s)
        is_redirected = self._decision.redirects(
            workspace, self._running, pressure=pressure, now_s=now_s
        )
        self.update_readiness()
        self._log_change(pressure, now_s)
        if is_redirected and self._others_are_free():
            self._redirected_s = now_s
            self._metrics.counts["requests_redirected"] += 1
            refusal = Refusal(
                ErrorKind.INSTANCE_BUSY,
                self._detail(workspace),
                retry_after_s=self._policy.retry_after_s(self._unready_s()),
            )
            raise RefusedError(refusal)

    def preview(self, workspace: str) -> tuple[Refusal, tuple[float, float]] | None:
        """Return how `check` would refuse a request by the limit as it is now, else None.

        Nothing is measured or recorded. The second value is the range of the Retry-After.
        """
        if not (
            self._sharing.redirects
            and self._decision.is_exceeded_by(workspace, self._running)
            and self._others_are_free()
        ):
            return None
        bounds_s = self._policy.retry_after_bounds_s(self._unready_s())
        return Refusal(ErrorKind.INSTANCE_BUSY, self._detail(workspace)), bounds_s

    def _detail(self, workspace: str) -> str:
        running = self._running[workspace]
        return f"{running} of this workspace run here, {self._decision.limit:.0f} of all may"

    @contextmanager
    def running(self, workspace: str) -> Iterator[None]:
        """Count a request as running."""
        self._running[workspace] += 1
        self.update_readiness()
        try:
            yield
        finally:
            self._running[workspace] -= 1
            if not self._running[workspace]:
                del self._running[workspace]

    def note_bytes(self, count: int) -> None:
        """Record bytes that were received or sent for callers."""
        if self._sharing.redirects:
            self._load.note_bytes(count, self._clock.monotonic_s())

    def _others_are_free(self) -> bool:
        local = self._fleet.local_member
        others = [
            m.peer.instance
            for m in self._fleet.other_members()
            if m.data_centre == local.data_centre
        ]
        now_s = self._clock.monotonic_s()
        share = self._busy_instances.busy_share(
            others, now_s, announce_interval_s=self._fleet.announce_interval_s
        )
        return share < self._policy.max_busy_share

    def _log_change(self, pressure: float, now_s: float) -> None:
        """Log when this instance becomes busy, and when it no longer is."""
        self._metrics.counts["ingress_limit"] = int(self._decision.limit)
        self._metrics.counts["ingress_pressure_percent"] = int(pressure * 100)
        if self.is_busy != self._was_busy:
            self._was_busy = self.is_busy
            emit(
                Event.INSTANCE_BUSY if self._was_busy else Event.INSTANCE_FREE,
                pressure=round(pressure, 2),
                limit=round(self._decision.limit, 1),
                running=self._running.total(),
                workspaces=self._running.most_common(3),
            )
