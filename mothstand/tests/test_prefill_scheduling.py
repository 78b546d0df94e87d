"""Tests of how an instance asks for the schedule of long prompts, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.fleet import Capacity, FleetView, Member
from ..core.load_sharing import LoadSharing, LoadSharingPolicy
from ..core.loans import Peer
from ..core.prefill_schedule import CalendarScheduler, PrefillGrant, PrefillRequest
from ..core.prompt import Prompt, PromptPart
from ..core.routes import Destination, GatewayService, RequestKind, Route
from ..core.upstreams import RegisteredUpstream
from ..gateway.call import Call
from ..gateway.headers import CallerFields
from ..gateway.metrics import GatewayMetrics
from ..gateway.prefill_link import PrefillLink
from ..gateway.prefill_scheduling import PrefillScheduling
from ..gateway.upstream_client import OutgoingRequest
from ..peers.failures import PeerError
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_SERVICE = "llm"
_UPSTREAMS = [
    RegisteredUpstream(f"e-{number}", _SERVICE, f"e{number}:1", DataCentre("sto-a"), 8, False)
    for number in range(3)
]
_ON = LoadSharingPolicy(min_instances=2, prefill_schedule=True)


class FakeLink(PrefillLink):
    """Scheduler that grants the same each time, or does not answer."""

    def __init__(self, grant: PrefillGrant | None) -> None:
        self.grant = grant
        self.asked: list[PrefillRequest] = []
        self.released: list[tuple[str, float]] = []

    async def reserve(self, address: str, request: PrefillRequest) -> PrefillGrant | None:
        self.asked.append(request)
        if self.grant is None:
            raise PeerError(f"{address}: no answer")
        return self.grant

    async def release(self, address: str, service: str, request_id: str, read_s: float) -> None:
        self.released.append((request_id, read_s))


class LocalInstance:
    """Scheduling of an instance in a fleet in which another one schedules."""

    def __init__(
        self, grant: PrefillGrant | None, policy: LoadSharingPolicy = _ON, *, others: int = 3
    ) -> None:
        self.clock = VirtualClock()
        self.link = FakeLink(grant)
        self.metrics = GatewayMetrics()
        # The scheduler is one of the more capable others.
        data_centre = DataCentre("sto-a")
        fleet = FleetView(Member(Peer("me", "1", "me:1"), data_centre, Capacity(0.5)))
        for number in range(others):
            peer = Peer(f"other-{number}", "1", f"other-{number}:1")
            fleet.apply_announcement(Member(peer, data_centre, Capacity(2.0)), 0.0)
        self.scheduling = PrefillScheduling(
            LoadSharing(policy, fleet),
            CalendarScheduler(),
            self.link,
            self.clock,
            self.metrics,
        )

    def call(self, tokens: int, *, timeout_s: float = 5.0, objective_s: float = 1.0) -> Call:
        route = Route(
            "r",
            "h",
            "/",
            RequestKind.STREAMING,
            timeout_s,
            objective_s,
            1,
            (Destination(_SERVICE, 1),),
            2,
            False,
            False,
        )
        prompt = Prompt("m", tokens, 40, (PromptPart("p", tokens - 40), PromptPart("own", 40)))
        now_s = self.clock.monotonic_s()
        return Call(
            fields=CallerFields("r-1", "h", "", timeout_s, "", prompt),
            headers=(),
            route=route,
            service=GatewayService(_SERVICE),
            workspace="w",
            priority=1,
            request=OutgoingRequest("POST", "/", "r-1", b"body"),
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )

    def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a test's work beside the task that sends releases."""

        async def both() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.scheduling.run)
                await anyio.sleep(0.001)
                await work()
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(both)

    async def place(self, call: Call) -> str:
        if not self.scheduling.applies_to(call):
            return _UPSTREAMS[0].upstream_id
        return (await self.scheduling.place(call, _UPSTREAMS[0], _UPSTREAMS)).upstream_id


_GRANT = PrefillGrant("e-2", 0.2, 0.1)


class TestPlace:
    def test_long_prompt_is_held_and_sent_where_the_scheduler_says(self) -> None:
        instance = LocalInstance(_GRANT)

        async def work() -> None:
            call = instance.call(9_000)
            began_s = instance.clock.monotonic_s()
            assert await instance.place(call) == "e-2"
            assert abs(instance.clock.monotonic_s() - began_s - 0.2) < 1e-6
            call.attempt_began_s = instance.clock.monotonic_s()
            await anyio.sleep(0.15)
            instance.scheduling.note_first_event(call)
            instance.scheduling.note_ended(call)

        instance.run(work)
        [(request_id, read_s)] = instance.link.released
        assert request_id == instance.link.asked[0].request_id
        assert abs(read_s - 0.15) < 1e-6

    def test_short_prompt_asks_nobody(self) -> None:
        """Guards against a call for each request of the fleet."""
        instance = LocalInstance(_GRANT)

        async def work() -> None:
            assert await instance.place(instance.call(1_000)) == "e-0"

        instance.run(work)
        assert instance.link.asked == []

    def test_nothing_is_asked_where_settings_do_not_ask_for_it(self) -> None:
        instance = LocalInstance(_GRANT, LoadSharingPolicy())

        async def work() -> None:
            assert await instance.place(instance.call(9_000)) == "e-0"

        instance.run(work)
        assert instance.link.asked == []

    def test_unresponsive_scheduler_is_not_asked_again_at_once(self) -> None:
        """Guards against a dead scheduler that delays each long prompt by a timeout."""
        instance = LocalInstance(None, others=1)

        async def work() -> None:
            assert await instance.place(instance.call(9_000)) == "e-0"
            asked = len(instance.link.asked)
            await instance.place(instance.call(9_000))
            assert len(instance.link.asked) == asked == 1

        instance.run(work)
        assert instance.metrics.counts["prefill_schedulers_avoided"] == 1

    def test_lost_answer_of_the_scheduler_is_released(self) -> None:
        """Guards against a reservation that the scheduler made and nobody uses."""
        instance = LocalInstance(None, others=1)

        async def work() -> None:
            await instance.place(instance.call(9_000))

        instance.run(work)
        assert instance.link.released == [(instance.link.asked[0].request_id, 0.0)]

    def test_unknown_upstream_of_a_scheduler_is_not_used(self) -> None:
        """Guards against a scheduler with an older list of upstreams."""
        instance = LocalInstance(PrefillGrant("gone", 0.2, 0.1))

        async def work() -> None:
            assert await instance.place(instance.call(9_000)) == "e-0"

        instance.run(work)
        assert instance.link.released == [(instance.link.asked[0].request_id, 0.0)]

    def test_hold_is_limited_by_objective_and_deadline(self) -> None:
        """Guards against a request that is held until it is late."""
        instance = LocalInstance(_GRANT)

        async def work() -> None:
            await instance.place(instance.call(9_000, objective_s=0.4))
            await instance.place(instance.call(9_000, objective_s=9.0, timeout_s=1.0))

        instance.run(work)
        first, second = (request.max_hold_s for request in instance.link.asked)
        assert first <= 0.2
        assert second <= 0.25

    def test_caller_that_leaves_while_held_releases_the_reservation(self) -> None:
        """Guards against an engine's time that is kept for a caller who has left."""
        instance = LocalInstance(_GRANT)

        async def work() -> None:
            call = instance.call(9_000)
            with anyio.move_on_after(0.05):
                try:
                    await instance.place(call)
                finally:
                    instance.scheduling.note_ended(call)

        instance.run(work)
        assert instance.link.released == [(instance.link.asked[0].request_id, 0.0)]
