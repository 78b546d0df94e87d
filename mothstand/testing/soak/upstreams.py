"""Stand-ins of upstreams that reject, fail, break off, and send bytes that belong to no answer."""

from __future__ import annotations

import json
import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from itertools import pairwise
from typing import TYPE_CHECKING, cast

import anyio
from anyio.abc import SocketAttribute
from anyio.streams.buffered import BufferedByteReceiveStream

from ..registrations import registration
from .records import Kind, Run, event

if TYPE_CHECKING:
    import random

    from anyio.abc import SocketListener, SocketStream, TaskGroup

    from .records import SoakLog

_MAX_HEAD_BYTES = 65_536
_OK = 200
_MISDIRECTED = 421
_FULL = 503

#: Connections that wait while none are accepted.
_BACKLOG = 8

#: Longest times for which a request waits unread, and between two pieces of an answer.
_MAX_UNREAD_S = 0.8
_MAX_SPLIT_S = 0.3

_INTERIM_ANSWERS = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
)

#: Closes a socket with a reset.
_RESET = struct.pack("ii", 1, 0)


class Framing(Enum):
    """What marks the end of a body."""

    SIZED = "Content-Length"
    CHUNKED = "chunked"
    CLOSE = "the end of the connection"


class Extra(Enum):
    """Bytes behind a complete answer."""

    COPY = "the answer once more"
    ANONYMOUS_COPY = "the answer once more, without its id"
    PART = "a part of the answer once more"
    GARBAGE = "bytes that are no answer"


class ExtraTime(Enum):
    """When an extra is sent."""

    GLUED = "with the answer"
    IDLE = "soon after the answer"
    LATE = "when the next request has arrived"


@dataclass(frozen=True, slots=True)
class FaultShares:
    """Shares of requests that meet a fault, each from 0 to 1.

    Parameters
    ----------
    rejected
        Rejected, not run.
    failed
        Run, answered with a server error, or with the status of a rejection.
    timed_out
        Run up to the deadline, answered with 504.
    lost
        Run, and the connection ends before the answer.
    broken
        Run, and the answer ends at any byte.
    silent
        Run, and never answered.
    extra
        Complete answers, rejections too, with bytes behind them.
    split
        Answers and events that are sent in pieces, cut at any byte, with pauses.
    unread
        Requests that wait unread, with what is behind them on their connection.
    closed
        Complete answers, rejections too, whose connection ends soon after them, said or not.
    early
        Rejections that are sent before the body is read.
    interim
        Answers behind an interim one.
    turned_away
        Connections that are reset when they are accepted, as over a limit.
    """

    rejected: float = 0.0
    failed: float = 0.0
    timed_out: float = 0.0
    lost: float = 0.0
    broken: float = 0.0
    silent: float = 0.0
    extra: float = 0.0
    split: float = 0.0
    unread: float = 0.0
    closed: float = 0.0
    early: float = 0.0
    interim: float = 0.0
    turned_away: float = 0.0

    @classmethod
    def draw(cls, rng: random.Random) -> FaultShares:
        """Return shares of some of the faults."""

        def share(highest: float) -> float:
            return rng.uniform(0.1, 1.0) * highest if rng.random() < 0.7 else 0.0

        return cls(
            share(0.5),
            share(0.1),
            share(0.03),
            share(0.05),
            share(0.1),
            share(0.02),
            share(0.3),
            share(0.3),
            share(0.1),
            share(0.3),
            share(1.0),
            share(0.2),
            share(0.2),
        )


