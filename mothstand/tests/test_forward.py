"""Tests of forwarding one request: retries, streams, and answers to failed requests."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from ..core.claims import NO_USAGE, Usage
from ..core.evacuation import Evacuations, EvacuationState
from ..core.fleet import Member
from ..core.homes import RegionMap
from ..core.loans import Peer
from ..core.placement import Placement
from ..core.prompt import Prompt, PromptPart
from ..core.quarantine import CRASH_THRESHOLD, UpstreamCrash
from ..core.reachability import Reachability
from ..core.relaying import RelayOffer, RelayPeer
from ..core.retry_budget import RetryBudgetSettings
from ..core.routes import Destination, GatewayService, RequestKind, Route
from ..core.stall_detector import StallDetector
from ..core.suspects import is_part, part_suspect
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory, UpstreamKey
from ..errors import ErrorKind, RefusedError
from ..gateway.call import Call, CallerConnection
from ..gateway.forward import Forwarder
from ..gateway.headers import CallerFields, RawHeaders, UpstreamFields
from ..gateway.metrics import GatewayMetrics
from ..gateway.quarantine.crash_detector import CrashDetector, TcpLivenessCheck
from ..gateway.quarantine.feed import QuarantineFeed
from ..gateway.quarantine.guard import CrashGuard
from ..gateway.reachability_probes import ReachabilityProbes
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
from ..log.health import PlatformHealth
from ..platform.headers import PlatformHeaders
from ..testing.eligibility import (
    CALLER_MEMORY_BYTES,
    caller_memory,
    lone_prefills,
    lone_redirects,
    lone_resumptions,
    unrestricted_eligibility,
)
from ..testing.fakes import NoRelays, OnePeerRelays, SkippingClock, UnreachablePeers
from ..testing.memory_store import MemoryStore, StoreLink
from ..types import DataCentre, Region

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..gateway.relays import Relays

_LOCAL_DATA_CENTRE = DataCentre("sto-a")


def event(number: int) -> bytes:
    return b"id: %d\ndata: word\n\n" % number


class FakeAnswer(UpstreamAnswer):
    """Answer from scripted pieces: an exception is raised when read, and a function called."""

    def __init__(
        self,
        status: int,
        pieces: Sequence[bytes | Exception | Callable[[], bytes]],
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
        self.is_closed = False
        self._pieces = list(pieces)

    async def read_piece(self) -> bytes:
        if not self._pieces:
            return b""
        piece = self._pieces.pop(0)
        if isinstance(piece, Exception):
            raise piece
        return piece if isinstance(piece, bytes) else piece()

    def close(self) -> None:
        self.is_closed = True


class FakeClient(UpstreamClient):
    """Client that returns scripted answers, one per attempt, for any upstream."""

    def __init__(self, script: list[FakeAnswer | Exception | None]) -> None:
        self.sent_headers: list[dict[str, str]] = []
        self._script = script

    async def send(
        self, upstream: RegisteredUpstream, request: OutgoingRequest, headers: RawHeaders
    ) -> UpstreamAnswer:
        self.sent_headers.append(dict(headers))
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
        self.is_finished = False
        self.is_aborted = False

    async def start(self, status: int, reason: str, headers: RawHeaders) -> None:
        self.is_started = True
        self.status = status
        self.heads.append(headers)

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.is_finished = True

    def abort(self) -> None:
        self.is_aborted = True

    async def send_complete(
        self, status: int, reason: str, headers: RawHeaders, body: bytes
    ) -> None:
        await self.start(status, reason, headers)
        await self.write(body)
        await self.finish()


class ForwarderHarness:
    """Forwarder with three engines."""

    def __init__(
        self,
        *script: FakeAnswer | Exception | None,
        burst: float = 60,
        relays: Relays | None = None,
        clock: SkippingClock | None = None,
    ) -> None:
        self.client = FakeClient(list(script))
        self.directory = UpstreamDirectory()
        for number in range(3):
            self.directory.apply(
                RegisteredUpstream(
                    f"i-{number}", "llm", f"e{number}:1", _LOCAL_DATA_CENTRE, 8, False
                )
            )
        self.evacuations = Evacuations()
        self.region_map = RegionMap({_LOCAL_DATA_CENTRE: Region("se-east")})
        self.clock = SkippingClock() if clock is None else clock
        self.caller = FakeCaller()
        feed = QuarantineFeed(
            StoreLink(MemoryStore()),
            self.clock,
            PlatformHealth(self.clock),
            "me",
            UnreachablePeers(),
            lambda: [],
            lambda: 1,
        )
        self.quarantine = feed.quarantine
        self.crash_detector = CrashDetector(TcpLivenessCheck(0.2), self.clock, feed.report)
        self.guard = CrashGuard(feed, self.crash_detector, self.clock)
        self.metrics = GatewayMetrics(counts=defaultdict(int))  # type: ignore[arg-type]
        self.probes = ReachabilityProbes(
            Reachability(), self.directory, TcpLivenessCheck(0.2), self.clock, self.metrics
        )
        self.forwarder = Forwarder(
            self.client,
            PlatformHeaders(),
            Placement(_LOCAL_DATA_CENTRE),
            unrestricted_eligibility(
                self.directory, evacuations=self.evacuations, region_map=self.region_map
            ),
            RetryBudgetSettings(0.2, burst, 10.0, 1.0),
            lambda: 6,
            StallDetector(),
            self.guard,
            self.probes,
            NoRelays() if relays is None else relays,
            lone_resumptions(self.directory, self.clock, self.metrics),
            lone_redirects(self.clock, self.metrics),
            lone_prefills(self.clock, self.metrics),
            caller_memory(self.clock),
            self.clock,
            self.metrics,
        )

    def call(self, kind: RequestKind, *, resumable: bool = False, timeout_s: float = 5.0) -> Call:
        route = Route(
            "r", "h", "/", kind, timeout_s, 0.1, 1, (Destination("llm", 1),), 2, False, resumable
        )
        prompt = Prompt("m", 100, 40, (PromptPart("p", 60), PromptPart("own", 40)))
        now_s = self.clock.monotonic_s()
        return Call(
            fields=CallerFields("r", "h", "", timeout_s, "", prompt),
            headers=(("X-Request-Id", "r"),),
            route=route,
            service=GatewayService("llm"),
            workspace="w",
            priority=1,
            request=OutgoingRequest("POST", "/", "r", b"body"),
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )

    def last_upstream(self) -> RegisteredUpstream:
        """Return the upstream of the latest attempt."""
        upstream_id = self.client.sent_headers[-1]["X-Expected-Instance"]
        return self.directory.upstreams[upstream_id]

    def run(self, call: Call) -> ErrorKind | None:
        """Forward a call and return the kind of its refusal, or None."""

        async def main() -> ErrorKind | None:
            try:
                await self.forwarder.run(call, self.caller)
            except RefusedError as error:
                return error.refusal.kind
            return None

        return anyio.run(main)


class TestPlainAnswers:
    def test_answer_is_passed_on_unchanged(self) -> None:
        world = ForwarderHarness(FakeAnswer(404, [b"no ", b"such"]))
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        assert (world.caller.status, world.caller.body) == (404, b"no such")

    @pytest.mark.parametrize("status", [408, 429, 503])
    @pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.STREAMING])
    def test_promise_that_the_upstream_did_not_make_is_not_passed_on(
        self, kind: RequestKind, status: int
    ) -> None:
        # Guards against a caller that takes the failure of a run for "not run" and tries again.
        answer = FakeAnswer(status, [b"failed"])
        answer.fields = PlatformHeaders().read_upstream(status, (("X-Request-Id", "r"),))
        world = ForwarderHarness(answer)
        assert world.run(world.call(kind)) is ErrorKind.OUTCOME_UNKNOWN
        assert len(world.client.sent_headers) == 1

    def test_non_idempotent_request_that_may_have_run_is_not_retried(self) -> None:
        """Guards against running a non-idempotent request twice.

        The upstream ran the request and its answer was lost; the broken connection was treated as
        a request that did not arrive.
        """
        world = ForwarderHarness(MayHaveRunError("reset"), FakeAnswer(200, [b"second"]))
        call = world.call(RequestKind.NON_IDEMPOTENT)
        assert world.run(call) is ErrorKind.OUTCOME_UNKNOWN
        assert len(world.client.sent_headers) == 1
        assert call.usage(4, is_answered=world.caller.is_started) == Usage(100, 0)

    def test_request_that_did_not_run_is_sent_to_another_upstream(self) -> None:
        world = ForwarderHarness(NotRunError("no connection"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        sent = [headers["X-Expected-Instance"] for headers in world.client.sent_headers]
        assert len(set(sent)) == 2

    def test_idempotent_request_is_retried_after_lost_answer(self) -> None:
        world = ForwarderHarness(MayHaveRunError("reset"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_server_error_is_passed_on_after_last_attempt(self) -> None:
        world = ForwarderHarness(FakeAnswer(500, [b"one"]), FakeAnswer(500, [b"two"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert (world.caller.status, world.caller.body) == (500, b"two")

    def test_idempotent_request_is_retried_when_upstream_hangs(self) -> None:
        world = ForwarderHarness(None, FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_request_stays_at_slow_upstream_without_retry_budget(self) -> None:
        """Guards against requests of unknown outcome in a burst, while engines are working.

        With slow engines and no retries left, a late request was taken from its upstream's queue
        before checking whether it may be sent to another one.
        """
        world = ForwarderHarness(FakeAnswer(200, [b"ok"], after_s=0.5), burst=0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"
        assert len(world.client.sent_headers) == 1

    def test_one_retry_is_granted_to_only_one_request(self) -> None:
        """Guards against two requests that leave slow upstreams for the same remaining retry.

        One of them failed with an unknown outcome: the retry budget was checked first, and charged
        only after the request had left its upstream.
        """
        answers = [FakeAnswer(200, [b"ok"], after_s=0.5) for _ in range(3)]
        world = ForwarderHarness(*answers, burst=6)
        calls = [world.call(RequestKind.IDEMPOTENT) for _ in range(2)]
        callers = [FakeCaller() for _ in calls]

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for call, caller in zip(calls, callers, strict=True):
                    tasks.start_soon(world.forwarder.run, call, caller)

        anyio.run(main)
        assert [caller.body for caller in callers] == [b"ok", b"ok"]
        assert len(world.client.sent_headers) == 3

    def test_request_stays_at_slow_upstream_when_it_is_the_only_one(self) -> None:
        world = ForwarderHarness(FakeAnswer(200, [b"ok"], after_s=0.5))
        for upstream_id in ("i-1", "i-2"):
            del world.directory.upstreams[upstream_id]
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_timeout_after_sending_is_refused_as_timed_out(self) -> None:
        world = ForwarderHarness(None)
        call = world.call(RequestKind.NON_IDEMPOTENT, timeout_s=0.1)
        assert world.run(call) is ErrorKind.TIMED_OUT

    def test_request_whose_deadline_has_passed_is_refused_and_not_sent(self) -> None:
        # Guards against a run, and a 504, for a request that cannot be served any more.
        world = ForwarderHarness(FakeAnswer(200, [b"late"]))
        call = world.call(RequestKind.NON_IDEMPOTENT, timeout_s=0.0)
        assert world.run(call) is ErrorKind.OVERLOADED
        assert not world.client.sent_headers

    def test_upstream_deadline_leaves_time_to_report_that_request_did_not_run(self) -> None:
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

        world = ForwarderHarness()
        world.forwarder._client = Queue([])
        call = world.call(RequestKind.NON_IDEMPOTENT, timeout_s=timeout_s)
        assert world.run(call) is ErrorKind.OVERLOADED
        assert call.usage(4, is_answered=world.caller.is_started) == NO_USAGE

    def test_request_refused_by_all_upstreams_uses_no_tokens(self) -> None:
        refusals = [RefusedByUpstreamError("full") for _ in range(3)]
        world = ForwarderHarness(*refusals)
        call = world.call(RequestKind.NON_IDEMPOTENT)
        assert world.run(call) is ErrorKind.OVERLOADED
        assert call.usage(4, is_answered=world.caller.is_started) == NO_USAGE

    def test_unreachable_upstreams_use_no_retry_budget(self) -> None:
        """Guards against requests that fail in a partition although one upstream is reachable.

        Two of three upstreams are unreachable. Attempts that reached no upstream counted as
        retries and used up this instance's share of the retry budget.
        """
        unreachable = (NotConnectedError("x"), NotConnectedError("x"))
        world = ForwarderHarness(*unreachable, FakeAnswer(200, [b"ok"]), burst=0)
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        assert world.caller.body == b"ok"

    def test_exhausted_retry_budget_ends_attempts(self) -> None:
        world = ForwarderHarness(RefusedByUpstreamError("full"), FakeAnswer(200, [b"ok"]), burst=0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.OVERLOADED

    def test_requests_refused_by_the_gateway_add_to_retry_budget(self) -> None:
        # Guards against an instance without access to tokens that has no retries either.
        world = ForwarderHarness(RefusedByUpstreamError("full"), FakeAnswer(200, [b"ok"]), burst=0)
        for _ in range(10):
            world.forwarder.admit(world.call(RequestKind.IDEMPOTENT))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None

    def test_misdirected_request_removes_upstream_from_directory(self) -> None:
        """Guards against requests that each go to a replaced engine first.

        An engine restarts while the store is unreachable. Its old id stayed in the directory
        although each request to it was refused.
        """
        world = ForwarderHarness(MisdirectedError("another"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.NON_IDEMPOTENT)) is None
        assert len(world.directory.upstreams) == 2

    def test_request_is_refused_without_upstreams(self) -> None:
        world = ForwarderHarness()
        world.directory.upstreams.clear()
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.NO_UPSTREAM


class TestStreams:
    def test_events_and_their_tokens_are_counted(self) -> None:
        world = ForwarderHarness(FakeAnswer(200, [event(1) + event(2), event(3)]))
        call = world.call(RequestKind.STREAMING)
        assert world.run(call) is None
        assert world.caller.is_finished
        assert call.usage(4, is_answered=world.caller.is_started) == Usage(112, 112)

    def test_broken_stream_is_aborted(self) -> None:
        """Guards against a truncated answer that looks complete.

        An engine crashes in mid-stream, and the caller's answer was finished like a complete one.
        """
        world = ForwarderHarness(FakeAnswer(200, [event(1), MayHaveRunError("reset")]))
        assert world.run(world.call(RequestKind.STREAMING)) is None
        assert world.caller.is_aborted
        assert not world.caller.is_finished

    def test_stream_that_ends_inside_an_event_is_aborted(self) -> None:
        world = ForwarderHarness(FakeAnswer(200, [event(1) + b"id: 2\nda"]))
        assert world.run(world.call(RequestKind.STREAMING)) is None
        assert world.caller.is_aborted
        assert world.caller.body == event(1)

    def test_stream_with_another_answer_behind_it_is_aborted(self) -> None:
        # Guards against a body without length that passes on what was sent behind it.
        extra = b"HTTP/1.1 503 X\r\nX-Request-Id: r0\r\n\r\n"
        world = ForwarderHarness(
            FakeAnswer(200, [event(1) + event(2) + extra], ends_with_connection=True)
        )
        assert world.run(world.call(RequestKind.STREAMING)) is None
        assert world.caller.is_aborted
        assert world.caller.body == event(1) + event(2)

    def test_resumption_passes_no_event_that_its_caller_has(self) -> None:
        # Guards against numbers that go back where an upstream begins a resumed stream anew.
        world = ForwarderHarness(FakeAnswer(200, [event(1) + event(2), event(3)]))
        call = world.call(RequestKind.STREAMING, resumable=True)
        call = replace(call, fields=replace(call.fields, last_event_id="2"))
        assert world.run(call) is None
        assert world.caller.body == event(3)

    def test_resumable_stream_continues_on_another_engine(self) -> None:
        broken = FakeAnswer(200, [event(1), event(2)[:5], MayHaveRunError("reset")])
        world = ForwarderHarness(broken, FakeAnswer(200, [event(2), event(3)]))
        call = world.call(RequestKind.STREAMING, resumable=True)
        assert world.run(call) is None
        assert world.caller.body == event(1) + event(2) + event(3)
        assert world.client.sent_headers[1]["Last-Event-Id"] == "1"
        assert len(world.caller.heads) == 1
        assert broken.is_closed
        assert call.usage(4, is_answered=world.caller.is_started) == Usage(112, 112)

    def test_events_that_cannot_be_held_are_passed_on_from_another_engine(self) -> None:
        # Guards against a missing event where the memory for callers is full in mid-stream.
        long_event = b":" + b"x" * (CALLER_MEMORY_BYTES // 3) + b"\n" + event(2)
        broken = FakeAnswer(200, [event(1), long_event])
        world = ForwarderHarness(broken, FakeAnswer(200, [event(2), event(3)]))
        assert world.run(world.call(RequestKind.STREAMING, resumable=True)) is None
        assert world.caller.body == event(1) + event(2) + event(3)

    def test_stream_is_aborted_when_engine_refuses_to_resume(self) -> None:
        broken = FakeAnswer(200, [event(1), MayHaveRunError("reset")])
        world = ForwarderHarness(broken, FakeAnswer(500, [b"no"]))
        assert world.run(world.call(RequestKind.STREAMING, resumable=True)) is None
        assert world.caller.is_aborted
        assert world.caller.body == event(1)

    def test_no_head_is_sent_before_the_first_event(self) -> None:
        world = ForwarderHarness(FakeAnswer(200, [MayHaveRunError("reset")]))
        assert world.run(world.call(RequestKind.STREAMING)) is ErrorKind.OUTCOME_UNKNOWN
        assert not world.caller.is_started


@pytest.mark.parametrize("kind", list(RequestKind))
def test_caller_disconnect_cancels_upstream_request(kind: RequestKind) -> None:
    """Guards against engines that work for disconnected callers.

    A caller disconnects while its request waits at an upstream. The cancelled attempt kept its
    connection, and its tokens stayed reserved.
    """
    world = ForwarderHarness(None)
    call = world.call(kind)

    async def main() -> None:
        with anyio.move_on_after(0.05):
            await world.forwarder.run(call, world.caller)

    anyio.run(main)
    assert not world.caller.is_started
    assert call.usage(4, is_answered=world.caller.is_started) == Usage(100, 0)


class TestUpstreamCrashes:
    def add_known_crash(self, world: ForwarderHarness, number: int, *, known_crashes: int) -> None:
        """Add the crash of another upstream during the same request."""
        digest = world.call(RequestKind.IDEMPOTENT).digest
        key = UpstreamKey(f"gone-{number}", 1)
        world.quarantine.add_crash(
            UpstreamCrash(digest, key, "r0", "other", known_crashes), world.clock.monotonic_s()
        )

    def test_broken_request_with_known_crash_is_not_retried(self) -> None:
        # Guards against a request that crashes two upstreams each time its caller sends it.
        world = ForwarderHarness(ConnectionBrokenError("reset"), FakeAnswer(200, [b"ok"]))
        self.add_known_crash(world, 0, known_crashes=0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.OUTCOME_UNKNOWN
        assert len(world.client.sent_headers) == 1

    def test_broken_request_without_known_crash_is_retried(self) -> None:
        world = ForwarderHarness(ConnectionBrokenError("reset"), FakeAnswer(200, [b"ok"]))
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None

    def test_quarantined_request_is_refused_without_sending(self) -> None:
        world = ForwarderHarness(FakeAnswer(200, [b"ok"]))
        for number in range(CRASH_THRESHOLD):
            self.add_known_crash(world, number, known_crashes=number)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.QUARANTINED
        assert world.client.sent_headers == []

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
    def test_only_complete_success_clears_quarantine(
        self, answer: FakeAnswer, is_cleared: bool
    ) -> None:
        # Guards against failed answers, and crashes that look like a complete answer, that clear
        # the quarantine.
        world = ForwarderHarness(answer)
        self.add_known_crash(world, 0, known_crashes=0)
        world.run(world.call(RequestKind.NON_IDEMPOTENT))
        assert world.quarantine.is_empty is is_cleared

    def test_answer_that_ends_with_its_connection_is_checked_for_a_crash(self) -> None:
        # Guards against crashes that end an answer without a length, so that it looks whole.
        answer = FakeAnswer(200, [b"half"], ends_with_connection=True)
        world = ForwarderHarness(answer)
        world.run(world.call(RequestKind.NON_IDEMPOTENT))
        world.crash_detector.note_process_ended(world.last_upstream())
        assert not world.quarantine.is_empty

    def test_stream_without_length_that_ends_before_an_event_has_broken_off(self) -> None:
        # Guards against a crash before the first event that looks like an empty stream.
        world = ForwarderHarness(
            FakeAnswer(200, [], ends_with_connection=True), FakeAnswer(200, [event(1)])
        )
        assert world.run(world.call(RequestKind.STREAMING, resumable=True)) is None
        assert world.caller.body == event(1)

    def test_running_answer_clears_the_parts_of_its_prompt(self) -> None:
        # Guards against blaming a part on which the upstream has been writing for long.
        def wait() -> bytes:
            world.clock.advance_s += 2.0
            return event(2)

        world = ForwarderHarness(
            FakeAnswer(200, [event(1), wait, ConnectionBrokenError("reset")]),
            clock=SkippingClock(),
        )
        world.run(world.call(RequestKind.STREAMING))
        world.crash_detector.note_process_ended(world.last_upstream())
        crashes = world.quarantine.all_crashes()
        assert crashes
        assert not any(is_part(crash.suspect_id) for crash in crashes)
        part = part_suspect("p").suspect_id
        assert world.quarantine.survivals.latest_s(part) > 0.0

    def test_broken_request_with_a_suspected_part_is_not_retried(self) -> None:
        # Guards against a request whose prompt crashes two upstreams each time it is sent.
        world = ForwarderHarness(ConnectionBrokenError("reset"), FakeAnswer(200, [b"ok"]))
        crash = UpstreamCrash(
            part_suspect("p").suspect_id, UpstreamKey("gone", 1), "r0", "other", 0
        )
        world.quarantine.add_crash(crash, world.clock.monotonic_s())
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is ErrorKind.OUTCOME_UNKNOWN
        assert len(world.client.sent_headers) == 1


class TestSoftwareVersions:
    @staticmethod
    def register_versions(world: ForwarderHarness, versions: Sequence[str]) -> None:
        for number, version in enumerate(versions):
            upstream = RegisteredUpstream(
                f"i-{number}", "llm", f"e{number}:1", _LOCAL_DATA_CENTRE, 8, False, version=version
            )
            world.directory.apply(upstream)

    @staticmethod
    def sent_versions(world: ForwarderHarness) -> list[str]:
        ids = [headers["X-Expected-Instance"] for headers in world.client.sent_headers]
        return [world.directory.upstreams[upstream_id].version for upstream_id in ids]

    @pytest.mark.parametrize(
        "versions", [("v1", "v1", "v2"), ("v1", "v2", "v1"), ("v2", "v1", "v1")]
    )
    def test_broken_stream_is_continued_at_its_version(self, versions: tuple[str, ...]) -> None:
        # Guards against a stream that holds events of two software versions.
        world = ForwarderHarness(
            FakeAnswer(200, [event(1), MayHaveRunError("broke off")]),
            FakeAnswer(200, [event(2)]),
        )
        self.register_versions(world, versions)
        world.run(world.call(RequestKind.STREAMING, resumable=True))
        assert len(set(self.sent_versions(world))) == 1

    def test_stream_breaks_off_at_once_without_another_upstream_of_its_version(self) -> None:
        # Guards against a broken stream that another version ends, or that waits for its deadline.
        world = ForwarderHarness(
            FakeAnswer(200, [event(1), MayHaveRunError("broke off")]),
            FakeAnswer(200, [event(2)]),
        )
        self.register_versions(world, ("v1", "v2", "v3"))
        world.run(world.call(RequestKind.STREAMING, resumable=True, timeout_s=60.0))
        assert len(world.client.sent_headers) == 1
        assert world.caller.is_aborted
        assert not world.caller.is_finished

    def test_attempt_without_an_event_binds_the_stream_to_no_version(self) -> None:
        # Guards against requests that fail though only an unfinished event came of one version.
        world = ForwarderHarness(
            FakeAnswer(200, [b"id: 1\ndata: wo", MayHaveRunError("broke off")]),
            FakeAnswer(200, [event(1)]),
        )
        self.register_versions(world, ("v1", "v2", "v3"))
        assert world.run(world.call(RequestKind.STREAMING, resumable=True)) is None
        assert world.caller.is_finished
        assert world.caller.body == event(1)


class TestEvacuatedDataCentres:
    def test_request_is_refused_at_once_if_all_upstreams_are_evacuated(self) -> None:
        # Guards against a request that waits until its deadline for an upstream that may not run.
        world = ForwarderHarness(FakeAnswer(200, [b"ok"]))
        world.evacuations.apply(EvacuationState(_LOCAL_DATA_CENTRE, True, 1), 0.0)
        call = world.call(RequestKind.IDEMPOTENT)
        with pytest.raises(RefusedError, match="3 evacuated"):
            world.forwarder.admit(call)
        assert world.run(call) is ErrorKind.NO_UPSTREAM
        assert call.attempts_summary.endswith("excluded: 3 evacuated")
        assert world.client.sent_headers == []

    def test_retry_and_resumption_leave_out_an_evacuated_data_centre(self) -> None:
        # Guards against a request between two attempts that still knows the upstreams of before.
        def evacuate_and_pass() -> bytes:
            state = EvacuationState(_LOCAL_DATA_CENTRE, True, 1)
            world.evacuations.apply(state, world.clock.monotonic_s())
            return event(1)

        world = ForwarderHarness(
            FakeAnswer(200, [evacuate_and_pass, MayHaveRunError("broke off")]),
            FakeAnswer(200, [event(2)]),
        )
        remote = DataCentre("sto-b")
        world.directory.apply(RegisteredUpstream("r-1", "llm", "r1:1", remote, 8, False))
        assert world.run(world.call(RequestKind.STREAMING, resumable=True)) is None
        sent = [headers["X-Expected-Instance"] for headers in world.client.sent_headers]
        assert sent[0] != "r-1"
        assert sent[1] == "r-1"

    def test_request_leaves_out_upstreams_outside_of_its_regions(self) -> None:
        world = ForwarderHarness(FakeAnswer(200, [b"ok"]))
        call = world.call(RequestKind.IDEMPOTENT)
        call.permitted_regions = frozenset({Region("fi-south")})
        assert world.run(call) is ErrorKind.NO_UPSTREAM
        assert world.client.sent_headers == []


class TestRelays:
    @pytest.mark.parametrize("reached", ["i-0", "i-1", "i-2"])
    def test_relayed_attempt_names_an_upstream_that_the_peer_reaches(self, reached: str) -> None:
        """Guards against relayed attempts at upstreams that the peer cannot reach either."""
        unreachable_ids = frozenset({"i-0", "i-1", "i-2"} - {reached})
        offer = RelayOffer("10.0.0.2:2", {"llm": 0.0}, unreachable_ids)
        member = Member(Peer("b", "1", "b:1"), _LOCAL_DATA_CENTRE)
        named: list[str] = []

        def answer(upstream: RegisteredUpstream) -> FakeAnswer:
            named.append(upstream.upstream_id)
            return FakeAnswer(200, [b"ok"])

        relays = OnePeerRelays(RelayPeer(member, offer, 0.0), answer)
        world = ForwarderHarness(relays=relays)
        for upstream in world.directory.upstreams.values():
            world.probes.reachability.note_unreachable(upstream, 0.0)
        assert world.run(world.call(RequestKind.IDEMPOTENT)) is None
        assert named == [reached]
