"""Forwards requests to upstreams, with retries and resumption of streams."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio

from ..core.adaptive_timeout import AdaptiveTimeout
from ..core.admission import Admission, random_retry_after_s
from ..core.event_stream import EventTooLongError, ForeignEventError
from ..core.pace import StreamGaps
from ..core.placement import session_key
from ..core.retry_budget import RetryBudget
from ..core.routes import RequestKind
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit, rounded
from .answer_bodies import AnswerBodies
from .call import CompleteAnswer
from .headers import ForwardFields
from .relay_client import RelayUnavailableError
from .upstream_client import (
    AnswerTooLongError,
    ConnectionBrokenError,
    MayHaveRunError,
    MisdirectedError,
    NotConnectedError,
    NotRunError,
    RefusedByUpstreamError,
    UpstreamAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..clock import Clock
    from ..core.caller_memory import CallerMemory
    from ..core.eligibility import Eligibility, EligibleUpstreams
    from ..core.placement import PlacedRequest, Placement
    from ..core.relaying import RelayPeer
    from ..core.retry_budget import RetryBudgetSettings, RetryDecision
    from ..core.stall_detector import StallDetector
    from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
    from ..types import DataCentre
    from .answer_bodies import HeldStream
    from .call import Call, CallerConnection
    from .headers import HeaderTranslator
    from .metrics import GatewayMetrics
    from .prefill_scheduling import PrefillScheduling
    from .quarantine.guard import CrashGuard
    from .reachability_probes import ReachabilityProbes
    from .redirects import Redirects
    from .relays import Relays
    from .resumptions import Resumptions
    from .upstream_client import UpstreamClient

#: Maximum refusals by upstreams per request; more attempts only add load to full upstreams.
_MAX_REFUSALS = 3

#: Maximum attempts per request that reach no upstream before it is refused. Each costs a timeout of
#: 0.2 s, and after a second the caller has better chances at another instance.
_MAX_UNCONNECTED = 4

#: Attempts per request that reach no upstream before a peer is asked to relay it.
_MAX_UNCONNECTED_BEFORE_RELAY = 2

#: Seconds between two checks whether a waiting request may be sent to another upstream.
_RETRY_POLL_INTERVAL_S = 0.1

#: Server errors of upstreams start here.
_SERVER_ERROR = 500
_OK = 200

#: Retry-After when all upstreams are full: a slot becomes free within a request's usual duration.
_FULL_RETRY_AFTER_S = 0.5


#: Maximum Retry-After while upstreams are at their rate limits: these may end at any time.
_MAX_RATE_LIMIT_RETRY_S = 2.0

#: An upstream's deadline is earlier than the caller's by this margin, so that the upstream can
#: still report that a request from its queue did not run. With the same deadline the caller would
#: get a 504 and the prompt's tokens would stay uncertain.
_DEADLINE_MARGIN_S = 0.05

#: Headers of the packets and of the chunk that carry one event.
_EVENT_OVERHEAD_BYTES = 80

#: A request is not sent again with less remaining time than this.
_MIN_ATTEMPT_S = 0.1


class _Retry(Exception):  # noqa: N818 - control flow, not an error
    """The attempt failed, and another upstream may be tried."""


@dataclass(frozen=True, slots=True)
class _Hop:
    """Upstream of an attempt, and the peer that relays to it; None for a direct attempt."""

    upstream: RegisteredUpstream
    relay: RelayPeer | None = None


def no_upstream_refusal(detail: str, rate_limit_retry_s: float | None) -> Refusal:
    """Return the refusal of a request that no upstream can get.

    Parameters
    ----------
    rate_limit_retry_s
        Time between two requests that rate limits permit, if some upstreams are at theirs.
    """
    if rate_limit_retry_s is None:
        return Refusal(ErrorKind.NO_UPSTREAM, detail, retry_after_s=_FULL_RETRY_AFTER_S)
    retry_after_s = min(_MAX_RATE_LIMIT_RETRY_S, rate_limit_retry_s)
    return Refusal(ErrorKind.OVERLOADED, detail, retry_after_s=retry_after_s)


class Forwarder:
    """Forwards requests to the upstreams of their service."""

    def __init__(
        self,
        client: UpstreamClient,
        translator: HeaderTranslator,
        placement: Placement,
        eligibility: Eligibility,
        retries: RetryBudgetSettings,
        sharers: Callable[[], int],
        stall_detector: StallDetector,
        guard: CrashGuard,
        probes: ReachabilityProbes,
        relays: Relays,
        resumptions: Resumptions,
        redirects: Redirects,
        prefills: PrefillScheduling,
        memory: CallerMemory,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._resumptions = resumptions
        self._redirects = redirects
        self._prefills = prefills
        self._guard = guard
        self._probes = probes
        self._reachability = probes.reachability
        self._relays = relays
        self._client = client
        self._translator = translator
        self._placement = placement
        self._eligibility = eligibility
        self._directory: UpstreamDirectory = eligibility.directory
        self._retry_settings = retries
        self._sharers = sharers
        self._stall_detector = stall_detector
        self._clock = clock
        self._metrics = metrics
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._adaptive_timeout = AdaptiveTimeout()
        self._bodies = AnswerBodies(memory)
        self._admissions: defaultdict[str, Admission] = defaultdict(Admission)

    def admit(self, call: Call) -> None:
        """Count a request for the retry budget, and refuse it if it cannot be served now.

        Raises
        ------
        RefusedError
            If no upstream is eligible, or the service is overloaded, so that the request would only
            delay all others. It has not run and may be retried later.
        """
        self._retry_budget(call.service.name).add_request(
            self._stall_detector.earliest_send_s(call.arrived_s)
        )
        eligible = self._eligible(call)
        if not eligible.upstreams:
            raise RefusedError(self._no_upstream(call))
        if self._is_out_of_reach(call, eligible.upstreams):
            raise RefusedError(self._no_upstream(call))
        share = self._admissions[call.service.name].admitted_share(
            call.priority, self._clock.monotonic_s()
        )
        if random.random() >= share:
            detail = f"{call.service.name}: slow, {share:.2f} of such requests are taken on"
            refusal = Refusal(ErrorKind.OVERLOADED, detail, retry_after_s=random_retry_after_s())
            raise RefusedError(refusal)

    def peek_admitted_share(self, service: str, priority: int) -> float:
        """Return the share of a service's requests that is admitted now; nothing is recorded."""
        admission = self._admissions.get(service)
        if admission is None:
            return 1.0
        return admission.peek_admitted_share(priority, self._clock.monotonic_s())

    async def run(self, call: Call, caller: CallerConnection) -> None:
        """Forward a request and pass its answer on.

        Raises
        ------
        RefusedError
            If the request failed before any part of an answer was sent.
        """
        remaining_s = self._remaining_s(call)
        if remaining_s <= 0:
            raise RefusedError(Refusal(ErrorKind.OVERLOADED, "its deadline has passed"))
        try:
            with anyio.fail_after(remaining_s):
                await self._try_upstreams(call, caller)
        except TimeoutError:
            if caller.is_started:
                self._break_off(call, caller, "timeout")
                return
            kind = ErrorKind.TIMED_OUT if call.sent_attempts else ErrorKind.OVERLOADED
            raise RefusedError(Refusal(kind, call.attempts_summary)) from None

    async def _try_upstreams(self, call: Call, caller: CallerConnection) -> None:
        while True:
            hop = await self._choose(call)
            if hop is None or self._guard.is_quarantined(call):
                await self._give_up(call, caller)
                return
            try:
                scheduled = await self._schedule(call, hop)
                if scheduled is None:
                    continue
                if not await self._is_registered_process(call, scheduled):
                    call.tried_upstreams.add(scheduled.upstream.upstream_id)
                    continue
                await self._attempt(call, scheduled, caller)
                return
            except _Retry:
                if not self._may_retry(call):
                    await self._give_up(call, caller)
                    return
            finally:
                self._prefills.note_ended(call)

    async def _schedule(self, call: Call, hop: _Hop) -> _Hop | None:
        """Return the hop of an attempt; a long prompt waits until its upstream can read it.

        Returns None if its upstream is no longer eligible after that.
        """
        if hop.relay is not None or call.origin is not None or not self._prefills.applies_to(call):
            return hop
        now_s = self._clock.monotonic_s()
        eligible = self._eligible(call)
        excluded = call.tried_upstreams | eligible.cold_ids
        untried = [
            u
            for u in self._placement.unsuspended(eligible.upstreams, now_s)
            if u.upstream_id not in excluded
        ]
        upstream = await self._prefills.place(
            call, hop.upstream, self._reachability.reachable(untried)
        )
        # The request may have been held: its upstream may be draining by now, or it quarantined.
        if upstream not in self._eligible(call).upstreams or self._guard.is_quarantined(call):
            return None
        return _Hop(upstream)

    async def _is_registered_process(self, call: Call, hop: _Hop) -> bool:
        """Return whether an upstream may get a request by what it says; peers do not ask."""
        return hop.relay is not None or await self._resumptions.may_send(call, hop.upstream)

    async def _choose(self, call: Call) -> _Hop | None:
        """Return the next hop: direct, or through a peer if no upstream can be connected to."""
        eligible = self._eligible(call)
        untried = [u for u in eligible.upstreams if u.upstream_id not in call.tried_upstreams]
        direct = self._reachability.reachable(untried)
        if direct and call.unconnected_attempts < _MAX_UNCONNECTED_BEFORE_RELAY:
            return self._place(call, direct, eligible.cold_ids)
        relayable = [*untried, *self._unconnected(call, eligible.upstreams)]
        if relayable:
            relay = await self._relays.find(
                call.service.name, self._permits(call), may_wait=not call.has_awaited_relay
            )
            call.has_awaited_relay = True
            if relay is not None:
                unreachable_ids = relay.offer.unreachable_ids
                # The offer may be a second old: if it names all of them, any may be reached now.
                reached = [u for u in relayable if u.upstream_id not in unreachable_ids]
                return self._place(call, reached or relayable, eligible.cold_ids, relay)
        if direct:
            return self._place(call, direct, eligible.cold_ids)
        if not untried or self._reachability.is_confirmed(
            call.service.name, self._clock.monotonic_s()
        ):
            return None
        return self._place(call, untried, eligible.cold_ids)

    def _place(
        self,
        call: Call,
        candidates: list[RegisteredUpstream],
        cold_ids: set[str],
        relay: RelayPeer | None = None,
    ) -> _Hop | None:
        upstream = self._placement.choose(
            candidates,
            call.fields.prompt,
            session_key(call.fields.prompt, call.fields.request_id),
            tried_upstreams=frozenset(),
            cold_upstreams=frozenset(cold_ids),
            now_s=self._clock.monotonic_s(),
        )
        return None if upstream is None else _Hop(upstream, relay)

    def _unconnected(
        self, call: Call, upstreams: list[RegisteredUpstream]
    ) -> list[RegisteredUpstream]:
        """Return the upstreams to which only this instance has failed to connect."""
        return [u for u in upstreams if u.upstream_id in call.unconnected_upstreams]

    def _permits(self, call: Call) -> Callable[[DataCentre], bool]:
        """Return whether a request's body may be sent to an instance in a data centre."""
        return partial(self._eligibility.region_map.permits, call.permitted_regions)

    def _is_out_of_reach(self, call: Call, upstreams: list[RegisteredUpstream]) -> bool:
        """Return whether neither this instance nor a peer can reach any of the upstreams."""
        return (
            not self._reachability.reachable(upstreams)
            and self._reachability.is_confirmed(call.service.name, self._clock.monotonic_s())
            and self._relays.is_unavailable(call.service.name, self._permits(call))
        )

    def _eligible(self, call: Call) -> EligibleUpstreams:
        now_s = self._clock.monotonic_s()
        version = None if call.origin is None else call.origin.version
        eligible = self._eligibility.eligible(
            call.service, call.permitted_regions, now_s, version=version
        )
        call.exclusions = eligible.exclusions_summary
        call.rate_limit_retry_s = None
        if eligible.rate_limited:
            limits = self._eligibility.limits
            call.rate_limit_retry_s = limits.retry_after_s(eligible.rate_limited)
        return eligible

    def _may_retry(self, call: Call) -> bool:
        if call.sent_attempts >= call.route.attempts or call.refusals >= _MAX_REFUSALS:
            return False
        if not self._guard.allows_retry(call):
            return False
        if self._remaining_s(call) < _MIN_ATTEMPT_S:
            return False
        if call.sent_attempts and not call.route.may_run_twice:
            return False
        if call.origin is not None and not self._eligible(call).upstreams:
            return False
        if not call.sent_attempts and not call.refusals:
            # No upstream has received the request, so the next attempt is not a retry for them.
            # If it were charged, a network partition would use up this instance's share of the
            # retry budget within a second.
            return call.unconnected_attempts <= _MAX_UNCONNECTED
        if call.has_retry:
            call.has_retry = False
            return True
        decision = self._acquire_retry(call)
        if not decision.is_granted:
            self._log_retry(Event.RETRY_DENIED, call, decision)
        return decision.is_granted

    def _remaining_s(self, call: Call) -> float:
        return call.deadline_s - self._clock.monotonic_s()

    def _retry_budget(self, service: str) -> RetryBudget:
        if service not in self._retry_budgets:
            self._retry_budgets[service] = RetryBudget(self._retry_settings)
        return self._retry_budgets[service]

    async def _give_up(self, call: Call, caller: CallerConnection) -> None:
        """Answer a request that is not retried: with an upstream's own failure, or a refusal."""
        if caller.is_started:
            self._break_off(call, caller, "no upstream left")
        elif call.failed_answer is not None:
            answer = call.failed_answer
            await caller.send_complete(answer.status, answer.reason, answer.headers, answer.body)
        elif call.sent_attempts:
            raise RefusedError(Refusal(ErrorKind.OUTCOME_UNKNOWN, call.attempts_summary))
        elif self._guard.is_quarantined(call):
            raise RefusedError(self._guard.refusal(call))
        elif call.refusals:
            attempts = call.attempts_summary
            raise RefusedError(
                Refusal(ErrorKind.OVERLOADED, attempts, retry_after_s=_FULL_RETRY_AFTER_S)
            )
        else:
            raise RefusedError(self._no_upstream(call))

    def _no_upstream(self, call: Call) -> Refusal:
        return no_upstream_refusal(call.attempts_summary, call.rate_limit_retry_s)

    def _break_off(self, call: Call, caller: CallerConnection, reason: str) -> None:
        caller.abort()
        self._metrics.counts["broken_off"] += 1
        emit(
            Event.ANSWER_BROKEN,
            request=call.fields.request_id,
            reason=reason,
            events=call.progress.sent_events,
            last_event_id=call.progress.last_event_id,
        )

    async def _attempt(self, call: Call, hop: _Hop, caller: CallerConnection) -> None:
        """Send the request to one upstream and pass its answer on.

        Raises
        ------
        _Retry
            If the attempt failed; its outcome is recorded in `call`.
        """
        upstream = hop.upstream
        call.tried_upstreams.add(upstream.upstream_id)
        call.unconnected_upstreams.discard(upstream.upstream_id)
        call.relay = "" if hop.relay is None else hop.relay.member.peer.instance
        call.upstream_id = upstream.upstream_id
        call.upstream_version = upstream.version
        call.registrations_age_s = self._directory.age_s(self._clock.monotonic_s())
        placed = self._placement.note_started(
            upstream, call.fields.prompt, self._clock.monotonic_s()
        )
        answer: UpstreamAnswer | None = None
        self._guard.note_attempt_began(call)
        call.attempt_began_s = self._clock.monotonic_s()
        self._eligibility.note_sent(upstream, call.service, call.attempt_began_s)
        # Counted before sending, since an attempt that is cancelled later may have run.
        call.sent_attempts += 1
        if hop.relay is not None:
            self._metrics.counts["attempts_through_relays"] += 1
            hop.relay.running += 1
        try:
            answer = await self._send(call, hop)
            if hop.relay is None:
                self._reachability.note_reached(upstream, call.attempt_began_s)
            await self._pass_on(call, answer, placed, caller)
            self._placement.note_success(upstream)
            self._guard.note_answered(call, upstream, answer)
        except (NotRunError, MayHaveRunError) as error:
            if isinstance(error, NotRunError):
                call.sent_attempts -= 1
            pause_s = self._handle_failure(call, hop, error)
            self._log_failure(call, upstream, error, pause_s)
            raise _Retry from error
        finally:
            self._placement.note_ended(placed)
            if hop.relay is not None:
                hop.relay.running -= 1
            if answer is not None:
                answer.close()

    def _handle_failure(self, call: Call, hop: _Hop, error: Exception) -> float:
        """Apply a failure to the upstream's state; return for how long it is avoided."""
        now_s = self._clock.monotonic_s()
        upstream = hop.upstream
        self._guard.note_attempt_failed(call, upstream, error)
        if isinstance(error, MisdirectedError):
            call.refusals += 1
            self._directory.note_process_ended(upstream)
            return 0.0
        if isinstance(error, RefusedByUpstreamError):
            call.refusals += 1
            self._placement.note_full(upstream, now_s)
            return 0.0
        if isinstance(error, NotRunError):
            call.unconnected_attempts += 1
        if isinstance(error, RelayUnavailableError):
            # Only the peer failed; another one may reach this upstream.
            call.unconnected_upstreams.add(upstream.upstream_id)
            if hop.relay is not None:
                self._relays.note_cannot_serve(hop.relay, upstream.service)
            return 0.0
        if isinstance(error, NotConnectedError):
            call.unconnected_upstreams.add(upstream.upstream_id)
            return self._probes.note_attempt_failed(upstream, str(error))
        if isinstance(error, ConnectionBrokenError) and hop.relay is None:
            self._reachability.note_broken(upstream)
        return self._placement.note_failure(upstream, now_s)

    async def _send(self, call: Call, hop: _Hop) -> UpstreamAnswer:
        upstream = hop.upstream
        headers = self._translator.to_upstream(
            call.headers,
            ForwardFields(
                upstream_id=upstream.upstream_id,
                workspace=call.workspace,
                remaining_s=max(_DEADLINE_MARGIN_S, self._remaining_s(call) - _DEADLINE_MARGIN_S),
                priority=call.priority,
                last_event_id=call.progress.last_event_id or call.fields.last_event_id,
            ),
        )
        if hop.relay is None:
            sending = self._client.send(upstream, call.request, headers)
        else:
            sending = self._relays.send(hop.relay, upstream, call, headers)
        is_last = call.sent_attempts >= call.route.attempts or bool(call.probes)
        if not call.route.may_run_twice or is_last:
            return await self._record_head_time(call, sending)
        return await self._send_with_early_retry(call, sending)

    async def _send_with_early_retry(
        self, call: Call, sending: Awaitable[UpstreamAnswer]
    ) -> UpstreamAnswer:
        """Wait for an answer's head, or until it is late and another upstream can be tried.

        In a burst the upstreams are slow and the retry budget is used up. A request that left its
        upstream's queue then could not be sent to another one, and would fail though it would have
        been answered.
        """
        timeout_s = self._adaptive_timeout.timeout_s(call.service.name, call.route.objective_s)
        result: UpstreamAnswer | Exception | None = None
        finished = anyio.Event()

        async def send() -> None:
            nonlocal result
            try:
                result = await self._record_head_time(call, sending)
            except (NotRunError, MayHaveRunError) as error:
                result = error
            finished.set()

        began_s = self._clock.monotonic_s()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                with anyio.move_on_after(timeout_s):
                    await finished.wait()
                while result is None and not self._acquire_early_retry(call):
                    with anyio.move_on_after(_RETRY_POLL_INTERVAL_S):
                        await finished.wait()
                tasks.cancel_scope.cancel()
        except BaseException:
            # The caller disconnected as the answer arrived; nothing else would close the answer.
            if isinstance(result, UpstreamAnswer):
                result.close()
            raise
        if result is None:
            waited_s = self._clock.monotonic_s() - began_s
            raise MayHaveRunError(f"no answer in {waited_s:.2f} s")
        if isinstance(result, Exception):
            raise result
        return result

    def _acquire_early_retry(self, call: Call) -> bool:
        """Acquire a retry for a request that waits at an upstream; return whether that succeeded.

        The retry is acquired before the request leaves its upstream. All waiting requests compete
        for the same few retries, and one that left its upstream but got no retry would fail.
        """
        # Called ten times a second per waiting request, so no upstream is chosen here.
        upstreams = self._eligible(call).upstreams
        if all(upstream.upstream_id in call.tried_upstreams for upstream in upstreams):
            return False
        # Denials are not logged here: each waiting request would log ten of them a second.
        call.has_retry = self._acquire_retry(call).is_granted
        return call.has_retry

    def _acquire_retry(self, call: Call) -> RetryDecision:
        now_s = self._clock.monotonic_s()
        decision = self._retry_budget(call.service.name).try_acquire(now_s, sharers=self._sharers())
        if decision.is_granted:
            self._log_retry(Event.RETRY_GRANTED, call, decision)
        return decision

    def _log_retry(self, event: Event, call: Call, decision: RetryDecision) -> None:
        self._metrics.counts[event.name.lower()] += 1
        emit(
            event,
            request=call.fields.request_id,
            service=call.service.name,
            taken=decision.used,
            allowed=round(decision.allowed, 2),
            requests=decision.requests,
            sharers=decision.sharers,
        )

    async def _record_head_time(
        self, call: Call, sending: Awaitable[UpstreamAnswer]
    ) -> UpstreamAnswer:
        """Return an answer's head, and record its response time for the adaptive timeout."""
        began_s = self._clock.monotonic_s()
        answer = await sending
        took_s = self._clock.monotonic_s() - began_s
        self._adaptive_timeout.record_response_time(call.service.name, took_s)
        return answer

    async def _pass_on(
        self, call: Call, answer: UpstreamAnswer, placed: PlacedRequest, caller: CallerConnection
    ) -> None:
        if call.route.kind is RequestKind.STREAMING and answer.status == _OK:
            with self._bodies.stream() as held:
                await self._pass_stream(call, answer, placed, caller, held)
            return
        async with self._bodies.read(answer) as body:
            await self._pass_whole(call, answer, body, caller)

    async def _pass_whole(
        self, call: Call, answer: UpstreamAnswer, body: bytes, caller: CallerConnection
    ) -> None:
        headers = self._translator.to_caller(answer.headers)
        complete = CompleteAnswer(answer.status, answer.reason, headers, body)
        if caller.is_started:
            raise MayHaveRunError(f"would not resume: status {answer.status}")
        if answer.status >= _SERVER_ERROR and call.route.may_run_twice:
            call.failed_answer = complete
            raise MayHaveRunError(f"status {answer.status}")
        if answer.fields.has_status_of_refusal and not call.route.may_run_twice:
            raise MayHaveRunError(f"status {answer.status} without saying that it has not run")
        self._record_response_time(call)
        await caller.send_complete(
            complete.status, complete.reason, complete.headers, complete.body
        )

    async def _pass_stream(
        self,
        call: Call,
        answer: UpstreamAnswer,
        placed: PlacedRequest,
        caller: CallerConnection,
        held: HeldStream,
    ) -> None:
        call.progress.restart()
        gaps = StreamGaps()
        while piece := await answer.read_piece():
            if placed.is_reading_prompt:
                self._prefills.note_first_event(call)
            self._placement.note_prompt_read(placed)
            self._guard.note_answering(call)
            sent_before = call.progress.sent_events
            foreign: ForeignEventError | None = None
            held.hold(piece, call.progress.splitter.held_bytes)
            try:
                passed = call.progress.feed(piece)
            except EventTooLongError as error:
                raise AnswerTooLongError(str(error)) from error
            except ForeignEventError as error:
                foreign, passed = error, error.valid_events
            if passed:
                gaps.note_events(call.progress.sent_events - sent_before, self._clock.monotonic_s())
                if not caller.is_started:
                    self._resumptions.note_first_event(call, placed.upstream)
                    await self._start_stream(call, answer, caller)
                await caller.write(passed)
                self._redirects.note_bytes(len(passed) + _EVENT_OVERHEAD_BYTES)
            if foreign is not None:
                raise MayHaveRunError(str(foreign)) from foreign
        if not call.progress.splitter.is_between_events:
            raise ConnectionBrokenError("ended in the middle of an event")
        if answer.ends_with_connection and not caller.is_started:
            # A crash before the first event looks like an empty stream.
            raise ConnectionBrokenError("ended before its first event")
        if not caller.is_started:
            await self._start_stream(call, answer, caller)
        call.longest_gap_s = max(call.longest_gap_s, gaps.longest_s)
        if gaps.typical_s is not None:
            self._placement.paces.record(placed.upstream, gaps.typical_s)
        await caller.finish()

    async def _start_stream(
        self, call: Call, answer: UpstreamAnswer, caller: CallerConnection
    ) -> None:
        """Send the head with the first event; until then another upstream can be tried."""
        call.started_after_s = self._clock.monotonic_s() - call.arrived_s
        self._record_response_time(call)
        self._metrics.record_first_event(call.started_after_s)
        await caller.start(answer.status, answer.reason, self._translator.to_caller(answer.headers))

    def _record_response_time(self, call: Call) -> None:
        """Record the response time of the answering upstream for admission."""
        if self._redirects.is_slow:
            # Most of the time was spent here, and says nothing of the upstream.
            return
        now_s = self._clock.monotonic_s()
        took_s = now_s - call.attempt_began_s
        self._admissions[call.service.name].record_response_time(
            took_s, call.route.objective_s, now_s
        )

    def _log_failure(
        self, call: Call, upstream: RegisteredUpstream, error: Exception, pause_s: float
    ) -> None:
        self._metrics.counts[f"attempt_{type(error).__name__}"] += 1
        is_broken = isinstance(error, ConnectionBrokenError)
        now_s = self._clock.monotonic_s()
        answering_s = None if call.answering_since_s is None else now_s - call.answering_since_s
        if is_broken and answering_s is None:
            self._metrics.counts["attempts_broken_before_first_event"] += 1
        emit(
            Event.ATTEMPT_FAILED,
            request=call.fields.request_id,
            digest=call.digest if is_broken else None,
            parts=call.logged_parts if is_broken else None,
            answering_s=rounded(answering_s),
            upstream=upstream.upstream_id,
            version=upstream.version,
            relay=call.relay,
            error=str(error),
            sent=call.sent_attempts,
            events=call.progress.sent_events,
            elapsed_s=round(now_s - call.arrived_s, 3),
            left_alone_s=pause_s,
        )