class _ConnectionEndError(Exception):
    """The upstream ends the connection."""


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    headers: dict[str, str]

    @property
    def body_bytes(self) -> int:
        return int(self.headers.get("content-length", 0))

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class FaultyUpstream:
    """One incarnation of an upstream.

    Parameters
    ----------
    stream_events, event_s
        Number of events of a complete stream, and the longest time between two.
    slots
        Requests that run at once; others are rejected.
    """

    def __init__(
        self,
        upstream_id: str,
        service: str,
        data_centre: str,
        version: str,
        log: SoakLog,
        rng: random.Random,
        shares: FaultShares,
        stream_events: int,
        event_s: float,
        slots: int = 12,
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.shares = shares
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self._data_centre = data_centre
        self.version = version
        self._log = log
        self._rng = rng
        self._stream_events = stream_events
        self._event_s = event_s
        self._slots = slots
        self._running = 0
        self._stalled_until_s = 0.0
        self._scope = anyio.CancelScope()

    def entry(self, *, is_draining: bool = False) -> dict[str, object]:
        """Return its registration."""
        entry = registration(
            self.service,
            self.address,
            data_centre=self._data_centre,
            born_ms=self.born_ms,
            version=self.version,
        )
        return {**entry, "slots": self._slots, "state": "draining" if is_draining else "ready"}

    async def start(self, tasks: TaskGroup, port: int = 0) -> None:
        """Listen, at an unused port if none is given."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port, backlog=_BACKLOG, reuse_port=False
        )
        own_port = listener.extra(SocketAttribute.local_port)
        self.address = f"127.0.0.1:{own_port}"
        tasks.start_soon(self._listen, cast("SocketListener", listener.listeners[0]))

    def crash(self) -> None:
        """End at once; all connections are reset."""
        self._scope.cancel()

    def stall(self, stalled_s: float) -> None:
        """Accept no connection and read no request for some seconds."""
        self._stalled_until_s = time.monotonic() + stalled_s

    async def _await_stall(self) -> None:
        while (left_s := self._stalled_until_s - time.monotonic()) > 0:
            await anyio.sleep(left_s)

    async def _listen(self, listener: SocketListener) -> None:
        with self._scope:
            try:
                async with anyio.create_task_group() as tasks:
                    while True:
                        tasks.start_soon(self._serve, await listener.accept())
                        await self._await_stall()
            finally:
                with anyio.CancelScope(shield=True):
                    await listener.aclose()

    async def _serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        late = b""
        try:
            if self._draw(self.shares.turned_away):
                raise self._end(stream, must_reset=True)
            while True:
                request = await _read_head(reader)
                if late:
                    await stream.send(late)
                await self._await_stall()
                if self._draw(self.shares.unread):
                    await anyio.sleep(self._rng.uniform(0.0, _MAX_UNREAD_S))
                late = await self._answer(stream, reader, request)
        except (_ConnectionEndError, anyio.EndOfStream, anyio.IncompleteRead):
            pass
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        except anyio.get_cancelled_exc_class():
            _reset(stream)
            raise
        finally:
            with anyio.CancelScope(shield=True), suppress(OSError):
                await stream.aclose()

    async def _answer(
        self, stream: SocketStream, reader: BufferedByteReceiveStream, request: _Request
    ) -> bytes:
        """Answer a request; return the bytes to send when the next one has arrived."""
        if request.method == "GET":
            report = json.dumps({"born": self.born_ms, "running": self._running}).encode()
            return await self._send_sized(stream, _OK, [], report)
        status = self._rejection(request)
        if status and self._draw(self.shares.early):
            late = await self._reject(stream, request, status)
            await anyio.sleep(self._rng.uniform(0.0, 0.05))
            await self._read_subject(reader, request)
            return late
        subject = await self._read_subject(reader, request)
        if status:
            return await self._reject(stream, request, status)
        self._running += 1
        try:
            return await self._run(stream, request, subject)
        finally:
            self._running -= 1

    def _rejection(self, request: _Request) -> int:
        """Return the status of a request that is not run, or 0."""
        if request.headers.get("x-expected-instance") != self.upstream_id:
            return _MISDIRECTED
        if self._running >= self._slots or self._draw(self.shares.rejected):
            return self._rng.choice((_FULL, 429))
        return 0

    async def _read_subject(self, reader: BufferedByteReceiveStream, request: _Request) -> str:
        body = await reader.receive_exactly(request.body_bytes)
        try:
            subject = str(json.loads(body)["subject"])
        except ValueError:
            subject = ""
        if not request.request_id.startswith(subject) or not subject:
            self._log.foreign_bodies[request.request_id] = body[:80]
        return subject

    async def _reject(self, stream: SocketStream, request: _Request, status: int) -> bytes:
        headers = [("X-Request-Id", request.request_id), ("X-Not-Executed", "1")]
        await self._send_interim(stream)
        return await self._send_sized(stream, status, headers, b"")

    async def _send_interim(self, stream: SocketStream) -> None:
        if self._draw(self.shares.interim):
            await self._send(stream, self._rng.choice(_INTERIM_ANSWERS))

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        """Send bytes at once, or in pieces with pauses."""
        cuts = []
        if len(data) > 1 and self._draw(self.shares.split):
            cuts = sorted(self._rng.randrange(1, len(data)) for _ in range(self._rng.randint(1, 4)))
            head_end = data.find(b"\r\n\r\n") + 4
            if self._rng.random() < 0.5 and 4 <= head_end < len(data):
                cuts = [head_end]
        for begin, end in pairwise([0, *cuts, len(data)]):
            if begin:
                await anyio.sleep(self._rng.uniform(0.0, _MAX_SPLIT_S))
            await stream.send(data[begin:end])

    async def _run(self, stream: SocketStream, request: _Request, subject: str) -> bytes:
        kind = Kind(request.path)
        run = Run(self.upstream_id, self.version, time.monotonic(), _OK, "", b"")
        runs = self._log.runs[request.request_id]
        runs.append(run)
        run.signature = f"{self.upstream_id}.{request.request_id}.{len(runs)}"
        self._log.write(run.began_s, f"{self.upstream_id} runs {request.request_id}")
        await anyio.sleep(self._rng.uniform(0.002, 0.05))
        if self._draw(self.shares.lost):
            raise self._end(stream)
        if self._draw(self.shares.silent):
            await anyio.sleep_forever()
        if self._draw(self.shares.timed_out):
            await anyio.sleep(int(request.headers["x-deadline-milliseconds"]) / 1000)
            run.status = 504
        elif self._draw(self.shares.failed):
            # Without `X-Not-Executed` no status says that a request has not run.
            run.status = self._rng.choice((500, _FULL, 429))
        await self._send_interim(stream)
        headers = [("X-Request-Id", request.request_id), ("X-Server-Signature", run.signature)]
        if kind.is_stream and run.status == _OK:
            return await self._send_stream(stream, request, run, headers, subject)
        run.body = json.dumps(
            {"subject": subject, "fill": "x" * self._rng.randrange(3000)}
        ).encode()
        return await self._send_whole(stream, run, headers)

    async def _send_whole(
        self, stream: SocketStream, run: Run, headers: list[tuple[str, str]]
    ) -> bytes:
        framing = self._rng.choice(list(Framing))
        data = _head(self._rng, run.status, framing, headers, run.body) + _encode(framing, run.body)
        if self._draw(self.shares.broken):
            await self._send(stream, data[: self._rng.randrange(1, len(data) - 1)])
            # Without a length, only a reset shows that the body is not complete.
            raise self._end(stream, must_reset=framing is Framing.CLOSE)
        if framing is Framing.CLOSE:
            await self._send(stream, data)
            raise _ConnectionEndError
        if framing is Framing.CHUNKED:
            return await self._send_with_extra(stream, data)
        return await self._send_sized(stream, run.status, headers, run.body)

    async def _send_stream(
        self,
        stream: SocketStream,
        request: _Request,
        run: Run,
        headers: list[tuple[str, str]],
        subject: str,
    ) -> bytes:
        framing = self._rng.choice(list(Framing))
        headers = [*headers, ("Content-Type", "text/event-stream")]
        first = int(request.headers.get("last-event-id") or 0) + 1
        last = self._stream_events
        break_at = self._rng.randint(first, last + 1) if self._draw(self.shares.broken) else 0
        events = [event(number, subject, self.version) for number in range(first, last + 1)]
        await self._send(stream, _head(self._rng, _OK, framing, headers, b"".join(events)))
        for number, raw in enumerate(events, first):
            await anyio.sleep(self._rng.uniform(0.0, self._event_s))
            run.body += raw
            data = _encode_piece(framing, raw)
            if number == break_at:
                cut = self._rng.randrange(1, len(data) - (1 if framing is Framing.CLOSE else 0))
                await self._send(stream, data[:cut])
                raise self._end(stream)
            await self._send(stream, data)
        if framing is Framing.CLOSE:
            if self._draw(self.shares.extra):
                self._log.extras += 1
                await self._send(
                    stream, self._extra(_head(self._rng, _OK, framing, headers) + run.body)
                )
            raise _ConnectionEndError
        if break_at > last:
            raise self._end(stream)
        end = b"0\r\n\r\n" if framing is Framing.CHUNKED else b""
        return await self._send_with_extra(stream, end, (headers, run.body))

    async def _send_sized(
        self, stream: SocketStream, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> bytes:
        data = _head(self._rng, status, Framing.SIZED, headers, body) + body
        return await self._send_with_extra(stream, data)

    async def _send_with_extra(
        self,
        stream: SocketStream,
        data: bytes,
        streamed: tuple[list[tuple[str, str]], bytes] | None = None,
    ) -> bytes:
        """Send an answer, or the end of a stream; return the extra bytes to send later."""
        if self._draw(self.shares.closed):
            if streamed is None and self._rng.random() < 0.5:
                data = data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
            await self._send(stream, data)
            await anyio.sleep(self._rng.choice((0.0, self._rng.uniform(0.0, 0.05))))
            raise self._end(stream)
        if not self._draw(self.shares.extra):
            await self._send(stream, data)
            return b""
        answer = data
        if streamed is not None:
            headers, body = streamed
            answer = _head(self._rng, _OK, Framing.SIZED, headers, body) + body
        extra = self._extra(answer)
        self._log.extras += 1
        when = self._rng.choice(list(ExtraTime))
        if when is ExtraTime.GLUED:
            await self._send(stream, data + extra)
            return b""
        await self._send(stream, data)
        if when is ExtraTime.LATE:
            return extra
        await anyio.sleep(self._rng.uniform(0.0, 0.01))
        cut = self._rng.randrange(1, len(extra) + 1)
        await self._send(stream, extra[:cut])
        return extra[cut:] if self._rng.random() < 0.5 else b""

    def _extra(self, answer: bytes) -> bytes:
        match self._rng.choice(list(Extra)):
            case Extra.COPY:
                return answer
            case Extra.ANONYMOUS_COPY:
                lines = answer.split(b"\r\n")
                return b"\r\n".join(line for line in lines if not line.startswith(b"X-Request-Id"))
            case Extra.PART:
                return answer[: self._rng.randrange(1, len(answer))]
            case _:
                return self._rng.randbytes(self._rng.randrange(1, 200))

    def _draw(self, share: float) -> bool:
        return self._rng.random() < share

    def _end(self, stream: SocketStream, *, must_reset: bool = False) -> _ConnectionEndError:
        if must_reset or self._rng.random() < 0.5:
            _reset(stream)
        return _ConnectionEndError()


def _reset(stream: SocketStream) -> None:
    """Let the close of a connection reset it."""
    with suppress(OSError, AttributeError):
        # A connection that its other end has closed has no socket any more.
        sock = stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


async def _read_head(reader: BufferedByteReceiveStream) -> _Request:
    head = await reader.receive_until(b"\r\n\r\n", _MAX_HEAD_BYTES)
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    method, path, _ = first_line.split(" ")
    return _Request(method, path, headers)


def _head(
    rng: random.Random,
    status: int,
    framing: Framing,
    headers: list[tuple[str, str]],
    body: bytes = b"",
) -> bytes:
    """Return the head of an answer with its headers in any order."""
    framing_headers = {
        Framing.SIZED: [("Content-Length", str(len(body)))],
        Framing.CHUNKED: [("Transfer-Encoding", "chunked")],
        Framing.CLOSE: [("Connection", "close")],
    }[framing]
    fields = [f"{k}: {v}" for k, v in (*headers, *framing_headers)]
    rng.shuffle(fields)
    lines = [f"HTTP/1.1 {status} X", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _encode_piece(framing: Framing, data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if framing is Framing.CHUNKED else data


def _encode(framing: Framing, body: bytes) -> bytes:
    return _encode_piece(framing, body) + (b"0\r\n\r\n" if framing is Framing.CHUNKED else b"")
