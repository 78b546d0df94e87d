"""Forwards one request: attempts at upstreams, resumption of streams, one answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..core.event_stream import StreamProgress
from ..core.placement import session_of
from ..core.retry_budget import RetryBudget
from ..core.routes import RequestKind
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit
from .headers import ForwardFields
from .upstream_client import (
    MayHaveRunError,
    MisdirectedError,
    NotRunError,
    OutgoingRequest,
    RefusedByUpstreamError,
    UpstreamAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..clock import Clock
    from ..core.placement import Placed, Placement
    from ..core.retry_budget import RetryBudgetSettings
    from ..core.routes import Route
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
    from .headers import CallerFields, HeaderTranslator, RawHeaders
    from .metrics import GatewayMetrics
    from .upstream_client import UpstreamClient

#: Refusals by upstreams that one request may meet; more only add load where there is no room.
_MOST_REFUSALS = 3

#: Upstreams that one request may find unreachable before it is refused; each costs it a timeout of
#: 0.2 s, and whoever is refused after a second does better at another instance.
_MOST_UNCONNECTED = 4

#: After this many objectives without a sign of an answer, another upstream is tried where the
#: request may run twice. An upstream that is merely busy answers before; one that hangs never.
_PATIENCE_OBJECTIVES = 1.6
_LEAST_PATIENCE_S = 0.25

#: The same in mean times to an answer's head: where all upstreams are slow, leaving one for the
#: next only reads the prompt once more.
_PATIENCE_MEANS = 3.0

#: Seconds between two looks at whether another upstream may be tried meanwhile.
_ELSEWHERE_LOOK_S = 0.1

#: Longest patience; callers abandon a stream after two seconds without an event.
_MOST_PATIENCE_S = 1.5

#: Weight of the latest answer in the mean time to an answer's head.
_LATEST_WEIGHT = 0.05

#: Server errors of upstreams start here.
_SERVER_ERROR = 500
_OK = 200

#: When all upstreams are full, some slot frees within a request's usual duration.
_FULL_COME_BACK_S = 0.5


class CallerConnection(ABC):
    """Where an answer goes."""

    started = False

    @abstractmethod
    async def start(self, status: int, reason: str, headers: RawHeaders) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""

    @abstractmethod
    async def finish(self) -> None:
        """End a streamed answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """End a streamed answer so that it does not look complete."""

    @abstractmethod
    async def send_whole(self, status: int, reason: str, headers: RawHeaders, body: bytes) -> None:
        """Send an answer in one piece."""


@dataclass(slots=True)
class Call:
    """A caller's request on its way.

    Parameters
    ----------
    deadline_s
        On the monotonic clock: when caller or route gives up.
    sent
        Attempts that reached an upstream or may have.
    reserved_after_s, started_after_s
        From the arrival until its tokens were set aside, and until its answer began.
    upstream_id, registrations_age_s
        Where it was sent last, and how old what was known of the upstreams was then; None if the
        store had never been heard.
    """

    fields: CallerFields
    headers: RawHeaders
    route: Route
    service: str
    workspace: str
    priority: int
    request: OutgoingRequest
    arrived_s: float
    deadline_s: float
    sent: int = 0
    refusals: int = 0
    tried: set[str] = field(default_factory=set)
    progress: StreamProgress = field(default_factory=StreamProgress)
    failed_answer: WholeAnswer | None = None
    reserved_after_s: float = 0.0
    started_after_s: float = 0.0
    upstream_id: str = ""
    registrations_age_s: float | None = None

    def used_tokens(self, event_tokens: int) -> int:
        """Return what the request consumed: its prompt once, and the output passed on."""
        if not self.sent:
            return 0
        return self.fields.prompt.input_tokens + self.progress.events * event_tokens


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An upstream's answer that was read to its end."""

    status: int
    reason: str
    headers: RawHeaders
    body: bytes


class _Retry(Exception):  # noqa: N818 - control flow, not an error
    """The attempt failed in a way after which another upstream may be tried."""


