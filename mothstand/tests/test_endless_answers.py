"""Tests that an upstream that never stops sending costs bounded memory and time."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import pytest

from ..clock import SystemClock
from ..core.answer_limits import MAX_BODY_BYTES, MAX_EVENT_BYTES
from ..core.event_stream import EventSplitter, EventTooLongError
from ..core.upstreams import RegisteredUpstream
from ..gateway.answer_bodies import AnswerBodies
from ..gateway.upstream_client import (
    AnswerTooLongError,
    MayHaveRunError,
    OutgoingRequest,
    RefusedByUpstreamError,
    UpstreamAnswer,
    UpstreamClient,
)
from ..platform.headers import PlatformHeaders
from ..testing.budget_fleet import gateway_settings
from ..testing.eligibility import CALLER_MEMORY_BYTES, caller_memory
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Bytes that an endless server sends at most, and those that may wait in sockets and buffers.
_SENT_BYTES = 256_000_000
_BUFFERED_BYTES = 16_000_000

_PIECE = b"x" * 262_144
_FIELDS = b"X-Request-Id: r\r\n"
_SETTINGS = gateway_settings("me", DataCentre("a"))
_REQUEST = OutgoingRequest("POST", "/", "r", b"")

#: Longest time within which a client must give an endless answer up.
_GIVE_UP_S = 4.0

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the client library needs."""
    return "asyncio"


@dataclass(slots=True)
class EndlessServer:
    """Server that sends a beginning and then the same piece until the client closes.

    Parameters
    ----------
    after_s
        Seconds between the beginning and the first piece.
    """

    beginning: bytes
    piece: bytes = _PIECE
    after_s: float = 0.0
    sent_bytes: int = 0
    is_closed: bool = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(self.beginning)
            await writer.drain()
            await asyncio.sleep(self.after_s)
            while self.sent_bytes < _SENT_BYTES:
                writer.write(self.piece)
                await writer.drain()
                self.sent_bytes += len(self.piece)
        except OSError:
            self.is_closed = True
        writer.close()


@asynccontextmanager
async def _client_of(
    server: EndlessServer,
) -> AsyncIterator[tuple[UpstreamClient, RegisteredUpstream]]:
    listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    client = UpstreamClient(_SETTINGS, PlatformHeaders())
    try:
        yield (
            client,
            RegisteredUpstream("i-1", "llm", f"{host}:{port}", DataCentre("a"), 8, False),
        )
    finally:
        await client.aclose()
        listening.close()


async def _read(server: EndlessServer) -> None:
    """Send a request and read its whole answer."""
    async with _client_of(server) as (client, upstream):
        with anyio.fail_after(_GIVE_UP_S):
            answer = await client.send(upstream, _REQUEST, ())
            await _read_body(answer, AnswerBodies(caller_memory(SystemClock())))


async def _read_body(answer: UpstreamAnswer, bodies: AnswerBodies) -> bytes:
    try:
        async with bodies.read(answer) as body:
            return body
    finally:
        answer.close()


def _head(status: str = "200 OK", *fields: bytes) -> bytes:
    lines = [b"HTTP/1.1 " + status.encode(), *fields]
    return b"".join(line + b"\r\n" for line in lines) + _FIELDS + b"\r\n"


