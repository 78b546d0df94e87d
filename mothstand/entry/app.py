"""The ASGI application of one instance: routes, admission, keys, refusals."""

from __future__ import annotations

import hashlib
import uuid
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Protocol

import anyio
import httpx
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, PlainTextResponse
from starlette.routing import Route

from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit
from ..histograms import record_s
from .answers import refusal_body, refusal_headers, send_refusal
from .budgeted import KnownKeyError
from .chat import ChatRun
from .context import Caller, CallerRequest
from .services import ServiceRun
from .sinks import AnswerSink, CallerSink, RetainingSink

if TYPE_CHECKING:
    from starlette.responses import Response
    from starlette.types import ASGIApp, Receive, Scope, Send

    from ..ledger.calls import KnownKey
    from .context import EntryContext
    from .intents import IntentClaims

#: Marks a request that another instance forwarded, so that it is not forwarded again.
FORWARDED_HEADER = "x-mothstand-forwarded"
_MAX_KEY_CHARACTERS = 255


class Run(Protocol):
    """A parsed request that can be run."""

    async def run(self, sink: AnswerSink) -> None:
        """Run the request and send its answer to `sink`."""


class Endpoint(ABC):
    """Common steps of a caller's request: admit, read, identify, run or join, answer."""

    def __init__(self, context: EntryContext, claims: IntentClaims) -> None:
        self._context = context
        self._claims = claims
        self._forward = httpx.AsyncClient(timeout=httpx.Timeout(60.0, connect=1.0), trust_env=False)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; errors are answered too."""
        request = Request(scope, receive)
        activity = self._context.activity
        activity.running_requests += 1
        started_s = self._context.clock.monotonic_s()
        sink = CallerSink(send)
        try:
            self._admit()
            caller_request = await self._read_request(request)
            await self._serve(request, caller_request, sink, send)
        except RefusedError as error:
            await self._refuse(sink, send, error.refusal)
        except ClientDisconnect:
            self._context.metrics.counts["disconnected"] += 1
        except Exception as error:
            emit(Event.INTERNAL_ERROR, error=repr(error))
            await self._refuse(sink, send, Refusal(ErrorKind.INTERNAL))
        finally:
            activity.running_requests -= 1
            elapsed_s = self._context.clock.monotonic_s() - started_s
            record_s(self._context.metrics.whole_us, elapsed_s)

    @abstractmethod
    def make_run(self, request: Request, caller_request: CallerRequest) -> Run:
        """Return the parsed request.

        Raises
        ------
        RefusedError
            If it cannot be read or is not allowed.
        """

    def _admit(self) -> None:
        if self._context.activity.is_refusing:
            raise RefusedError(Refusal(ErrorKind.STOPPING))
        if self._context.config().offset == 0:
            raise RefusedError(Refusal(ErrorKind.NOT_READY))

    async def _read_request(self, request: Request) -> CallerRequest:
        caller = self._context.authenticate(request.headers.get("authorization", ""))
        body = await self._read_body(request)
        key = request.headers.get("idempotency-key", "")
        if len(key) > _MAX_KEY_CHARACTERS:
            raise RefusedError(
                Refusal(
                    ErrorKind.MALFORMED_REQUEST,
                    f"Idempotency-Key has {len(key)} characters of at most {_MAX_KEY_CHARACTERS}",
                )
            )
        return CallerRequest(
            caller=caller,
            body=body,
            request_id=self._request_id(caller, key, request.url.path),
            is_keyed=bool(key),
            is_forwarded=FORWARDED_HEADER in request.headers,
        )

    def _request_id(self, caller: Caller, key: str, path: str) -> str:
        if not key:
            return f"{caller.workspace.name}/{uuid.uuid4().hex}"
        digest = hashlib.sha256(f"{path}\n{key}".encode()).hexdigest()[:32]
        return f"{caller.workspace.name}/key-{digest}"

    async def _read_body(self, request: Request) -> bytes:
        max_bytes = self._context.config().config.max_body_bytes
        body = bytearray()
        async for piece in request.stream():
            body += piece
            if len(body) > max_bytes:
                raise RefusedError(
                    Refusal(ErrorKind.BODY_TOO_LARGE, f"more than {max_bytes} bytes")
                )
        return bytes(body)

    async def _serve(
        self, request: Request, caller_request: CallerRequest, sink: AnswerSink, send: Send
    ) -> None:
        if not caller_request.is_keyed:
            run = self.make_run(request, caller_request)
            await _run_until_disconnect(request, run, sink)
            return
        answer = self._context.answers.find(caller_request.request_id)
        if answer is not None:
            if answer.body_digest != caller_request.body_digest:
                raise RefusedError(Refusal(ErrorKind.KEY_REUSED))
            await answer.follow(send)
            return
        await self._serve_keyed(request, caller_request, send)

    async def _serve_keyed(
        self, request: Request, caller_request: CallerRequest, send: Send
    ) -> None:
        """Run independently of the caller's connection, so that a retry can join the answer."""
        run = self.make_run(request, caller_request)
        answer = self._context.answers.add(caller_request.request_id, caller_request.body_digest)
        known: list[KnownKey] = []

        async def produce() -> None:
            retaining_sink = RetainingSink(answer)
            # A stop waits for the run even if its caller has disconnected.
            self._context.activity.running_requests += 1
            try:
                await run.run(retaining_sink)
            except KnownKeyError as error:
                known.append(error.known)
                self._context.answers.drop(caller_request.request_id)
                await retaining_sink.end()
            except RefusedError as error:
                # Not retained: the key may be used again, unless the request may have run.
                self._context.answers.drop(caller_request.request_id)
                await self._retain_refusal(retaining_sink, error.refusal)
            except Exception as error:
                emit(Event.INTERNAL_ERROR, error=repr(error))
                self._context.answers.drop(caller_request.request_id)
                await self._retain_refusal(retaining_sink, Refusal(ErrorKind.INTERNAL))
            finally:
                self._context.activity.running_requests -= 1
            if not answer.status:
                answer.status = ANSWERED_BY_PEER
                answer.notify_followers()

        self._context.spawn(produce())
        while not answer.status:
            await answer.wait()
        if answer.status == ANSWERED_BY_PEER:
            await self._forward_to_owner(request, caller_request, known[0] if known else None, send)
            return
        await answer.follow(send)

    async def _retain_refusal(self, sink: AnswerSink, refusal: Refusal) -> None:
        self._count_refusal(refusal)
        if sink.has_started:
            await sink.end()
            return
        await sink.send_complete(
            refusal.answer.status, refusal_headers(refusal), refusal_body(refusal)
        )

    async def _forward_to_owner(
        self, request: Request, caller_request: CallerRequest, known: KnownKey | None, send: Send
    ) -> None:
        """Forward a retry to the instance that runs or ran its key."""
        address = "" if known is None else self._context.owner_address(known)
        local_address = self._context.membership.local_member.callers_address
        if known is None or not address or address == local_address or caller_request.is_forwarded:
            raise RefusedError(_not_joinable(known))
        headers = {
            name: request.headers[name]
            for name in ("authorization", "idempotency-key", "content-type")
            if name in request.headers
        }
        headers[FORWARDED_HEADER] = "1"
        sink = CallerSink(send)
        url = f"http://{address}{request.url.path}"
        try:
            async with self._forward.stream(
                "POST", url, content=caller_request.body, headers=headers
            ) as response:
                passed_headers = {
                    name: value
                    for name, value in response.headers.items()
                    if name in _RELAYED_RESPONSE_HEADERS
                }
                await sink.start(response.status_code, passed_headers)
                async for piece in response.aiter_raw():
                    await sink.send(piece)
                await sink.end()
        except httpx.HTTPError as error:
            if sink.has_started:
                raise
            raise RefusedError(_not_joinable(known)) from error

    async def _refuse(self, sink: AnswerSink, send: Send, refusal: Refusal) -> None:
        self._count_refusal(refusal)
        if not sink.has_started:
            await send_refusal(send, refusal)

    def _count_refusal(self, refusal: Refusal) -> None:
        self._context.metrics.counts[f"refused_{refusal.kind.value}"] += 1
        emit(Event.REQUEST_REFUSED, kind=refusal.kind.value, detail=refusal.detail)