class Forwarder:
    """Forwards requests to the upstreams of their service."""

    def __init__(
        self,
        client: UpstreamClient,
        translator: HeaderTranslator,
        placement: Placement,
        directory: UpstreamDirectory,
        retries: RetryBudgetSettings,
        sharers: Callable[[], int],
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._client = client
        self._translator = translator
        self._placement = placement
        self._directory = directory
        self._retry_settings = retries
        self._sharers = sharers
        self._clock = clock
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}
        self._head_s: dict[str, float] = {}

    async def run(self, call: Call, caller: CallerConnection) -> None:
        """Forward a request and pass its answer on.

        Raises
        ------
        RefusedError
            Only while nothing of an answer was sent.
        """
        self._budget(call.service).request(call.arrived_s)
        try:
            with anyio.fail_after(max(0.0, call.deadline_s - self._clock.monotonic_s())):
                await self._try_upstreams(call, caller)
        except TimeoutError:
            if caller.started:
                self._break_off(call, caller, "timeout")
                return
            kind = ErrorKind.TIMED_OUT if call.sent else ErrorKind.OVERLOADED
            raise RefusedError(Refusal(kind, _attempts_told(call))) from None

    async def _try_upstreams(self, call: Call, caller: CallerConnection) -> None:
        while True:
            upstream = self._choose(call)
            if upstream is None:
                await self._give_up(call, caller)
                return
            try:
                await self._attempt(call, upstream, caller)
                return
            except _Retry:
                if not self._may_retry(call):
                    await self._give_up(call, caller)
                    return

    def _choose(self, call: Call) -> RegisteredUpstream | None:
        return self._placement.choose(
            self._directory.of_service(call.service),
            call.fields.prompt,
            session_of(call.fields.prompt, call.fields.request_id),
            tried=frozenset(call.tried),
            now_s=self._clock.monotonic_s(),
        )

    def _may_retry(self, call: Call) -> bool:
        if call.sent >= call.route.attempts or call.refusals >= _MOST_REFUSALS:
            return False
        if call.sent and not call.route.may_run_twice:
            return False
        if not call.sent and not call.refusals:
            # Nothing has arrived anywhere, so the next try is no retry to the service's upstreams.
            # Taken from the retry budget, a cut would use up this instance's share within a second.
            return len(call.tried) <= _MOST_UNCONNECTED
        now_s = self._clock.monotonic_s()
        return self._budget(call.service).take(now_s, sharers=self._sharers())

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._retry_settings)
        return self._budgets[service]

    async def _give_up(self, call: Call, caller: CallerConnection) -> None:
        """Answer with the best that is true: an upstream's own failure, or a refusal."""
        if caller.started:
            self._break_off(call, caller, "no upstream left")
        elif call.failed_answer is not None:
            answer = call.failed_answer
            await caller.send_whole(answer.status, answer.reason, answer.headers, answer.body)
        elif call.sent:
            raise RefusedError(Refusal(ErrorKind.OUTCOME_UNKNOWN, _attempts_told(call)))
        elif call.refusals:
            told = _attempts_told(call)
            raise RefusedError(Refusal(ErrorKind.OVERLOADED, told, retry_after_s=_FULL_COME_BACK_S))
        else:
            refusal = Refusal(ErrorKind.NO_UPSTREAM, call.service, retry_after_s=_FULL_COME_BACK_S)
            raise RefusedError(refusal)

    def _break_off(self, call: Call, caller: CallerConnection, reason: str) -> None:
        caller.abort()
        self._metrics.counts["broken_off"] += 1
        emit(
            Event.ANSWER_BROKEN,
            request=call.fields.request_id,
            reason=reason,
            events=call.progress.events,
            last_event_id=call.progress.last_event_id,
        )

    async def _attempt(
        self, call: Call, upstream: RegisteredUpstream, caller: CallerConnection
    ) -> None:
        """Send the request to one upstream and pass its answer on.

        Raises
        ------
        _Retry
            If it failed, and what is known of it stands in `call`.
        """
        call.tried.add(upstream.upstream_id)
        call.upstream_id = upstream.upstream_id
        call.registrations_age_s = self._directory.age_s(self._clock.monotonic_s())
        placed = self._placement.started(upstream, call.fields.prompt, self._clock.monotonic_s())
        answer: UpstreamAnswer | None = None
        # Counted first: once the request is on its way, a cancelled attempt may have run too.
        call.sent += 1
        try:
            answer = await self._send(call, upstream)
            await self._pass_on(call, answer, placed, caller)
            self._placement.succeeded(upstream)
        except (NotRunError, MayHaveRunError) as error:
            if isinstance(error, NotRunError):
                call.sent -= 1
            pause_s = self._judge(call, upstream, error)
            self._note_failure(call, upstream, error, pause_s)
            raise _Retry from error
        finally:
            self._placement.ended(placed)
            if answer is not None:
                answer.close()

    def _judge(self, call: Call, upstream: RegisteredUpstream, error: Exception) -> float:
        """Take what a failure says of its upstream; return for how long it is left alone."""
        now_s = self._clock.monotonic_s()
        if isinstance(error, MisdirectedError):
            call.refusals += 1
            self._directory.ended(upstream)
            return 0.0
        if isinstance(error, RefusedByUpstreamError):
            call.refusals += 1
            self._placement.full(upstream, now_s)
            return 0.0
        return self._placement.failed(upstream, now_s)

    async def _send(self, call: Call, upstream: RegisteredUpstream) -> UpstreamAnswer:
        headers = self._translator.to_upstream(
            call.headers,
            ForwardFields(
                upstream_id=upstream.upstream_id,
                workspace=call.workspace,
                remaining_s=call.deadline_s - self._clock.monotonic_s(),
                priority=call.priority,
                last_event_id=call.progress.last_event_id or call.fields.last_event_id,
            ),
        )
        sending = self._client.send(upstream, call.request, headers)
        if not call.route.may_run_twice or call.sent >= call.route.attempts:
            return await self._timed(call, sending)
        return await self._patiently(call, sending)

    async def _patiently(self, call: Call, sending: Awaitable[UpstreamAnswer]) -> UpstreamAnswer:
        """Wait for an answer's head until it is better to go elsewhere, as long as that can be.

        In a burst the upstreams are slow and the retries used up. A request that was taken from its
        upstream's queue then had nowhere to go, and failed though it would have been answered: 110
        of 3,139 requests on a day with a burst of 2.2 times the load and two in five engines down.
        """
        result: UpstreamAnswer | Exception | None = None
        over = anyio.Event()

        async def send() -> None:
            nonlocal result
            try:
                result = await self._timed(call, sending)
            except (NotRunError, MayHaveRunError) as error:
                result = error
            over.set()

        began_s = self._clock.monotonic_s()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                with anyio.move_on_after(self._patience_s(call)):
                    await over.wait()
                while result is None and not self._may_go_elsewhere(call):
                    with anyio.move_on_after(_ELSEWHERE_LOOK_S):
                        await over.wait()
                tasks.cancel_scope.cancel()
        except BaseException:
            # The caller left as the answer came: nobody else would end it at its upstream.
            if isinstance(result, UpstreamAnswer):
                result.close()
            raise
        if result is None:
            waited_s = self._clock.monotonic_s() - began_s
            raise MayHaveRunError(f"no answer in {waited_s:.2f} s")
        if isinstance(result, Exception):
            raise result
        return result

    def _may_go_elsewhere(self, call: Call) -> bool:
        """Return whether a request that waits at an upstream could be sent to another one now."""
        has_retry = self._budget(call.service).has(
            self._clock.monotonic_s(), sharers=self._sharers()
        )
        return has_retry and self._choose(call) is not None

    async def _timed(self, call: Call, sending: Awaitable[UpstreamAnswer]) -> UpstreamAnswer:
        """Return an answer's head, and remember how long it took."""
        began_s = self._clock.monotonic_s()
        answer = await sending
        took_s = self._clock.monotonic_s() - began_s
        mean_s = self._head_s.get(call.service, took_s)
        self._head_s[call.service] = mean_s + _LATEST_WEIGHT * (took_s - mean_s)
        return answer

    def _patience_s(self, call: Call) -> float:
        """Return how long to wait for an answer's head where another upstream may be tried."""
        by_objective_s = _PATIENCE_OBJECTIVES * call.route.objective_s
        by_mean_s = _PATIENCE_MEANS * self._head_s.get(call.service, 0.0)
        return min(_MOST_PATIENCE_S, max(_LEAST_PATIENCE_S, by_objective_s, by_mean_s))

    async def _pass_on(
        self, call: Call, answer: UpstreamAnswer, placed: Placed, caller: CallerConnection
    ) -> None:
        if call.route.kind is RequestKind.STREAMING and answer.status == _OK:
            await self._pass_stream(call, answer, placed, caller)
            return
        body = await answer.read_all()
        headers = self._translator.to_caller(answer.headers)
        whole = WholeAnswer(answer.status, answer.reason, headers, body)
        if caller.started:
            raise MayHaveRunError(f"would not resume: status {answer.status}")
        if answer.status >= _SERVER_ERROR and call.route.may_run_twice:
            call.failed_answer = whole
            raise MayHaveRunError(f"status {answer.status}")
        await caller.send_whole(whole.status, whole.reason, whole.headers, whole.body)

    async def _pass_stream(
        self, call: Call, answer: UpstreamAnswer, placed: Placed, caller: CallerConnection
    ) -> None:
        call.progress.restart()
        while piece := await answer.read_piece():
            self._placement.read(placed)
            passed = call.progress.take(piece)
            if not passed:
                continue
            if not caller.started:
                await self._start_stream(call, answer, caller)
            await caller.write(passed)
        if not call.progress.splitter.is_between_events:
            raise MayHaveRunError("ended in the middle of an event")
        if not caller.started:
            await self._start_stream(call, answer, caller)
        await caller.finish()

    async def _start_stream(
        self, call: Call, answer: UpstreamAnswer, caller: CallerConnection
    ) -> None:
        """Send the head along with the first event: before it, another upstream can still be."""
        call.started_after_s = self._clock.monotonic_s() - call.arrived_s
        self._metrics.record_first_event(call.started_after_s)
        await caller.start(answer.status, answer.reason, self._translator.to_caller(answer.headers))

    def _note_failure(
        self, call: Call, upstream: RegisteredUpstream, error: Exception, pause_s: float
    ) -> None:
        self._metrics.counts[f"attempt_{type(error).__name__}"] += 1
        emit(
            Event.ATTEMPT_FAILED,
            request=call.fields.request_id,
            upstream=upstream.upstream_id,
            error=str(error),
            sent=call.sent,
            events=call.progress.events,
            elapsed_s=round(self._clock.monotonic_s() - call.arrived_s, 3),
            left_alone_s=pause_s,
        )


def _attempts_told(call: Call) -> str:
    """Return what became of a request's attempts, for its refusal's log line."""
    return f"{call.service}: {len(call.tried)} tried, {call.sent} sent, {call.refusals} refused"
