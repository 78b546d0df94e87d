"""Sinks of answers: send to the caller, or retain the answer so that retries can join it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from starlette.types import Send


class AnswerSink(ABC):
    """Receives one answer: its start, its body in pieces, then its end."""

    has_started = False

    @abstractmethod
    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Accept status and headers."""

    @abstractmethod
    async def send(self, body: bytes) -> None:
        """Accept a piece of the body."""

    @abstractmethod
    async def end(self) -> None:
        """Accept the end of the answer."""

    async def send_complete(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Accept a complete answer."""
        await self.start(status, {**headers, "content-length": str(len(body))})
        await self.send(body)
        await self.end()


class CallerSink(AnswerSink):
    """Sends to the caller directly; a slow caller slows the upstream, since nothing is buffered."""

    def __init__(self, send: Send) -> None:
        self._send = send

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        self.has_started = True
        pairs = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]
        await self._send({"type": "http.response.start", "status": status, "headers": pairs})

    async def send(self, body: bytes) -> None:
        """Send a piece of the body."""
        await self._send({"type": "http.response.body", "body": body, "more_body": True})

    async def end(self) -> None:
        """Send the end of the answer."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


@dataclass(slots=True)
class RetainedAnswer:
    """An answer retained under an idempotency key, running or finished."""

    body_digest: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    pieces: list[bytes] = field(default_factory=list)
    size_bytes: int = 0
    is_finished: bool = False
    finished_at_s: float = 0.0
    _change_event: anyio.Event = field(default_factory=anyio.Event)

    def notify_followers(self) -> None:
        """Wake the followers."""
        self._change_event.set()
        self._change_event = anyio.Event()

    async def wait(self) -> None:
        """Wait for more of the answer."""
        await self._change_event.wait()

    async def follow(self, send: Send) -> None:
        """Send the answer to a caller from its start and wait for further pieces until its end."""
        while not self.status:
            await self.wait()
        sink = CallerSink(send)
        await sink.start(self.status, self.headers)
        position = 0
        while True:
            while position < len(self.pieces):
                await sink.send(self.pieces[position])
                position += 1
            if self.is_finished:
                break
            await self.wait()
        await sink.end()


class RetainingSink(AnswerSink):
    """Retains the answer for its followers."""

    def __init__(self, answer: RetainedAnswer) -> None:
        self._answer = answer

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Retain status and headers."""
        self.has_started = True
        self._answer.status = status
        self._answer.headers = headers
        self._answer.notify_followers()

    async def send(self, body: bytes) -> None:
        """Retain a piece of the body."""
        self._answer.pieces.append(body)
        self._answer.size_bytes += len(body)
        self._answer.notify_followers()

    async def end(self) -> None:
        """Mark the answer as finished."""
        self._answer.is_finished = True
        self._answer.notify_followers()


class AnswerStore:
    """The retained answers of an instance.

    Parameters
    ----------
    max_bytes
        Finished answers are dropped, oldest first, while the total size is above this.
    retention_s
        Finished answers are dropped after this many seconds.
    """

    def __init__(self, *, max_bytes: int = 8_000_000, retention_s: float = 600.0) -> None:
        self._max_bytes = max_bytes
        self._retention_s = retention_s
        self._answers: dict[str, RetainedAnswer] = {}

    def __len__(self) -> int:
        return len(self._answers)

    def find(self, request_id: str) -> RetainedAnswer | None:
        """Return the answer of a request, or None."""
        return self._answers.get(request_id)

    def add(self, request_id: str, body_digest: str) -> RetainedAnswer:
        """Return a new, empty answer for a request."""
        answer = self._answers[request_id] = RetainedAnswer(body_digest)
        return answer

    def drop(self, request_id: str) -> None:
        """Drop an answer, so that a retry is a new request."""
        self._answers.pop(request_id, None)

    def expire(self, now_s: float) -> None:
        """Drop finished answers that are too old or exceed the size limit."""
        size_bytes = sum(answer.size_bytes for answer in self._answers.values())
        for request_id, answer in list(self._answers.items()):
            if not answer.is_finished:
                continue
            if not answer.finished_at_s:
                answer.finished_at_s = now_s
            if size_bytes > self._max_bytes or now_s - answer.finished_at_s > self._retention_s:
                size_bytes -= answer.size_bytes
                del self._answers[request_id]
