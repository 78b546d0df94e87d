"""HTTP server for callers: checks a request, reserves its tokens, forwards it and answers."""

from __future__ import annotations

import json
import math
import traceback
from collections import Counter
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from ..core.config_freshness import OUTDATED_RETRY_AFTER_S
from ..core.homes import permitted_regions
from ..core.routes import request_priority
from ..core.shutdown import STOPPING_RETRY_AFTER_S
from ..errors import DECIDED_BY_CONFIGURATION, ErrorKind, Refusal, RefusedError
from ..events import Event, emit, rounded
from ..types import BudgetName
from .call import Call, CallerConnection, CallerGoneError
from .caller_connections import CallerServer, has_connections, is_discarding, note_unread
from .request_body import read_body
from .sockets import reset
from .upstream_client import OutgoingRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..clock import Clock
    from ..core.caller_memory import CallerMemory
    from ..core.claims import Reservation, Usage
    from ..core.config_freshness import ConfigFreshness
    from ..core.connection_limit import ConnectionLimit
    from ..core.routes import GatewayConfig, GatewayWorkspace, RequestLimits, Route
    from ..core.shutdown import Shutdown
    from .accounts import Accounts
    from .forward import Forwarder
    from .headers import CallerFields, HeaderTranslator, RawHeaders
    from .metrics import GatewayMetrics
    from .quarantine.guard import CrashGuard
    from .redirects import Redirects
    from .resumptions import Resumptions
    from .startup_wait import StartupWait

#: The server library refuses larger lines and header fields with a 400. The operators' limits are
#: lower.
_MAX_HEAD_BYTES = 65_536

#: Idle timeout of connections that began before the first configuration.
_INITIAL_IDLE_TIMEOUT_S = 75.0

#: Seconds between two log lines on what is refused for one reason.
_REFUSALS_LOG_INTERVAL_S = 1.0

#: Maximum characters of a caller's event id that are logged.
_MAX_LOGGED_EVENT_ID = 20

#: Maximum stack frames in the log line of an internal error.
_MAX_FRAMES = 6


class HttpCaller(CallerConnection):
    """Connection to a caller through the server library.

    Parameters
    ----------
    must_close
        Returns whether the connection ends with its next answer, so that the caller connects to
        another instance.
    """

    def __init__(self, request: web.BaseRequest, must_close: Callable[[], bool]) -> None:
        self.response: web.StreamResponse | None = None
        self._request = request
        self._must_close = must_close

    async def start(self, status: int, reason: str, headers: RawHeaders) -> None:
        """Send the head of a streamed answer."""
        self.is_started = True
        response = web.StreamResponse(status=status, reason=reason, headers=CIMultiDict(headers))
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        assert self.response is not None
        with _translate_disconnect():
            await self.response.write(data)
        note_unread(self._request, len(data))

    async def finish(self) -> None:
        """End a streamed answer as complete."""
        assert self.response is not None
        with _translate_disconnect():
            await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection before the end of the body, so that the caller detects the error."""
        if self._request.transport is None:
            return
        if self._request.version < HttpVersion11:
            # There the end of the connection is that of the body; only a reset tells the error.
            reset(self._request.transport)
        else:
            self._request.transport.close()

    async def send_complete(
        self, status: int, reason: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Send an answer in one piece."""
        self.is_started = True
        response = web.Response(
            status=status, reason=reason, headers=CIMultiDict(headers), body=body
        )
        await self._prepare(response)
        with _translate_disconnect():
            await response.write_eof()
        # The library keeps the last answer of a connection while it is open.
        response.body = None
        note_unread(self._request, len(body))

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._must_close() or is_discarding(self._request):
            response.force_close()
        self.response = response
        with _translate_disconnect():
            await response.prepare(self._request)


@contextmanager
def _translate_disconnect() -> Iterator[None]:
    """Translate the library's error for a closed connection into `CallerGoneError`."""
    try:
        yield
    except ConnectionResetError as error:
        raise CallerGoneError from error


