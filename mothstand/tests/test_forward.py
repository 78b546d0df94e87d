"""Tests of forwarding one request: retries, streams, and answers to failed requests."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
import pytest

from ..clock import SystemClock
from ..core.claims import UNUSED, Usage
from ..core.placement import Placement
from ..core.prompt import Prompt, PromptPart
from ..core.quarantine import MOST_ENDS, UpstreamEnd
from ..core.retry_budget import RetryBudgetSettings
from ..core.routes import Destination, RequestKind, Route
from ..core.stall_watch import StallWatch
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory, UpstreamKey
from ..errors import ErrorKind, RefusedError
from ..gateway.call import Call, CallerConnection
from ..gateway.crash_guard import CrashGuard
from ..gateway.end_watch import EndWatch, TcpLivenessCheck
from ..gateway.forward import Forwarder
from ..gateway.headers import CallerFields, RawHeaders, UpstreamFields
from ..gateway.metrics import GatewayMetrics
from ..gateway.quarantine_feed import QuarantineFeed
from ..gateway.upstream_client import (
    ConnectionBrokenError,
    MayHaveRunError,
    MisdirectedError,
    NotConnectedError,
    NotRunError,
    OutgoingRequest,
    RefusedByUpstreamError,
    UpstreamAnswer,
    UpstreamClient,
)
from ..log.health import LogHealth
from ..platform.headers import PlatformHeaders
from ..testing.fakes import SilentPeers
from ..testing.memory_store import MemoryStore, StoreLink
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Sequence

_HERE = DataCentre("sto-a")


def event(number: int) -> bytes:
    return b"id: %d\ndata: word\n\n" % number


class FakeAnswer(UpstreamAnswer):
    """Answer from scripted pieces; an exception among them is raised when it is read."""

    def __init__(
        self,
        status: int,
        pieces: Sequence[bytes | Exception],
        *,
        after_s: float = 0.0,
        ends_with_connection: bool = False,
    ) -> None:
        self.ends_with_connection = ends_with_connection
        self.after_s = after_s
        self.status = status
        self.reason = ""
        self.headers = (("X-Server-Signature", f"s{status}"),)
        self.fields = UpstreamFields("r", False, False, False)
        self.closed = False
        self._pieces = list(pieces)

    async def read_piece(self) -> bytes:
        if not self._pieces:
            return b""
        piece = self._pieces.pop(0)
        if isinstance(piece, Exception):
            raise piece
        return piece

    def close(self) -> None:
        self.closed = True


class FakeClient(UpstreamClient):
    """Client that returns scripted answers, one per attempt, for any upstream."""

    def __init__(self, script: list[FakeAnswer | Exception | None]) -> None:
        self.sent: list[dict[str, str]] = []
        self._script = script

    async def send(
        self, upstream: RegisteredUpstream, request: OutgoingRequest, headers: RawHeaders
    ) -> UpstreamAnswer:
        self.sent.append(dict(headers))
        step = self._script.pop(0)
        if step is None:
            await anyio.sleep_forever()
        if isinstance(step, Exception):
            raise step
        assert step is not None
        await anyio.sleep(step.after_s)
        return step


class FakeCaller(CallerConnection):
    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.heads: list[RawHeaders] = []
        self.finished = False
        self.aborted = False

    async def start(self, status: int, reason: str, headers: RawHeaders) -> None:
        self.started = True
        self.status = status
        self.heads.append(headers)

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.finished = True

    def abort(self) -> None:
        self.aborted = True

    async def send_whole(self, status: int, reason: str, headers: RawHeaders, body: bytes) -> None:
        await self.start(status, reason, headers)
        await self.write(body)
        await self.finish()


class World:
    """Forwarder with three engines."""

    def __init__(self, *script: FakeAnswer | Exception | None, burst: float = 60) -> None:
        self.client = FakeClient(list(script))
        self.directory = UpstreamDirectory()
        for number in range(3):
            self.directory.put(
                RegisteredUpstream(f"i-{number}", "llm", f"e{number}:1", _HERE, 8, False)
            )
        self.clock = SystemClock()
        self.caller = FakeCaller()
        feed = QuarantineFeed(
            StoreLink(MemoryStore()),
            self.clock,
            LogHealth(self.clock),
            "me",
            SilentPeers(),
            lambda: [],
            lambda: 1,
        )
        self.quarantine = feed.quarantine
        self.watch = EndWatch(TcpLivenessCheck(0.2), self.clock, feed.report)
        self.guard = CrashGuard(feed, self.watch, self.clock)
        self.metrics = GatewayMetrics(counts=defaultdict(int))  # type: ignore[arg-type]
        self.forwarder = Forwarder(
            self.client,
            PlatformHeaders(),
            Placement(_HERE),
            self.directory,
            RetryBudgetSettings(0.2, burst, 10.0, 1.0),
            lambda: 6,
            StallWatch(),
            self.guard,
            self.clock,
            self.metrics,
        )

    def call(self, kind: RequestKind, *, resumable: bool = False, timeout_s: float = 5.0) -> Call:
        route = Route(
            "r", "h", "/", kind, timeout_s, 0.1, 1, (Destination("llm", 1),), 2, False, resumable
        )
        prompt = Prompt("m", 100, 40, (PromptPart("p", 100),))
        now_s = self.clock.monotonic_s()
        return Call(
            fields=CallerFields("r", "h", "", timeout_s, "", prompt),
            headers=(("X-Request-Id", "r"),),
            route=route,
            service="llm",
            workspace="w",
            priority=1,
            request=OutgoingRequest("POST", "/", "r", b"body"),
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )

    def run(self, call: Call) -> ErrorKind | None:
        """Forward a call and return the kind of its refusal, or None."""

        async def main() -> ErrorKind | None:
            try:
                await self.forwarder.run(call, self.caller)
            except RefusedError as error:
                return error.refusal.kind
            return None

        return anyio.run(main)


class TestPlain:
    def test_an_answer_is_passed_on_unchanged(self) -> None:
        world = World(FakeAnswer(404, [b"no ", b"such"]))
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        assert (world.caller.status, world.caller.body) == (404, b"no such")

    def test_what_may_have_run_is_not_sent_again(self) -> None:
        """Guards against running a non-idempotent request twice.

        The upstream ran the request and its answer was lost; the broken connection was treated as
        a request that did not arrive.
        """
        world = World(MayHaveRunError("reset"), FakeAnswer(200, [b"second"]))
        call = world.call(RequestKind.NON_IDEMPOTENT)
        assert world.run(call) is ErrorKind.OUTCOME_UNKNOWN
        assert len(world.client.sent) == 1
        assert call.usage(4, is_answered=world.caller.started) == Usage(100, 0)

    def test_what_surely_did_not_run_is_sent_elsewhere(self) -> None:
        world = World(NotRunError("no connection"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        sent = [headers["X-Expected-Instance"] for headers in world.client.sent]
        assert len(set(sent)) == 2

    def test_an_idempotent_request_is_sent_again_after_a_loss(self) -> None:
        world = World(MayHaveRunError("reset"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_a_failure_is_passed_on_when_the_second_try_fails_too(self) -> None:
        world = World(FakeAnswer(500, [b"one"]), FakeAnswer(500, [b"two"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert (world.caller.status, world.caller.body) == (500, b"two")

    def test_an_upstream_that_hangs_is_left_where_that_is_allowed(self) -> None:
        world = World(None, FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_an_upstream_that_is_slow_is_not_left_for_nowhere(self) -> None:
        """Guards against requests of unknown outcome in a burst, while engines are working.

        With slow engines and no retries left, a late request was taken from its upstream's queue
        before checking whether it may be sent to another one.
        """
        world = World(FakeAnswer(200, [b"ok"], after_s=0.5), burst=0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"
        assert len(world.client.sent) == 1

    def test_one_retry_is_not_promised_to_two(self) -> None:
        """Guards against two requests that leave slow upstreams for the same remaining retry.

        One of them failed with an unknown outcome: the retry budget was checked first, and charged
        only after the request had left its upstream.
        """
        answers = [FakeAnswer(200, [b"ok"], after_s=0.5) for _ in range(3)]
        world = World(*answers, burst=6)
        calls = [world.call(RequestKind.IDEMPOTENT) for _ in range(2)]
        callers = [FakeCaller() for _ in calls]

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for call, caller in zip(calls, callers, strict=True):
                    tasks.start_soon(world.forwarder.run, call, caller)

        anyio.run(main)
        assert [caller.body for caller in callers] == [b"ok", b"ok"]
        assert len(world.client.sent) == 3

    def test_the_last_upstream_that_is_slow_is_not_left(self) -> None:
        world = World(FakeAnswer(200, [b"ok"], after_s=0.5))
        for upstream_id in ("i-1", "i-2"):
            del world.directory.known[upstream_id]
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_timeout_says_that_it_may_have_run(self) -> None:
        world = World(None)
        call = world.call(RequestKind.NON_IDEMPOTENT, timeout_s=0.1)
        assert world.run(call) is ErrorKind.TIMED_OUT

    def test_an_upstream_can_say_in_time_that_a_request_did_not_run(self) -> None:
        """Guards against a 504 and uncertain tokens for a request that never ran.

        A request waits in an upstream's queue until its deadline. With the caller's own deadline
        the upstream reported too late that the request did not run.
        """
        timeout_s = 0.5

        class Queue(FakeClient):
            async def send(
                self, upstream: RegisteredUpstream, request: OutgoingRequest, headers: RawHeaders
            ) -> UpstreamAnswer:
                await anyio.sleep(int(dict(headers)["X-Deadline-Milliseconds"]) / 1000)
                await anyio.sleep(0.005)
                raise RefusedByUpstreamError("the deadline passed in the queue")

        world = World()
        world.forwarder._client = Queue([])
        call = world.call(RequestKind.NON_IDEMPOTENT, timeout_s=timeout_s)
        assert world.run(call) is ErrorKind.OVERLOADED
        assert call.usage(4, is_answered=world.caller.started) == UNUSED

    def test_refusals_by_all_upstreams_are_no_run(self) -> None:
        refusals = [RefusedByUpstreamError("full") for _ in range(3)]
        world = World(*refusals)
        call = world.call(RequestKind.NON_IDEMPOTENT)
        assert world.run(call) is ErrorKind.OVERLOADED
        assert call.usage(4, is_answered=world.caller.started) == UNUSED

    def test_upstreams_that_cannot_be_reached_cost_no_retries(self) -> None:
        """Guards against requests that fail in a partition although one upstream is reachable.

        Two of three upstreams are unreachable. Attempts that reached no upstream counted as
        retries and used up this instance's share of the retry budget.
        """
        unreachable = (NotConnectedError("x"), NotConnectedError("x"))
        world = World(*unreachable, FakeAnswer(200, [b"ok"]), burst=0)
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_the_retry_budget_ends_the_tries(self) -> None:
        world = World(RefusedByUpstreamError("full"), FakeAnswer(200, [b"ok"]), burst=0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.OVERLOADED

    def test_requests_that_are_refused_here_pay_for_retries(self) -> None:
        # Guards against an instance without access to tokens that has no retries either.
        world = World(RefusedByUpstreamError("full"), FakeAnswer(200, [b"ok"]), burst=0)
        for _ in range(10):
            world.forwarder.admit(world.call(RequestKind.IDEMPOTENT))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None

    def test_a_misdirected_request_ends_the_upstreams_id(self) -> None:
        """Guards against requests that go to a replaced engine first, one after the other.

        An engine restarts while the store is unreachable. Its old id stayed in the directory
        although each request to it was refused.
        """
        world = World(MisdirectedError("another"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        assert len(world.directory.known) == 2

    def test_without_upstreams_it_is_refused_at_once(self) -> None:
        world = World()
        world.directory.known.clear()
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.NO_UPSTREAM


class TestStreams:
    def test_events_and_their_tokens_are_counted(self) -> None:
        world = World(FakeAnswer(200, [event(1) + event(2), event(3)]))
        call = world.call(RequestKind.STREAMING)
        assert world.run(call) is None
        assert world.caller.finished
        assert call.usage(4, is_answered=world.caller.started) == Usage(112, 112)

    def test_a_broken_stream_does_not_look_whole(self) -> None:
        """Guards against a truncated answer that looks complete.

        An engine crashes in mid-stream, and the caller's answer was ended like a complete one.
        """
        world = World(FakeAnswer(200, [event(1), MayHaveRunError("reset")]))
        assert world.run(world.call(RequestKind.STREAMING)) is None
        assert world.caller.aborted
        assert not world.caller.finished

    def test_a_stream_that_ends_inside_an_event_does_not_look_whole(self) -> None:
        world = World(FakeAnswer(200, [event(1) + b"id: 2\nda"]))
        assert world.run(world.call(RequestKind.STREAMING)) is None
        assert world.caller.aborted
        assert world.caller.body == event(1)

    def test_another_engine_goes_on_where_that_is_allowed(self) -> None:
        broken = FakeAnswer(200, [event(1), event(2)[:5], MayHaveRunError("reset")])
        world = World(broken, FakeAnswer(200, [event(2), event(3)]))
        call = world.call(RequestKind.STREAMING, resumable=True)
        assert world.run(call) is None
        assert world.caller.body == event(1) + event(2) + event(3)
        assert world.client.sent[1]["Last-Event-Id"] == "1"
        assert len(world.caller.heads) == 1
        assert broken.closed
        assert call.usage(4, is_answered=world.caller.started) == Usage(112, 112)

    def test_an_engine_that_will_not_go_on_breaks_the_stream(self) -> None:
        broken = FakeAnswer(200, [event(1), MayHaveRunError("reset")])
        world = World(broken, FakeAnswer(500, [b"no"]))
        assert world.run(world.call(RequestKind.STREAMING, resumable=True)) is None
        assert world.caller.aborted
        assert world.caller.body == event(1)

    def test_before_the_first_event_nothing_is_promised(self) -> None:
        world = World(FakeAnswer(200, [MayHaveRunError("reset")]))
        assert world.run(world.call(RequestKind.STREAMING)) is ErrorKind.OUTCOME_UNKNOWN
        assert not world.caller.started


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_caller_that_leaves_ends_the_upstreams_work(kind: RequestKind) -> None:
    """Guards against engines that work for disconnected callers.

    A caller disconnects while its request waits at an upstream. The cancelled attempt kept its
    connection, and its tokens stayed reserved.
    """
    world = World(None)
    call = world.call(kind)

    async def main() -> None:
        with anyio.move_on_after(0.05):
            await world.forwarder.run(call, world.caller)

    anyio.run(main)
    assert not world.caller.started
    assert call.usage(4, is_answered=world.caller.started) == Usage(100, 0)


class TestUpstreamsThatEnd:
    def attempt_that_breaks(self, world: World, number: int, *, known_ends: int) -> None:
        """Add the crash of another upstream during the same request."""
        digest = world.call(RequestKind.IDEMPOTENT).digest
        key = UpstreamKey(f"gone-{number}", 1)
        world.quarantine.add_end(
            UpstreamEnd(digest, key, "r0", "other", known_ends), world.clock.monotonic_s()
        )

    def test_a_break_after_a_known_end_is_not_sent_to_a_second_upstream(self) -> None:
        # Guards against a request that crashes two upstreams each time its caller sends it.
        world = World(ConnectionBrokenError("reset"), FakeAnswer(200, [b"ok"]))
        self.attempt_that_breaks(world, 0, known_ends=0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.OUTCOME_UNKNOWN
        assert len(world.client.sent) == 1

    def test_a_first_break_is_sent_elsewhere(self) -> None:
        world = World(ConnectionBrokenError("reset"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None

    def test_a_quarantined_request_is_sent_nowhere(self) -> None:
        world = World(FakeAnswer(200, [b"ok"]))
        for number in range(MOST_ENDS):
            self.attempt_that_breaks(world, number, known_ends=number)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.QUARANTINED
        assert world.client.sent == []

    @pytest.mark.parametrize(
        ("answer", "is_cleared"),
        [
            (FakeAnswer(200, [b"ok"]), True),
            (FakeAnswer(500, [b"failed"]), False),
            (FakeAnswer(404, [b"no"]), False),
            (FakeAnswer(200, [b"half"], ends_with_connection=True), False),
        ],
        ids=["whole", "failed", "unknown", "ends with its connection"],
    )
    def test_only_a_whole_success_clears(self, answer: FakeAnswer, is_cleared: bool) -> None:
        # Guards against failed answers, and crashes that look like a complete answer, that clear
        # the quarantine.
        world = World(answer)
        self.attempt_that_breaks(world, 0, known_ends=0)
        world.run(world.call(RequestKind.NON_IDEMPOTENT))
        assert world.quarantine.is_empty is is_cleared
