"""Relays requests of instances that cannot reach an upstream themselves.

The other instance has the caller, the reservation and the retries; this one only sends one attempt
to the upstream that it names, and always directly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from ..core.relaying import RelayOffer, RelayPolicy
from ..core.routes import RequestLimits
from ..core.suspects import Suspect, has_lived_on, part_suspects
from ..errors import RefusedError
from ..events import Event, emit
from .caller_connections import CallerServer, note_unread
from .quarantine.crash_detector import AttemptSuspect, BrokenAttempt
from .relay_protocol import (
    RelayOutcome,
    read_attempt,
    with_outcome,
    without_attempt,
)
from .request_body import read_body
from .sockets import set_timeouts
from .upstream_client import (
    ConnectionBrokenError,
    MayHaveRunError,
    MisdirectedError,
    NotConnectedError,
    NotRunError,
    OutgoingRequest,
    RefusedByUpstreamError,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.caller_memory import CallerMemory
    from ..core.eligibility import Eligibility
    from ..core.fleet import Capacity
    from ..core.routes import GatewayConfig
    from ..core.shutdown import Shutdown
    from ..core.upstreams import RegisteredUpstream
    from ..settings.gateway import GatewaySettings
    from .headers import CallerFields, HeaderTranslator, RawHeaders
    from .metrics import GatewayMetrics
    from .quarantine.crash_detector import CrashDetector
    from .reachability_probes import ReachabilityProbes
    from .relay_protocol import RelayedAttempt
    from .upstream_client import UpstreamAnswer, UpstreamClient

_MAX_HEAD_BYTES = 65_536

#: Idle connections of peers are closed after 30 seconds.
_LIMITS = RequestLimits(header_timeout_s=10.0, idle_timeout_s=30.0)

#: Maximum unreachable upstreams that an offer names.
_MAX_UNREACHABLE_IDS = 200

#: Status of an answer that only has an outcome.
_NO_ANSWER = 503


class _Failure(Exception):  # noqa: N818 - becomes an outcome
    """The attempt has no answer of the upstream."""

    def __init__(self, outcome: RelayOutcome, detail: str) -> None:
        super().__init__(detail)
        self.outcome = outcome


class RelayServer:
    """Handler of requests that other instances send through this one.

    Parameters
    ----------
    config
        Returns the configuration in force, or None before the first one.
    capacity
        Capacity of this machine, which limits the requests that are relayed at once.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        config: Callable[[], GatewayConfig | None],
        capacity: Capacity,
        client: UpstreamClient,
        translator: HeaderTranslator,
        eligibility: Eligibility,
        probes: ReachabilityProbes,
        crash_detector: CrashDetector,
        shutdown: Shutdown,
        memory: CallerMemory,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self.running_requests = 0
        self._config = config
        self._address = settings.listen.relay
        self._user_timeout_s = settings.timing.upstream_timeout_s
        self._max_requests = RelayPolicy().max_relayed(capacity)
        self._client = client
        self._translator = translator
        self._eligibility = eligibility
        self._probes = probes
        self._crash_detector = crash_detector
        self._shutdown = shutdown
        self._memory = memory
        self._clock = clock
        self._metrics = metrics

    def make_server(self) -> web.Server:
        """Return the server to listen with."""
        return CallerServer(
            self._handle,
            lambda: _LIMITS,
            initial_idle_timeout_s=_LIMITS.idle_timeout_s,
            memory=self._memory,
            handler_cancellation=True,
            max_line_size=_MAX_HEAD_BYTES,
            max_field_size=_MAX_HEAD_BYTES,
            auto_decompress=False,
            access_log=None,
        )

    def offer(self) -> RelayOffer:
        """Return what this instance can relay now."""
        if not self._address or not self._accepts_requests():
            return RelayOffer("", {})
        now_s = self._clock.monotonic_s()
        reachability = self._probes.reachability
        services = {u.service for u in self._eligibility.directory.upstreams.values()}
        ages_s = {
            service: reachability.reached_age_s(service, now_s)
            for service in services
            if self._is_reached(service)
        }
        unreachable_ids = reachability.unreachable_ids(_MAX_UNREACHABLE_IDS)
        return RelayOffer(self._address, ages_s, unreachable_ids)

    def _accepts_requests(self) -> bool:
        return not self._shutdown.is_stopping and self.running_requests < self._max_requests

    def _accepting_upstreams(self, service: str) -> list[RegisteredUpstream]:
        evacuations = self._eligibility.evacuations
        accepting = self._eligibility.directory.accepting_upstreams(service)
        return [u for u in accepting if not evacuations.is_evacuated(u.data_centre)]

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_s = self._clock.monotonic_s()
        self._watch_connection(request)
        accepts = self._accepts_requests()
        self.running_requests += 1
        try:
            return await self._relay(request, accepts, arrived_s)
        finally:
            self.running_requests -= 1

    def _watch_connection(self, request: web.BaseRequest) -> None:
        """Detect a peer that has become unreachable, so that the upstream stops its work."""
        sock: socket.socket | None = request.get_extra_info("socket")
        if sock is not None:
            set_timeouts(sock, self._user_timeout_s)

    async def _relay(
        self, request: web.BaseRequest, accepts: bool, arrived_s: float
    ) -> web.StreamResponse:
        headers: RawHeaders = tuple(
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in request.raw_headers
        )
        try:
            attempt = read_attempt(headers)
        except ValueError as error:
            return self._log_outcome("", None, RelayOutcome.REJECTED, str(error), arrived_s)
        fields = self._translator.read_caller(headers)
        answer: UpstreamAnswer | None = None
        try:
            # Read before a rejection too: a connection that is closed with unread bytes is reset,
            # and the other instance could not tell that nothing was sent.
            body = await self._read_body(request, fields)
            outgoing = OutgoingRequest(request.method, request.raw_path, fields.request_id, body)
            if not accepts:
                raise _Failure(RelayOutcome.REJECTED, f"{self.running_requests - 1} are running")
            upstream = self._upstream(attempt)
            answer = await self._send(attempt, upstream, outgoing, headers, fields, arrived_s)
            return await self._pass_on(request, attempt, upstream, fields, answer, arrived_s)
        except _Failure as failure:
            return self._log_outcome(
                fields.request_id, attempt, failure.outcome, str(failure), arrived_s
            )
        finally:
            if answer is not None:
                answer.close()

    async def _read_body(self, request: web.BaseRequest, fields: CallerFields) -> bytes:
        config = self._config()
        if config is None:
            raise _Failure(RelayOutcome.REJECTED, "no configuration yet")
        try:
            return await read_body(
                request, max_bytes=config.limits.body_bytes, timeout_s=_remaining_s(fields)
            )
        except RefusedError as error:
            raise _Failure(RelayOutcome.REJECTED, error.refusal.detail) from error

    def _upstream(self, attempt: RelayedAttempt) -> RegisteredUpstream:
        """Return the upstream of an attempt if this instance would use it too."""
        upstream = self._eligibility.directory.upstreams.get(attempt.upstream.upstream_id)
        if upstream is None or upstream.key != attempt.upstream:
            raise _Failure(RelayOutcome.REJECTED, "the upstream is not registered")
        if attempt.version not in (None, upstream.version):
            raise _Failure(
                RelayOutcome.REJECTED, f"the upstream's software is {upstream.version!r}"
            )
        if upstream.is_draining or self._eligibility.evacuations.is_evacuated(upstream.data_centre):
            raise _Failure(RelayOutcome.REJECTED, "the upstream is draining or evacuated")
        if not self._probes.reachability.is_reachable(upstream):
            raise _Failure(
                self._unconnected_outcome(upstream), "the upstream is unreachable here too"
            )
        return upstream

    def _unconnected_outcome(self, upstream: RegisteredUpstream) -> RelayOutcome:
        if self._is_reached(upstream.service):
            return RelayOutcome.NOT_CONNECTED
        return RelayOutcome.PARTITIONED

    def _is_reached(self, service: str) -> bool:
        """Return whether this instance can connect to an upstream of a service."""
        upstreams = self._accepting_upstreams(service)
        return bool(self._probes.reachability.reachable(upstreams))

    async def _send(
        self,
        attempt: RelayedAttempt,
        upstream: RegisteredUpstream,
        outgoing: OutgoingRequest,
        headers: RawHeaders,
        fields: CallerFields,
        arrived_s: float,
    ) -> UpstreamAnswer:
        began_s = self._clock.monotonic_s()
        forwarded = self._translator.relayed_to_upstream(
            without_attempt(headers), began_s - arrived_s
        )
        try:
            answer = await self._client.send(upstream, outgoing, forwarded)
        except NotConnectedError as error:
            self._probes.note_attempt_failed(upstream, str(error))
            raise _Failure(self._unconnected_outcome(upstream), str(error)) from error
        except MisdirectedError as error:
            raise _Failure(RelayOutcome.MISDIRECTED, str(error)) from error
        except RefusedByUpstreamError as error:
            raise _Failure(RelayOutcome.REFUSED, str(error)) from error
        except NotRunError as error:
            raise _Failure(RelayOutcome.REJECTED, str(error)) from error
        except ConnectionBrokenError as error:
            self._note_broken(attempt, upstream, fields)
            raise _Failure(RelayOutcome.BROKEN, str(error)) from error
        except MayHaveRunError as error:
            raise _Failure(RelayOutcome.UNKNOWN, str(error)) from error
        self._probes.reachability.note_reached(upstream, began_s)
        return answer

    def _note_broken(
        self,
        attempt: RelayedAttempt,
        upstream: RegisteredUpstream,
        fields: CallerFields,
        answering_since_s: float | None = None,
    ) -> None:
        self._probes.reachability.note_broken(upstream)
        self._report_broken(attempt, upstream, fields, answering_since_s)

    def _report_broken(
        self,
        attempt: RelayedAttempt,
        upstream: RegisteredUpstream,
        fields: CallerFields,
        answering_since_s: float | None,
        *,
        looks_complete: bool = False,
    ) -> None:
        suspects = [AttemptSuspect(Suspect(attempt.digest), attempt.known_crashes)]
        if not has_lived_on(answering_since_s, self._clock.monotonic_s()):
            # The sender does not tell which crashes of the parts it knew.
            suspects += [AttemptSuspect(suspect) for suspect in part_suspects(fields.prompt)]
        self._crash_detector.note_broken_attempt(
            upstream,
            BrokenAttempt(fields.request_id, attempt.digest, tuple(suspects), looks_complete),
        )

    async def _pass_on(
        self,
        request: web.BaseRequest,
        attempt: RelayedAttempt,
        upstream: RegisteredUpstream,
        fields: CallerFields,
        answer: UpstreamAnswer,
        arrived_s: float,
    ) -> web.StreamResponse:
        outcome = RelayOutcome.ANSWERED
        if answer.ends_with_connection:
            outcome = RelayOutcome.ANSWERED_UNFRAMED
        headers = with_outcome(self._translator.to_caller(answer.headers), outcome)
        response = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=CIMultiDict(headers)
        )
        self._log_outcome(fields.request_id, attempt, outcome, "", arrived_s)
        answering_since_s: float | None = None
        try:
            await response.prepare(request)
            while piece := await answer.read_piece():
                if answering_since_s is None:
                    answering_since_s = self._clock.monotonic_s()
                await response.write(piece)
                note_unread(request, len(piece))
            if answer.ends_with_connection:
                # The end of the connection may be a crash.
                self._report_broken(
                    attempt, upstream, fields, answering_since_s, looks_complete=True
                )
            await response.write_eof()
        except ConnectionBrokenError:
            # The body has no end, so the other instance knows that it is not complete.
            self._note_broken(attempt, upstream, fields, answering_since_s)
            if request.transport is not None:
                request.transport.abort()
        except (ConnectionResetError, aiohttp.ClientError) as error:
            emit(Event.RELAY_LEFT, request=fields.request_id, error=repr(error))
        return response

    def _log_outcome(
        self,
        request_id: str,
        attempt: RelayedAttempt | None,
        outcome: RelayOutcome,
        detail: str,
        arrived_s: float,
    ) -> web.Response:
        """Log an attempt; return the answer of one that has no answer of the upstream."""
        self._metrics.counts["relayed_" + outcome.value.replace(" ", "_")] += 1
        emit(
            Event.ATTEMPT_RELAYED,
            request=request_id,
            sender="" if attempt is None else attempt.sender,
            upstream="" if attempt is None else attempt.upstream.upstream_id,
            outcome=outcome.value,
            detail=detail,
            running=self.running_requests,
            elapsed_s=round(self._clock.monotonic_s() - arrived_s, 3),
        )
        return web.Response(status=_NO_ANSWER, headers=CIMultiDict(with_outcome((), outcome)))


def _remaining_s(fields: CallerFields) -> float:
    """Return the time that the other instance waits; without a deadline, as it does."""
    return _LIMITS.idle_timeout_s if fields.deadline_s is None else fields.deadline_s