class GatewayServer:
    """Handler of callers' requests.

    Parameters
    ----------
    config
        Returns the configuration in force, or None before the first one.
    freshness
        Tells how long ago that configuration was known to be the newest.
    memory, connection_limit
        Bounds on what all callers together make the instance hold.
    shutdown
        State of a stop: connections are closed after their answer, later requests are refused.
    startup_wait
        Delays requests that arrive during the start.
    """

    def __init__(
        self,
        config: Callable[[], GatewayConfig | None],
        freshness: ConfigFreshness,
        translator: HeaderTranslator,
        accounts: Accounts,
        guard: CrashGuard,
        forwarder: Forwarder,
        resumptions: Resumptions,
        redirects: Redirects,
        memory: CallerMemory,
        connection_limit: ConnectionLimit,
        clock: Clock,
        metrics: GatewayMetrics,
        shutdown: Shutdown,
        startup_wait: StartupWait,
    ) -> None:
        self.running_requests = 0
        self._unlogged_refusals: Counter[str] = Counter()
        self._refusals_logged_s: dict[str, float] = {}
        self._startup_wait = startup_wait
        self._config = config
        self._freshness = freshness
        self._translator = translator
        self._accounts = accounts
        self._guard = guard
        self._forwarder = forwarder
        self._resumptions = resumptions
        self._redirects = redirects
        self._memory = memory
        self._connection_limit = connection_limit
        self._clock = clock
        self._metrics = metrics
        self._shutdown = shutdown

    def make_server(self) -> web.Server:
        """Return the server to listen with."""
        return CallerServer(
            self._handle,
            self._limits,
            initial_idle_timeout_s=_INITIAL_IDLE_TIMEOUT_S,
            memory=self._memory,
            connection_limit=self._connection_limit,
            on_refused=self._note_refused,
            handler_cancellation=True,
            max_line_size=_MAX_HEAD_BYTES,
            max_field_size=_MAX_HEAD_BYTES,
            auto_decompress=False,
            access_log=None,
        )

    def _note_refused(self, reason: str) -> None:
        """Count what is refused for lack of room, and log a line a second for each reason."""
        self._metrics.counts["callers_refused_" + reason.replace(" ", "_")] += 1
        self._unlogged_refusals[reason] += 1
        now_s = self._clock.monotonic_s()
        if now_s - self._refusals_logged_s.get(reason, -math.inf) < _REFUSALS_LOG_INTERVAL_S:
            return
        self._refusals_logged_s[reason] = now_s
        emit(
            Event.CALLERS_REFUSED,
            reason=reason,
            count=self._unlogged_refusals.pop(reason),
            memory_bytes=self._memory.used_bytes,
            memory_capacity_bytes=self._memory.capacity_bytes,
            connections=self._connection_limit.open,
            busy_connections=self._connection_limit.busy,
        )

    def _limits(self) -> RequestLimits | None:
        config = self._config()
        return None if config is None else config.limits

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running_requests += 1
        arrived_s = self._clock.monotonic_s()
        caller = HttpCaller(request, self._must_close)
        request_id = ""
        resumes = ""
        try:
            try:
                headers = _raw_headers(request)
                fields = self._read_fields(headers)
                request_id = fields.request_id
                resumes = fields.logged_resumes
                await self._serve(request, headers, fields, caller, arrived_s)
            except RefusedError as error:
                refusal = self._unless_stale(error.refusal, arrived_s)
                await self._refuse(caller, request_id, refusal, arrived_s, resumes)
        except CallerGoneError:
            # Logged as request_left already; the library closes the connection.
            self._metrics.counts["callers_gone"] += 1
        except Exception as error:
            await self._answer_internal_error(caller, request_id, error, arrived_s)
        finally:
            self.running_requests -= 1
            self._metrics.record_total(self._clock.monotonic_s() - arrived_s)
        assert caller.response is not None
        return caller.response

    def _must_close(self) -> bool:
        return self._shutdown.is_stopping or self._freshness.is_outdated(self._clock.monotonic_s())

    def _unless_stale(self, refusal: Refusal, arrived_s: float) -> Refusal:
        """Return a refusal, or a temporary one if a newer configuration may allow the request."""
        if refusal.kind not in DECIDED_BY_CONFIGURATION or self._freshness.is_confirmed(arrived_s):
            return refusal
        return Refusal(ErrorKind.CONFIGURATION_STALE, f"{refusal.kind.value}: {refusal.detail}")

    async def _answer_internal_error(
        self, caller: HttpCaller, request_id: str, error: Exception, arrived_s: float
    ) -> None:
        """Answer a request that failed with an unexpected exception, and log one line.

        The library would answer by itself and log about twenty lines without the request's id.
        """
        emit(
            Event.INTERNAL_ERROR,
            request=request_id,
            error=repr(error),
            at=_innermost_calls(error),
            is_answer_begun=caller.is_started,
        )
        if caller.is_started:
            caller.abort()
        else:
            await self._refuse(caller, request_id, Refusal(ErrorKind.INTERNAL), arrived_s)

    def _read_fields(self, headers: RawHeaders) -> CallerFields:
        try:
            return self._translator.read_caller(headers)
        except ValueError as error:
            raise RefusedError(Refusal(ErrorKind.MALFORMED_REQUEST, str(error))) from error

    async def _serve(
        self,
        request: web.BaseRequest,
        headers: RawHeaders,
        fields: CallerFields,
        caller: HttpCaller,
        arrived_s: float,
    ) -> None:
        await self._startup_wait.wait()
        config = self._config()
        if config is None:
            raise RefusedError(Refusal(ErrorKind.NOT_READY))
        if self._freshness.is_outdated(self._clock.monotonic_s()):
            raise RefusedError(
                Refusal(ErrorKind.CONFIGURATION_STALE, retry_after_s=OUTDATED_RETRY_AFTER_S)
            )
        if self._shutdown.refuses_requests(arrived_s):
            raise RefusedError(Refusal(ErrorKind.STOPPING, retry_after_s=STOPPING_RETRY_AFTER_S))
        _check_head(headers, config)
        workspace = self._workspace(config, self._route(config, fields, request.raw_path), fields)
        name = "" if workspace is None else workspace.name
        if not has_connections(request):
            raise RefusedError(Refusal(ErrorKind.CONNECTIONS_FULL))
        await self._redirects.check(name)
        with self._redirects.running(name):
            await self._serve_here(request, headers, fields, caller, arrived_s, config)

    async def _serve_here(
        self,
        request: web.BaseRequest,
        headers: RawHeaders,
        fields: CallerFields,
        caller: HttpCaller,
        arrived_s: float,
        config: GatewayConfig,
    ) -> None:
        """Read the body of a request that is not redirected, and run it."""
        route = self._route(config, fields, request.raw_path)
        remaining_s = arrived_s + _limit_s(route, fields) - self._clock.monotonic_s()
        body = await read_body(
            request, max_bytes=config.limits.body_bytes, timeout_s=max(0.0, remaining_s)
        )
        self._redirects.note_bytes(len(body))
        # Reading a body may take longer than the next version.
        config = self._config() or config
        route = self._route(config, fields, request.raw_path)
        workspace = self._workspace(config, route, fields)
        call = Call(
            fields=fields,
            headers=headers,
            route=route,
            service=config.service(route.service_for(_first_request_id(route, fields))),
            workspace="" if workspace is None else workspace.name,
            priority=request_priority(route, workspace),
            request=OutgoingRequest(request.method, request.raw_path, fields.request_id, body),
            arrived_s=arrived_s,
            deadline_s=arrived_s + _limit_s(route, fields),
            permitted_regions=permitted_regions(
                route.homes, frozenset() if workspace is None else workspace.homes
            ),
        )
        await self._resumptions.bind(call, config)
        await self._admit_and_run(call, workspace, caller)

    async def _admit_and_run(
        self,
        call: Call,
        workspace: GatewayWorkspace | None,
        caller: HttpCaller,
    ) -> None:
        # Admission before the reservation: refused requests take no tokens from others.
        async with self._guard.admit(call):
            self._forwarder.admit(call)
            reservation = await self._reserve(call, workspace)
            await self._run_reserved(call, reservation, caller)

    async def _run_reserved(
        self,
        call: Call,
        reservation: Reservation | None,
        caller: HttpCaller,
    ) -> None:
        outcome = "left"
        try:
            await self._forwarder.run(call, caller)
            outcome = "answered"
        except RefusedError:
            outcome = "refused"
            raise
        finally:
            usage = call.usage(call.service.tokens_per_event, is_answered=caller.is_started)
            if reservation is not None:
                self._accounts.settle(reservation, usage)
            self._log_end(call, caller, outcome, usage)

    async def _reserve(self, call: Call, workspace: GatewayWorkspace | None) -> Reservation | None:
        tokens = call.fields.prompt.max_tokens
        if workspace is None or workspace.prepaid_tokens is None or not tokens:
            return None
        started_s = self._clock.monotonic_s()
        remaining_s = call.deadline_s - started_s
        budget = BudgetName(workspace.name)
        reserved = await self._accounts.reserve(budget, tokens, call.route.priority, remaining_s)
        reserved_s = self._clock.monotonic_s()
        call.reserved_after_s = reserved_s - call.arrived_s
        self._metrics.record_reserve(reserved_s - started_s)
        if isinstance(reserved, Refusal):
            raise RefusedError(self._unless_slow(reserved))
        return reserved

    def _unless_slow(self, refusal: Refusal) -> Refusal:
        """Return a refusal for lack of tokens; if this instance is slow, others may get them."""
        if refusal.kind is not ErrorKind.BUDGET_OUT_OF_REACH:
            return refusal
        retry_after_s = self._redirects.retry_after_s()
        return refusal if retry_after_s is None else replace(refusal, retry_after_s=retry_after_s)

    def _route(self, config: GatewayConfig, fields: CallerFields, target: str) -> Route:
        path = target.partition("?")[0]
        route = config.route_for(fields.host, path)
        if route is None:
            raise RefusedError(Refusal(ErrorKind.UNKNOWN_PATH, path))
        return route

    def _workspace(
        self, config: GatewayConfig, route: Route, fields: CallerFields
    ) -> GatewayWorkspace | None:
        if route.is_public or not config.workspaces:
            return None
        workspace = config.workspace_for(fields.key)
        if workspace is None:
            raise RefusedError(Refusal(ErrorKind.UNAUTHORIZED))
        return workspace

    async def _refuse(
        self,
        caller: HttpCaller,
        request_id: str,
        refusal: Refusal,
        arrived_s: float,
        resumes: str = "",
    ) -> None:
        self._metrics.counts[f"refused_{refusal.kind.value}"] += 1
        config = self._config()
        emit(
            Event.REQUEST_REFUSED,
            request=request_id,
            resumes=resumes,
            kind=refusal.kind.value,
            detail=refusal.detail,
            run_state=refusal.answer.run_state.value,
            config_version=None if config is None else config.version,
            config_age_s=rounded(self._freshness.age_s(self._clock.monotonic_s())),
            elapsed_s=round(self._clock.monotonic_s() - arrived_s, 3),
        )
        headers = self._translator.refusal_headers(request_id, refusal.effective_retry_after_s)
        body = {
            "error": refusal.kind.value,
            "message": refusal.answer.message,
            "detail": refusal.detail,
        }
        await caller.send_complete(refusal.answer.status, "", headers, json.dumps(body).encode())

    def _log_end(self, call: Call, caller: HttpCaller, outcome: str, usage: Usage) -> None:
        self._metrics.counts[f"requests_{outcome}"] += 1
        if call.fields.last_event_id:
            self._metrics.counts[f"resumptions_{outcome}"] += 1
        if outcome == "refused":
            return
        status = 0 if caller.response is None else caller.response.status
        emit(
            Event.REQUEST_ANSWERED if outcome == "answered" else Event.REQUEST_LEFT,
            request=call.fields.request_id,
            route=call.route.name,
            workspace=call.workspace,
            status=status,
            attempts=call.sent_attempts,
            service=call.service.name,
            upstream=call.upstream_id,
            version=call.upstream_version,
            resumes=call.fields.logged_resumes,
            last_event_id=call.fields.last_event_id[:_MAX_LOGGED_EVENT_ID],
            events=call.progress.sent_events,
            skipped_events=call.progress.skipped_events,
            last_sent_id=call.progress.last_event_id[:_MAX_LOGGED_EVENT_ID],
            relay=call.relay,
            registrations_age_s=rounded(call.registrations_age_s),
            tokens=usage.max_tokens,
            tokens_in_doubt=usage.max_tokens - usage.confirmed_tokens,
            reserved_after_s=round(call.reserved_after_s, 3),
            started_after_s=round(call.started_after_s, 3),
            longest_gap_s=round(call.longest_gap_s, 3),
            prefill_hold_s=round(call.prefill_hold_s, 3),
            elapsed_s=round(self._clock.monotonic_s() - call.arrived_s, 3),
        )


def _innermost_calls(error: Exception) -> list[str]:
    """Return file and line of the innermost calls of an exception, the innermost last."""
    frames = traceback.extract_tb(error.__traceback__)[-_MAX_FRAMES:]
    return [f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames]


def _raw_headers(request: web.BaseRequest) -> RawHeaders:
    return tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in request.raw_headers)


def _check_head(headers: RawHeaders, config: GatewayConfig) -> None:
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > config.limits.header_bytes:
        max_bytes = config.limits.header_bytes
        raise RefusedError(
            Refusal(ErrorKind.HEAD_TOO_LARGE, f"{size} bytes of at most {max_bytes}")
        )


def _limit_s(route: Route, fields: CallerFields) -> float:
    """Return the time from a request's arrival to its deadline."""
    if fields.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, fields.deadline_s)


def _first_request_id(route: Route, fields: CallerFields) -> str:
    """Return the id of the first request of a stream, which chose its service."""
    if route.is_resumable and fields.last_event_id and fields.resumes:
        return fields.resumes
    return fields.request_id
