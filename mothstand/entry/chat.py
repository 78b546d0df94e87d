"""Chat completions: runs a request, complete or streamed; after a failure on another engine."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pydantic import ValidationError

from ..core.config import OrderCheck
from ..core.routing import RouteCall
from ..core.stream_check import BrokenStreamError, PartialAnswer, StreamCheck, read_usage
from ..errors import ErrorKind, Refusal, RefusedError
from ..events import Event, emit
from ..histograms import record_s
from ..upstreams.client import NOT_RUN_STATUSES, MayHaveRunError, NotRunError
from .answers import REQUEST_ID_HEADER, refusal_event
from .budgeted import Attempt, Budgeted, Charge, choose_upstream, try_upstreams
from .chat_body import ChatBody, engine_body

if TYPE_CHECKING:
    import httpx

    from ..core.config import FleetConfig, Upstream
    from .context import CallerRequest, EntryContext
    from .sinks import AnswerSink

ENGINE_PATH = "/v1/chat/completions"

_NOT_FOUND = 404

#: Upper bound of the tokens that a chat template adds to each message.
_TOKENS_PER_MESSAGE = 16


class ChatRun:
    """One chat completion from its parsed body to its answer."""

    def __init__(self, context: EntryContext, request: CallerRequest) -> None:
        self._context = context
        self._request = request
        self._started_s = context.clock.monotonic_s()
        self._config: FleetConfig = context.config().config
        self._body = self._parse(request.body)
        self._partial_answer = PartialAnswer()
        self._max_tokens = (
            self._body.max_completion_tokens
            or self._body.max_tokens
            or self._config.default_max_tokens
        )
        self._check_model()

    @property
    def bound_tokens(self) -> int:
        """Upper bound of the usage: no tokenizer makes more tokens than the text has bytes."""
        prompt = len(self._request.body) + _TOKENS_PER_MESSAGE * len(self._body.messages)
        return prompt + self._config.prompt_overhead_tokens + self._max_tokens

    async def run(self, sink: AnswerSink) -> None:
        """Reserve, dispatch and answer.

        Raises
        ------
        RefusedError
            Only if nothing of an answer has been sent.
        """
        # Checked before the reservation, so that a request without an upstream holds no tokens.
        choose_upstream(self._context, self._request, self._route(frozenset()))
        async with Budgeted(self._context, self._request, self.bound_tokens) as charge:
            await self._dispatch(charge, sink)

    def _parse(self, body: bytes) -> ChatBody:
        try:
            return ChatBody.model_validate_json(body)
        except ValidationError as error:
            fault = error.errors()[0]
            where = ".".join(str(part) for part in fault["loc"]) or "body"
            raise RefusedError(
                Refusal(ErrorKind.MALFORMED_REQUEST, f"{where}: {fault['msg']}")
            ) from error

    def _check_model(self) -> None:
        model = self._body.model
        allowed = self._request.caller.workspace.models
        if allowed and model not in allowed:
            raise RefusedError(Refusal(ErrorKind.MODEL_NOT_ALLOWED, f"model: {model!r}"))
        if not self._config.upstreams_serving(model):
            raise RefusedError(Refusal(ErrorKind.UNKNOWN_MODEL, f"model: {model!r}"))

    def _route(self, tried: frozenset[str]) -> RouteCall:
        return RouteCall(
            serves=self._body.model,
            prefix=self._body.prefix,
            priority=self._request.caller.workspace.priority,
            tried_upstreams=tried,
            must_resume=self._partial_answer.has_begun,
        )

    async def _dispatch(self, charge: Charge, sink: AnswerSink) -> None:
        async def attempt(upstream: Upstream, number: int) -> None:
            await self._attempt(upstream, number, charge, sink)

        # A completion may run again until a part of it has reached the caller. After that it may
        # only be continued. Only one run's usage is billed.
        try:
            await try_upstreams(self._context, self._request, self._route, attempt)
        except RefusedError as refused:
            if not sink.has_started:
                raise
            await self._end_broken_answer(sink, refused.refusal.detail)

    async def _attempt(
        self, upstream: Upstream, number: int, charge: Charge, sink: AnswerSink
    ) -> None:
        headers = {
            "content-type": "application/json",
            REQUEST_ID_HEADER: f"{self._request.request_id}/{number}",
        }
        with Attempt(self._context, upstream) as attempt:
            try:
                sending = self._context.upstreams.send(
                    upstream, ENGINE_PATH, self._engine_body(), headers=headers
                )
                async with sending as response:
                    attempt.apply_load_report(response)
                    _check_loaded(upstream, response)
                    await self._relay_answer(response, charge, sink)
            except NotRunError as error:
                attempt.note_failure(error)
                raise
            except (MayHaveRunError, BrokenStreamError) as error:
                attempt.note_failure(error)
                if self._partial_answer.is_complete(self._max_tokens):
                    await sink.send(
                        self._partial_answer.closing_events(wants_usage=self._wants_usage)
                    )
                    await sink.end()
                    return
                self._check_can_continue(sink, upstream, error)
                raise MayHaveRunError(str(error)) from error

    def _check_can_continue(self, sink: AnswerSink, upstream: Upstream, error: Exception) -> None:
        """Refuse if the caller has a part of the answer that another engine cannot continue."""
        if not sink.has_started:
            self._partial_answer = PartialAnswer()
            return
        if not (self._partial_answer.can_continue and self._body.can_continue):
            raise RefusedError(Refusal(ErrorKind.ANSWER_BROKEN, str(error))) from error
        emit(
            Event.ANSWER_CONTINUED,
            request_id=self._request.request_id,
            upstream=upstream.name,
            left_tokens=self._remaining_tokens(),
        )

    @property
    def _wants_usage(self) -> bool:
        options = self._body.stream_options
        return bool(options and options.include_usage)

    def _remaining_tokens(self) -> int:
        usage = self._partial_answer.usage
        return self._max_tokens - (usage.completion_tokens if usage is not None else 0)

    def _engine_body(self) -> bytes:
        return engine_body(
            self._request.body,
            max_tokens=self._remaining_tokens(),
            priority=self._request.caller.workspace.priority,
            stream=self._body.stream,
            partial_text=self._partial_answer.text,
        )

    async def _relay_answer(
        self, response: httpx.Response, charge: Charge, sink: AnswerSink
    ) -> None:
        if response.status_code in NOT_RUN_STATUSES:
            raise NotRunError(f"the engine says that it did not run it: {response.status_code}")
        if response.status_code >= 500:
            raise MayHaveRunError(f"status {response.status_code}")
        if response.status_code != 200:
            body = await response.aread()
            detail = body[:200].decode(errors="replace")
            raise RefusedError(Refusal(ErrorKind.UPSTREAM_REFUSED, detail))
        if self._body.stream:
            await self._relay_stream(response, charge, sink)
        else:
            await self._relay_complete(response, charge, sink)

    async def _relay_complete(
        self, response: httpx.Response, charge: Charge, sink: AnswerSink
    ) -> None:
        body = await response.aread()
        try:
            usage = read_usage(json.loads(body))
        except ValueError as error:
            raise MayHaveRunError("the engine's answer is not JSON") from error
        # Without reported usage the bound is billed: the usage could be anything up to it.
        charge.used_tokens = usage.total_tokens if usage else charge.bound_tokens
        self._note_first_byte()
        await sink.send_complete(200, self._answer_headers("application/json"), body)

    async def _relay_stream(
        self, response: httpx.Response, charge: Charge, sink: AnswerSink
    ) -> None:
        check = StreamCheck(wants_usage=self._wants_usage, prior_answer=self._partial_answer)
        async for data in response.aiter_raw():
            try:
                events = check.feed(data)
            except BrokenStreamError as error:
                await self._relay_events(error.valid_events, check, charge, sink)
                raise
            await self._relay_events(events, check, charge, sink)
        check.finish()
        if not check.has_reported_usage:
            charge.used_tokens = charge.bound_tokens
        await sink.end()

    async def _relay_events(
        self, events: bytes, check: StreamCheck, charge: Charge, sink: AnswerSink
    ) -> None:
        if check.usage is not None:
            charge.used_tokens = check.usage.total_tokens
        if events:
            if not sink.has_started:
                self._note_first_byte()
                await sink.start(200, self._answer_headers("text/event-stream"))
            await sink.send(events)
        if charge.used_tokens > charge.bound_tokens:
            detail = "the engine went past the request's max_tokens"
            raise RefusedError(Refusal(ErrorKind.ANSWER_BROKEN, detail))

    def _answer_headers(self, content_type: str) -> dict[str, str]:
        return {"content-type": content_type, REQUEST_ID_HEADER: self._request.request_id}

    def _note_first_byte(self) -> None:
        elapsed_s = self._context.clock.monotonic_s() - self._started_s
        record_s(self._context.metrics.first_byte_us, elapsed_s)
        self._context.metrics.counts["answers"] += 1

    async def _end_broken_answer(self, sink: AnswerSink, detail: str) -> None:
        """End an incomplete answer with an error event, so that it does not pass for complete."""
        refusal = Refusal(ErrorKind.ANSWER_BROKEN, detail)
        emit(Event.ANSWER_BROKEN, request_id=self._request.request_id, detail=detail)
        await sink.send(refusal_event(refusal))
        await sink.end()


def _check_loaded(upstream: Upstream, response: httpx.Response) -> None:
    """Treat "not found" from an engine that accepts orders as "model not loaded yet"."""
    if response.status_code == _NOT_FOUND and upstream.orders is not OrderCheck.NONE:
        raise NotRunError(f"{upstream.name} has not loaded the model yet")
