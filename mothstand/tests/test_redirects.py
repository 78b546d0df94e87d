"""Tests of the redirects of a busy instance, with a slow event loop."""

from __future__ import annotations

import asyncio
import time

import pytest

from ..core.ingress import BusyInstances, IngressPolicy
from ..core.load_sharing import LoadSharing, LoadSharingPolicy
from ..errors import ErrorKind, RefusedError, RunState
from ..gateway.metrics import GatewayMetrics
from ..gateway.redirects import Redirects
from ..testing.eligibility import fleet_view
from ..testing.fakes import SkippingClock

_ON = LoadSharingPolicy(min_instances=2, redirects=True)


class SlowLoop:
    """Redirects at an instance whose event loop takes long for each pass."""

    def __init__(self, policy: LoadSharingPolicy, others: int, *, busy: int = 0) -> None:
        self.metrics = GatewayMetrics()
        self.clock = clock = SkippingClock()
        now_s = clock.monotonic_s()
        fleet = fleet_view("me", others, read_s=now_s)
        self.busy = BusyInstances()
        for number in range(busy):
            self.busy.note(f"other-{number}", is_busy=True, now_s=now_s)
        sharing = LoadSharing(policy, fleet)
        limits = IngressPolicy(initial_limit_per_core=3.0, adjust_interval_s=0.0)
        self.redirects = Redirects(sharing, fleet, self.busy, clock, self.metrics, limits)

    async def refusals(self, requests: int) -> list[RefusedError]:
        """Let requests of one workspace arrive while all before them run."""
        refused: list[RefusedError] = []

        async def ask() -> None:
            try:
                await self.redirects.check("large")
            except RefusedError as error:
                refused.append(error)
                return
            with self.redirects.running("large"):
                time.sleep(0.03)
                await asyncio.sleep(0.2)

        await asyncio.gather(*(ask() for _ in range(requests)))
        await asyncio.gather(*(ask() for _ in range(requests)))
        return refused


def refusals(loop: SlowLoop) -> list[RefusedError]:
    return asyncio.run(loop.refusals(10))


class TestRedirects:
    def test_refusal_says_not_run_and_when_to_return(self) -> None:
        refused = refusals(SlowLoop(_ON, others=5))
        assert refused
        refusal = refused[0].refusal
        assert refusal.kind is ErrorKind.INSTANCE_BUSY
        assert refusal.answer.run_state is RunState.NOT_RUN
        # The platform needs two failed checks, a second apart, to choose another instance.
        assert refusal.effective_retry_after_s == pytest.approx(2.2, abs=0.1)

    def test_instance_is_unready_before_it_redirects(self) -> None:
        """Guards against callers whose next attempt comes to the same busy instance."""
        loop = SlowLoop(_ON, others=5)
        assert loop.redirects.accepts_connections
        asyncio.run(loop.refusals(2))
        assert not loop.redirects.accepts_connections
        assert loop.metrics.counts["requests_redirected"] == 0

    def test_readiness_returns_when_the_instance_has_room(self) -> None:
        """Guards against an instance that stays out of rotation after a burst."""
        loop = SlowLoop(_ON, others=5)
        refusals(loop)
        loop.clock.advance_s = 10.0
        loop.redirects.update_readiness()
        assert loop.redirects.accepts_connections

    def test_nobody_is_redirected_where_settings_do_not_ask_for_it(self) -> None:
        assert refusals(SlowLoop(LoadSharingPolicy(), others=5)) == []

    def test_nobody_is_redirected_in_a_smaller_fleet(self) -> None:
        policy = LoadSharingPolicy(min_instances=12, redirects=True)
        assert refusals(SlowLoop(policy, others=5)) == []

    def test_nobody_is_redirected_while_most_others_are_busy(self) -> None:
        """Guards against callers that are sent from one busy instance to the next."""
        assert refusals(SlowLoop(_ON, others=5, busy=3)) == []

    def test_busy_instance_counts_its_redirects(self) -> None:
        loop = SlowLoop(_ON, others=5)
        refused = refusals(loop)
        assert loop.redirects.is_busy
        assert loop.metrics.counts["requests_redirected"] == len(refused)
