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

    started = False

    @abstractmethod
    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Accept status and headers."""

    @abstractmethod
    async def send(self, body: bytes) -> None:
        """Accept a piece of the body."""

    @abstractmethod
    async def end(self) -> None:
        """Accept the end of the answer."""

    async def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
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
        self.started = True
        pairs = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]
        await self._send({"type": "http.response.start", "status": status, "headers": pairs})

    async def send(self, body: bytes) -> None:
        """Send a piece of the body."""
        await self._send({"type": "http.response.body", "body": body, "more_body": True})

    async def end(self) -> None:
        """Send the end of the answer."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


@dataclass(slots=True)
class KeptAnswer:
    """An answer retained under an idempotency key, running or finished."""

    body_digest: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    pieces: list[bytes] = field(default_factory=list)
    size_bytes: int = 0
    finished: bool = False
    finished_at_s: float = 0.0
    _more: anyio.Event = field(default_factory=anyio.Event)

    def announce(self) -> None:
        """Wake the followers."""
        self._more.set()
        self._more = anyio.Event()

    async def wait(self) -> None:
        """Wait for more of the answer."""
        await self._more.wait()

    async def follow(self, send: Send) -> None:
        """Send the answer to a caller from its start, waiting for further pieces to its end."""
        while not self.status:
            await self.wait()
        sink = CallerSink(send)
        await sink.start(self.status, self.headers)
        position = 0
        while True:
            while position < len(self.pieces):
                await sink.send(self.pieces[position])
                position += 1
            if self.finished:
                break
            await self.wait()
        await sink.end()


class KeepingSink(AnswerSink):
    """Retains the answer for its followers."""

    def __init__(self, kept: KeptAnswer) -> None:
        self._kept = kept

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Retain status and headers."""
        self.started = True
        self._kept.status = status
        self._kept.headers = headers
        self._kept.announce()

    async def send(self, body: bytes) -> None:
        """Retain a piece of the body."""
        self._kept.pieces.append(body)
        self._kept.size_bytes += len(body)
        self._kept.announce()

    async def end(self) -> None:
        """Mark the answer as finished."""
        self._kept.finished = True
        self._kept.announce()


class AnswerStore:
    """The retained answers of an instance.

    Parameters
    ----------
    most_bytes
        Finished answers are dropped, oldest first, while the total size is above this.
    kept_s
        Finished answers are dropped after this many seconds.
    """

    def __init__(self, *, most_bytes: int = 8_000_000, kept_s: float = 600.0) -> None:
        self._most_bytes = most_bytes
        self._kept_s = kept_s
        self._answers: dict[str, KeptAnswer] = {}

    def __len__(self) -> int:
        return len(self._answers)

    def find(self, request_id: str) -> KeptAnswer | None:
        """Return the answer of a request, or None."""
        return self._answers.get(request_id)

    def open(self, request_id: str, body_digest: str) -> KeptAnswer:
        """Return a new, empty answer for a request."""
        kept = self._answers[request_id] = KeptAnswer(body_digest)
        return kept

    def drop(self, request_id: str) -> None:
        """Drop an answer, so that a retry is a new request."""
        self._answers.pop(request_id, None)

    def expire(self, now_s: float) -> None:
        """Drop finished answers that are too old or exceed the size limit."""
        size_bytes = sum(kept.size_bytes for kept in self._answers.values())
        for request_id, kept in list(self._answers.items()):
            if not kept.finished:
                continue
            if not kept.finished_at_s:
                kept.finished_at_s = now_s
            if size_bytes > self._most_bytes or now_s - kept.finished_at_s > self._kept_s:
                size_bytes -= kept.size_bytes
                del self._answers[request_id]