class TestEndlessBodies:
    async def test_body_without_length_is_given_up(self) -> None:
        # Guards against memory that fills with one answer.
        server = EndlessServer(_head())
        with pytest.raises(AnswerTooLongError):
            await _read(server)
        assert server.sent_bytes <= MAX_BODY_BYTES + _BUFFERED_BYTES

    async def test_chunks_without_end_are_given_up(self) -> None:
        # Guards against memory that fills with one answer in chunks.
        chunk = b"%x\r\n" % len(_PIECE) + _PIECE + b"\r\n"
        server = EndlessServer(_head("200 OK", b"Transfer-Encoding: chunked"), chunk)
        with pytest.raises(AnswerTooLongError):
            await _read(server)
        assert server.sent_bytes <= MAX_BODY_BYTES + _BUFFERED_BYTES

    async def test_many_long_bodies_share_one_bound(self) -> None:
        # Guards against memory that fills with many answers, each below the bound of one.
        server = EndlessServer(_head())
        bodies = AnswerBodies(caller_memory(SystemClock()))
        async with _client_of(server) as (client, upstream), anyio.create_task_group() as tasks:

            async def read() -> None:
                answer = await client.send(upstream, _REQUEST, ())
                with pytest.raises(AnswerTooLongError):
                    await _read_body(answer, bodies)

            for _ in range(12):
                tasks.start_soon(read)
        most_bytes = CALLER_MEMORY_BYTES + 12 * _BUFFERED_BYTES
        assert server.sent_bytes <= most_bytes

    async def test_short_body_is_read_beside_endless_ones(self) -> None:
        # Guards against endless answers that take the room of others.
        endless, short = EndlessServer(_head(), after_s=0.1), _head("200 OK", b"Content-Length: 4")
        finite = EndlessServer(short + b"good", b"", after_s=5.0)
        async with _client_of(endless) as (client, upstream), _client_of(finite) as (_, other):
            bodies = AnswerBodies(caller_memory(SystemClock()))
            reading = [await client.send(upstream, _REQUEST, ()) for _ in range(3)]
            async with anyio.create_task_group() as tasks:

                async def give_up(answer: UpstreamAnswer) -> None:
                    with pytest.raises(AnswerTooLongError):
                        await _read_body(answer, bodies)

                for answer in reading:
                    tasks.start_soon(give_up, answer)
                whole = await client.send(other, _REQUEST, ())
                assert await _read_body(whole, bodies) == b"good"

    async def test_refusal_without_end_is_closed(self) -> None:
        # Guards against a refusal whose body is read for ever.
        server = EndlessServer(_head("503 Busy", b"X-Not-Executed: 1"))
        with pytest.raises(RefusedByUpstreamError):
            await _read(server)
        assert server.sent_bytes <= _BUFFERED_BYTES

    async def test_report_without_end_is_given_up(self) -> None:
        # Guards against memory that fills with what an upstream says of itself.
        server = EndlessServer(_head())
        async with _client_of(server) as (client, upstream):
            with pytest.raises(MayHaveRunError):
                await client.read(upstream, "/report")
        assert server.sent_bytes <= _BUFFERED_BYTES


class TestEndlessHeads:
    @pytest.mark.parametrize(
        "piece", [_PIECE, b"X-Field: value\r\n" * 10_000], ids=["one line", "many fields"]
    )
    async def test_head_without_end_is_given_up(self, piece: bytes) -> None:
        # Guards against memory that fills with a head.
        server = EndlessServer(b"HTTP/1.1 200 OK\r\nX-Long: ", piece)
        with pytest.raises(MayHaveRunError):
            await _read(server)
        assert server.sent_bytes <= _BUFFERED_BYTES

    async def test_interim_answers_without_end_are_given_up(self) -> None:
        # Guards against a request that waits for its answer behind interim ones without end.
        server = EndlessServer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 10_000)
        with pytest.raises(MayHaveRunError):
            await _read(server)
        assert server.sent_bytes <= _BUFFERED_BYTES

    async def test_connection_with_answers_that_nobody_asked_for_is_closed(self) -> None:
        # Guards against answers without end that fill the memory of an idle connection.
        extra = _head("200 OK", b"Content-Length: 1") + b"x"
        server = EndlessServer(extra, extra * 1000, after_s=0.1)
        async with _client_of(server) as (client, upstream):
            answer = await client.send(upstream, _REQUEST, ())
            assert await _read_body(answer, AnswerBodies(caller_memory(SystemClock()))) == b"x"
            await asyncio.sleep(1.0)
            assert server.is_closed
        assert server.sent_bytes <= _BUFFERED_BYTES


class TestEndlessEvents:
    def test_event_without_end_is_given_up(self) -> None:
        # Guards against memory and time that grow with an event.
        splitter = EventSplitter(MAX_EVENT_BYTES)
        fed_bytes = 0
        with pytest.raises(EventTooLongError):
            while fed_bytes < _SENT_BYTES:
                splitter.feed(_PIECE)
                fed_bytes += len(_PIECE)
        assert fed_bytes <= MAX_EVENT_BYTES

    def test_long_event_is_searched_once(self) -> None:
        # Guards against a loop that is held while the bytes of an event are searched again.
        splitter = EventSplitter(MAX_EVENT_BYTES)
        for _ in range(MAX_EVENT_BYTES // 2):
            splitter.feed(b"x")
        assert [event.raw[-2:] for event in splitter.feed(b"\n\nid: 2\n\n")] == [b"\n\n"] * 2
