"""Stand-in of a model engine: chat completions, whole and streamed, from a made-up model.

Run as ``python -m mothstand.standins.engine --address IP:PORT --name NAME``. The answer to a prompt
is a function of the prompt, so tests know what is right. Usage counts words of the prompt and
tokens made. With ``continue_final_message`` it goes on with the answer that the last message has
begun. With ``--orders=fenced`` or ``unfenced`` it serves only models that it was ordered to load,
and takes ``--load_s`` for that. For tests it serves ``GET /journal`` (every request that arrived,
and what became of it), ``GET /orders`` and ``POST /faults``.
"""

from __future__ import annotations

import heapq
import itertools
import json
import zlib
from collections import OrderedDict
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, Literal

import anyio
import fire
from pydantic import BaseModel
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..core.load_report import LOAD_FORMAT, LOAD_HEADER
from .engine_setup import SetupStandIn
from .serving import run_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import Receive, Scope, Send

_PREFIX_WORDS = 16
_CACHED_PREFIXES = 8


class EngineFaults(BaseModel):
    """How the engine fails.

    Parameters
    ----------
    mode
        ``refuse`` answers 503; ``crash`` takes the request and answers 500; ``truncate`` ends
        streams early without a marker; ``cross`` sends an event of another answer;
        ``silent_usage`` reports no usage.
    """

    mode: Literal["ok", "refuse", "crash", "truncate", "cross", "silent_usage"] = "ok"
    token_delay_s: float | None = None


@dataclass(slots=True)
class JournalEntry:
    """One request as the engine saw it."""

    request_id: str
    prompt: str
    prompt_tokens: int
    priority: int = 0
    completion_tokens: int = 0
    state: str = "running"
    cached: bool = False


def answer_tokens(prompt: str, count: int) -> list[str]:
    """Return the `count` tokens that the model makes of a prompt."""
    seed = zlib.crc32(prompt.encode())
    return [f"w{(seed + 7919 * position) % 10007} " for position in range(count)]


def _prompt_text(value: dict[str, Any]) -> str:
    messages = value["messages"][:-1] if _is_continuation(value) else value["messages"]
    return "\n".join(str(message.get("content", "")) for message in messages)


def _is_continuation(value: dict[str, Any]) -> bool:
    return bool(value.get("continue_final_message"))


def _continued_token_count(value: dict[str, Any]) -> int:
    """Return how many tokens of the answer the caller has already."""
    return len(value["messages"][-1]["content"].split()) if _is_continuation(value) else 0


class _Slots:
    """Slots of the batch; of those that wait, the lowest priority number goes first."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._numbers = itertools.count()

    @asynccontextmanager
    async def acquire(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot, after a wait for one."""
        waiter = (priority, next(self._numbers), anyio.Event())
        heapq.heappush(self._waiting, waiter)
        self._wake()
        try:
            await waiter[2].wait()
            yield
        finally:
            if waiter[2].is_set():
                self._free += 1
            else:
                self._waiting.remove(waiter)
                heapq.heapify(self._waiting)
            self._wake()

    def _wake(self) -> None:
        while self._free and self._waiting:
            self._free -= 1
            heapq.heappop(self._waiting)[2].set()