#: Pseudo status of an answer that a peer has to give, because it runs or ran the request.
ANSWERED_BY_PEER = -1

_RELAYED_RESPONSE_HEADERS = frozenset(
    {"content-type", "content-length", "x-request-id", "retry-after", "x-should-retry"}
)


def _not_joinable(known: KnownKey | None) -> Refusal:
    if known is None or not known.is_finished:
        return Refusal(ErrorKind.KEY_RUNNING)
    return Refusal(ErrorKind.ANSWER_NOT_KEPT)


async def _run_until_disconnect(request: Request, run: Run, sink: AnswerSink) -> None:
    """Run a request; cancel it and its upstream connection if its caller disconnects."""
    refused: RefusedError | None = None
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            while True:
                message = await request.receive()
                if message["type"] == "http.disconnect":
                    tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        try:
            await run.run(sink)
        except RefusedError as error:
            refused = error
        tasks.cancel_scope.cancel()
    if refused is not None:
        raise refused


class ChatEndpoint(Endpoint):
    """``POST /v1/chat/completions``."""

    def make_run(self, request: Request, caller_request: CallerRequest) -> Run:
        """Return the parsed chat completion."""
        return ChatRun(self._context, caller_request)


class ServiceEndpoint(Endpoint):
    """``POST /services/NAME/PATH``."""

    def make_run(self, request: Request, caller_request: CallerRequest) -> Run:
        """Return the call."""
        path = "/" + request.path_params["path"]
        return ServiceRun(
            self._context, self._claims, caller_request, request.path_params["service"], path
        )


def make_app(context: EntryContext, claims: IntentClaims) -> ASGIApp:
    """Return the application of one instance."""

    async def health(_: Request) -> Response:
        ready = context.config().offset > 0 and not context.activity.is_stop_announced
        body = {
            "ready": ready,
            "leaving": context.activity.is_stop_announced,
            "running": context.activity.running_requests,
            "config_offset": context.config().offset,
            "instance": context.membership.local_member.name,
            "data_centre": context.membership.data_centre,
        }
        return JSONResponse(body, status_code=200 if ready else 503)

    async def metrics(_: Request) -> Response:
        return PlainTextResponse(context.metrics.text())

    async def models(_: Request) -> Response:
        names = sorted(
            {name for u in context.config().config.upstreams.values() for name in u.serves}
        )
        return JSONResponse(
            {"object": "list", "data": [{"id": n, "object": "model"} for n in names]}
        )

    async def unknown(scope: Scope, receive: Receive, send: Send) -> None:
        await send_refusal(send, Refusal(ErrorKind.UNKNOWN_PATH, scope.get("path", "")))

    app = Starlette(
        routes=[
            Route("/v1/chat/completions", endpoint=ChatEndpoint(context, claims), methods=["POST"]),
            Route(
                "/services/{service}/{path:path}",
                endpoint=ServiceEndpoint(context, claims),
                methods=["POST"],
            ),
            Route("/v1/models", endpoint=models, methods=["GET"]),
            Route("/health", endpoint=health, methods=["GET"]),
            Route("/metrics", endpoint=metrics, methods=["GET"]),
        ]
    )
    app.router.default = unknown
    return app
