"""Forwards requests to upstreams, with retries and resumption of streams."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import TYPE_CHECKING

import anyio

from ..core.admission import Admission, come_back_s
from ..core.patience import Patience
from ..core.placement import session_of
from ..core.retry_budget import RetryBudget
from ..core.routes import RequestKind
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit
from .call import WholeAnswer
from .headers import ForwardFields
from .upstream_client import (
    ConnectionBrokenError,
    MayHaveRunError,
    MisdirectedError,
    NotRunError,
    RefusedByUpstreamError,
    UpstreamAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..clock import Clock
    from ..core.placement import Placed, Placement
    from ..core.retry_budget import RetryBudgetSettings, RetryDecision
    from ..core.stall_watch import StallWatch
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
    from .call import Call, CallerConnection
    from .crash_guard import CrashGuard
    from .headers import HeaderTranslator
    from .metrics import GatewayMetrics
    from .upstream_client import UpstreamClient

#: Maximum refusals by upstreams per request; more attempts only add load to full upstreams.
_MOST_REFUSALS = 3

#: Maximum unreachable upstreams per request before it is refused. Each costs a timeout of 0.2 s,
#: and after a second the caller has better chances at another instance.
_MOST_UNCONNECTED = 4

#: Seconds between two checks whether a waiting request may be sent to another upstream.
_ELSEWHERE_LOOK_S = 0.1

#: Server errors of upstreams start here.
_SERVER_ERROR = 500
_OK = 200

#: Retry-After when all upstreams are full: a slot becomes free within a request's usual duration.
_FULL_COME_BACK_S = 0.5


#: An upstream's deadline is earlier than the caller's by this margin, so that the upstream can
#: still report that a request from its queue did not run. With the same deadline the caller would
#: get a 504 and the prompt's tokens would stay uncertain.
_VERDICT_S = 0.05

#: A request is not sent again with less remaining time than this.
_LEAST_TRY_S = 0.1


class _Retry(Exception):  # noqa: N818 - control flow, not an error
    """The attempt failed, and another upstream may be tried."""


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
        stalls: StallWatch,
        guard: CrashGuard,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._guard = guard
        self._client = client
        self._translator = translator
        self._placement = placement
        self._directory = directory
        self._retry_settings = retries
        self._sharers = sharers
        self._stalls = stalls
        self._clock = clock
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}
        self._patience = Patience()
        self._admissions: defaultdict[str, Admission] = defaultdict(Admission)

    def admit(self, call: Call) -> None:
        """Count a request for the retry budget, and refuse it if its service is overloaded.

        Raises
        ------
        RefusedError
            If the request would only delay all others. It has not run and may be retried later.
        """
        self._budget(call.service).request(self._stalls.sent_since_s(call.arrived_s))
        share = self._admissions[call.service].share(call.priority, self._clock.monotonic_s())
        if random.random() >= share:
            detail = f"{call.service}: slow, {share:.2f} of such requests are taken on"
            refusal = Refusal(ErrorKind.OVERLOADED, detail, retry_after_s=come_back_s())
            raise RefusedError(refusal)

    async def run(self, call: Call, caller: CallerConnection) -> None:
        """Forward a request and pass its answer on.

        Raises
        ------
        RefusedError
            If the request failed before any part of an answer was sent.
        """
        try:
            with anyio.fail_after(max(0.0, self._remaining_s(call))):
                await self._try_upstreams(call, caller)
        except TimeoutError:
            if caller.started:
                self._break_off(call, caller, "timeout")
                return
            kind = ErrorKind.TIMED_OUT if call.sent else ErrorKind.OVERLOADED
            raise RefusedError(Refusal(kind, call.attempts_told)) from None

    async def _try_upstreams(self, call: Call, caller: CallerConnection) -> None:
        while True:
            upstream = self._choose(call)
            if upstream is None or self._guard.holds(call):
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
        if not self._guard.allows_retry(call):
            return False
        if self._remaining_s(call) < _LEAST_TRY_S:
            return False
        if call.sent and not call.route.may_run_twice:
            return False
        if not call.sent and not call.refusals:
            # No upstream has received the request, so the next attempt is not a retry for them.
            # If it were charged, a network partition would use up this instance's share of the
            # retry budget within a second.
            return len(call.tried) <= _MOST_UNCONNECTED
        if call.has_retry:
            call.has_retry = False
            return True
        decision = self._take_retry(call)
        if not decision.is_granted:
            self._note_retry(Event.RETRY_DENIED, call, decision)
        return decision.is_granted

    def _remaining_s(self, call: Call) -> float:
        return call.deadline_s - self._clock.monotonic_s()

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._retry_settings)
        return self._budgets[service]

    async def _give_up(self, call: Call, caller: CallerConnection) -> None:
        """Answer a request that is not retried: with an upstream's own failure, or a refusal."""
        if caller.started:
            self._break_off(call, caller, "no upstream left")
        elif call.failed_answer is not None:
            answer = call.failed_answer
            await caller.send_whole(answer.status, answer.reason, answer.headers, answer.body)
        elif call.sent:
            raise RefusedError(Refusal(ErrorKind.OUTCOME_UNKNOWN, call.attempts_told))
        elif self._guard.holds(call):
            raise RefusedError(self._guard.refusal(call))
        elif call.refusals:
            told = call.attempts_told
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
            If the attempt failed; its outcome is recorded in `call`.
        """
        call.tried.add(upstream.upstream_id)
        call.upstream_id = upstream.upstream_id
        call.registrations_age_s = self._directory.age_s(self._clock.monotonic_s())
        placed = self._placement.started(upstream, call.fields.prompt, self._clock.monotonic_s())
        answer: UpstreamAnswer | None = None
        self._guard.began(call)
        call.attempt_began_s = self._clock.monotonic_s()
        # Counted before sending, since an attempt that is cancelled later may have run.
        call.sent += 1
        try:
            answer = await self._send(call, upstream)
            await self._pass_on(call, answer, placed, caller)
            self._placement.succeeded(upstream)
            self._guard.answered(call, answer)
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
        """Apply a failure to the upstream's state; return for how long it is avoided."""
        now_s = self._clock.monotonic_s()
        self._guard.failed(call, upstream, error)
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
                remaining_s=max(_VERDICT_S, self._remaining_s(call) - _VERDICT_S),
                priority=call.priority,
                last_event_id=call.progress.last_event_id or call.fields.last_event_id,
            ),
        )
        sending = self._client.send(upstream, call.request, headers)
        is_last = call.sent >= call.route.attempts or call.trial is not None
        if not call.route.may_run_twice or is_last:
            return await self._timed(call, sending)
        return await self._patiently(call, sending)

    async def _patiently(self, call: Call, sending: Awaitable[UpstreamAnswer]) -> UpstreamAnswer:
        """Wait for an answer's head, or until it is late and another upstream can be tried.

        In a burst the upstreams are slow and the retry budget is used up. A request that left its
        upstream's queue then could not be sent to another one, and would fail though it would have
        been answered.
        """
        patience_s = self._patience.of(call.service, call.route.objective_s)
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
                with anyio.move_on_after(patience_s):
                    await over.wait()
                while result is None and not self._may_go_elsewhere(call):
                    with anyio.move_on_after(_ELSEWHERE_LOOK_S):
                        await over.wait()
                tasks.cancel_scope.cancel()
        except BaseException:
            # The caller disconnected when the answer arrived, and nothing else would close it.
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
        """Acquire a retry for a request that waits at an upstream; return whether that succeeded.

        The retry is acquired before the request leaves its upstream, since all waiting requests
        compete for the same few retries.
        """
        # Called ten times a second per waiting request, so no upstream is chosen here.
        upstreams = self._directory.of_service(call.service)
        if all(upstream.upstream_id in call.tried for upstream in upstreams):
            return False
        # Denials are not logged here: each waiting request would log ten of them a second.
        call.has_retry = self._take_retry(call).is_granted
        return call.has_retry

    def _take_retry(self, call: Call) -> RetryDecision:
        now_s = self._clock.monotonic_s()
        decision = self._budget(call.service).take(now_s, sharers=self._sharers())
        if decision.is_granted:
            self._note_retry(Event.RETRY_GRANTED, call, decision)
        return decision

    def _note_retry(self, event: Event, call: Call, decision: RetryDecision) -> None:
        self._metrics.counts[event.name.lower()] += 1
        emit(
            event,
            request=call.fields.request_id,
            service=call.service,
            taken=decision.taken,
            allowed=round(decision.allowed, 2),
            requests=decision.requests,
            sharers=decision.sharers,
        )

    async def _timed(self, call: Call, sending: Awaitable[UpstreamAnswer]) -> UpstreamAnswer:
        """Return an answer's head, and record its response time for the adaptive timeout."""
        began_s = self._clock.monotonic_s()
        answer = await sending
        took_s = self._clock.monotonic_s() - began_s
        self._patience.answered(call.service, took_s)
        return answer

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
        self._note_begin(call)
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
            raise ConnectionBrokenError("ended in the middle of an event")
        if not caller.started:
            await self._start_stream(call, answer, caller)
        await caller.finish()

    async def _start_stream(
        self, call: Call, answer: UpstreamAnswer, caller: CallerConnection
    ) -> None:
        """Send the head with the first event; until then another upstream can be tried."""
        call.started_after_s = self._clock.monotonic_s() - call.arrived_s
        self._note_begin(call)
        self._metrics.record_first_event(call.started_after_s)
        await caller.start(answer.status, answer.reason, self._translator.to_caller(answer.headers))

    def _note_begin(self, call: Call) -> None:
        """Record the response time of the answering upstream for admission."""
        now_s = self._clock.monotonic_s()
        took_s = now_s - call.attempt_began_s
        self._admissions[call.service].answered(took_s, call.route.objective_s, now_s)

    def _note_failure(
        self, call: Call, upstream: RegisteredUpstream, error: Exception, pause_s: float
    ) -> None:
        self._metrics.counts[f"attempt_{type(error).__name__}"] += 1
        emit(
            Event.ATTEMPT_FAILED,
            request=call.fields.request_id,
            digest=call.digest if isinstance(error, ConnectionBrokenError) else None,
            upstream=upstream.upstream_id,
            error=str(error),
            sent=call.sent,
            events=call.progress.events,
            elapsed_s=round(self._clock.monotonic_s() - call.arrived_s, 3),
            left_alone_s=pause_s,
        )