class EngineStandIn:
    """One engine.

    Parameters
    ----------
    token_delay_s
        Time between two tokens of a stream.
    prefill_s
        Time to the first token on a prefix that is not cached.
    slots
        Requests that run at once; more wait.
    """

    def __init__(
        self,
        name: str,
        token_delay_s: float,
        prefill_s: float,
        slots: int,
        chunk_tokens: int,
        setup: SetupStandIn,
    ) -> None:
        self._setup = setup
        self._name = name
        self._token_delay_s = token_delay_s
        self._prefill_s = prefill_s
        self._chunk_tokens = chunk_tokens
        self._slots = _Slots(slots)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._journal: list[JournalEntry] = []
        self._faults = EngineFaults()
        self._answer_count = 0
        self._slot_count = slots
        self._in_flight = 0

    async def complete(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a chat completion."""
        request = Request(scope, receive)
        value = await request.json()
        if self._faults.mode == "refuse":
            await JSONResponse({"error": "full"}, status_code=503)(scope, receive, send)
            return
        if not self._setup.can_serve(value.get("model")):
            await JSONResponse({"error": "not loaded"}, status_code=404)(scope, receive, send)
            return
        continued_tokens = _continued_token_count(value)
        prompt = _prompt_text(value)
        prompt_tokens = len(prompt.split()) + continued_tokens
        entry = JournalEntry(
            request.headers.get("x-request-id", ""),
            prompt,
            prompt_tokens,
            priority=int(value.get("priority", 0)),
        )
        self._journal.append(entry)
        if self._faults.mode == "crash":
            entry.state = "crashed"
            await Response(status_code=500)(scope, receive, send)
            return
        max_tokens = continued_tokens + int(value.get("max_tokens", 16))
        wanted_tokens = int(value.get("tokens_wanted", 16 + zlib.crc32(prompt.encode()) % 48))
        tokens = answer_tokens(prompt, min(max_tokens, wanted_tokens))[continued_tokens:]
        self._in_flight += 1
        try:
            await self._run(value, tokens, entry, receive, send)
        finally:
            self._in_flight -= 1
        if entry.state == "running":
            entry.state = "cancelled"

    async def _run(
        self,
        value: dict[str, Any],
        tokens: list[str],
        entry: JournalEntry,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer, unless the caller leaves first."""
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            async with self._slots.acquire(entry.priority):
                await self._prefill(entry.prompt, entry)
                if value.get("stream"):
                    await self._send_stream(value, tokens, entry, send)
                else:
                    await self._send_complete(value, tokens, entry, send)
            tasks.cancel_scope.cancel()

    async def journal(self, _: Request) -> Response:
        """Return every request that arrived."""
        return JSONResponse([asdict(entry) for entry in self._journal])

    async def set_faults(self, request: Request) -> Response:
        """Fail from now on as ordered."""
        self._faults = EngineFaults.model_validate_json(await request.body())
        return JSONResponse({})

    def app(self) -> Starlette:
        """Return the application."""
        app = Starlette(
            routes=[
                Route("/journal", self.journal, methods=["GET"]),
                Route("/faults", self.set_faults, methods=["POST"]),
                Route("/v1/setup", self._setup.get_setup, methods=["GET"]),
                Route("/v1/setup", self._setup.order, methods=["POST"]),
                Route("/orders", self._setup.journal, methods=["GET"]),
            ]
        )
        app.router.default = self.complete
        return app

    async def _prefill(self, prompt: str, entry: JournalEntry) -> None:
        prefix = " ".join(prompt.split()[:_PREFIX_WORDS])
        entry.cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > _CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        if not entry.cached and self._prefill_s:
            await anyio.sleep(self._prefill_s)

    async def _send_complete(
        self, value: dict[str, Any], tokens: list[str], entry: JournalEntry, send: Send
    ) -> None:
        if self._token_delay_s:
            await anyio.sleep(self._token_delay_s * len(tokens))
        entry.completion_tokens = len(tokens)
        entry.state = "finished"
        body: dict[str, Any] = self._response_head(value, "chat.completion")
        message = {"role": "assistant", "content": "".join(tokens)}
        body["choices"] = [{"index": 0, "message": message, "finish_reason": "stop"}]
        if self._faults.mode != "silent_usage":
            body["usage"] = self._usage(entry)
        response = JSONResponse(body)
        headers = [*response.raw_headers, self._load_header()]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    async def _send_stream(
        self, value: dict[str, Any], tokens: list[str], entry: JournalEntry, send: Send
    ) -> None:
        headers = [(b"content-type", b"text/event-stream"), self._load_header()]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        head = self._response_head(value, "chat.completion.chunk")
        delay_s = self._faults.token_delay_s
        delay_s = self._token_delay_s if delay_s is None else delay_s
        for start in range(0, len(tokens), self._chunk_tokens):
            piece = tokens[start : start + self._chunk_tokens]
            entry.completion_tokens += len(piece)
            if self._faults.mode == "truncate" and start > len(tokens) // 2:
                entry.state = "truncated"
                await send({"type": "http.response.body", "body": b""})
                return
            chunk_head = head
            if self._faults.mode == "cross" and start > len(tokens) // 2:
                chunk_head = {**head, "id": "chatcmpl-of-another"}
            delta = {"content": "".join(piece)}
            choices = [{"index": 0, "delta": delta, "finish_reason": None}]
            await self._send_event(send, {**chunk_head, "choices": choices}, entry)
            if delay_s:
                await anyio.sleep(delay_s * len(piece))
        finish = [{"index": 0, "delta": {}, "finish_reason": "stop"}]
        await self._send_event(send, {**head, "choices": finish}, entry)
        await self._send_event(send, {**head, "choices": []}, entry)
        entry.state = "finished"
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    async def _send_event(self, send: Send, event: dict[str, Any], entry: JournalEntry) -> None:
        if self._faults.mode != "silent_usage":
            event["usage"] = self._usage(entry)
        data = b"data: " + json.dumps(event).encode() + b"\n\n"
        await send({"type": "http.response.body", "body": data, "more_body": True})

    def _response_head(self, value: dict[str, Any], kind: str) -> dict[str, Any]:
        self._answer_count += 1
        answer_id = f"chatcmpl-{self._name}-{self._answer_count}"
        return {"id": answer_id, "object": kind, "created": 0, "model": value["model"]}

    def _load_header(self) -> tuple[bytes, bytes]:
        running = min(self._in_flight, self._slot_count)
        named = {
            "num_requests_running": running,
            "num_requests_waiting": self._in_flight - running,
        }
        text = f"{LOAD_FORMAT} {json.dumps({'named_metrics': named})}"
        return LOAD_HEADER.encode(), text.encode()

    def _usage(self, entry: JournalEntry) -> dict[str, int]:
        return {
            "prompt_tokens": entry.prompt_tokens,
            "completion_tokens": entry.completion_tokens,
            "total_tokens": entry.prompt_tokens + entry.completion_tokens,
        }


def main(
    address: str,
    name: str,
    token_delay_s: float = 0.002,
    prefill_s: float = 0.01,
    slots: int = 16,
    chunk_tokens: int = 1,
    orders: str = "none",
    load_s: float = 0.5,
) -> None:
    """Serve the stand-in at ``IP:PORT``."""
    setup = SetupStandIn(orders, load_s)
    engine = EngineStandIn(name, token_delay_s, prefill_s, slots, chunk_tokens, setup)
    run_app(engine.app(), address)


if __name__ == "__main__":
    fire.Fire(main)
