"""Tests of callers' connections on a socket: slow heads, slow bodies, idle time."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest
from aiohttp import web

from ..clock import SystemClock
from ..core.caller_memory import CallerMemory
from ..core.connection_limit import ConnectionLimit
from ..core.routes import RequestLimits
from ..errors import RefusedError
from ..gateway.caller_connections import CallerHandler, CallerServer
from ..gateway.request_body import read_body
from ..gateway.server import HttpCaller
from ..testing.eligibility import caller_memory

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from anyio.abc import SocketStream

_LIMITS = RequestLimits(
    header_bytes=16_384, body_bytes=1_000_000, header_timeout_s=0.3, idle_timeout_s=0.8
)
_HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


async def _slow_echo(request: web.BaseRequest) -> web.StreamResponse:
    body = await request.read()
    await anyio.sleep(2 * _LIMITS.header_timeout_s)
    return web.Response(body=body)


async def _echo(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=await request.read())


async def _broken_off(request: web.BaseRequest) -> web.StreamResponse:
    caller = HttpCaller(request, lambda: False)
    await caller.start(200, "OK", ())
    await caller.write(b"id: 1\n\n")
    await anyio.sleep(0.05)
    caller.abort()
    assert caller.response is not None
    return caller.response


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the server library needs."""
    return "asyncio"


def make_server(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    memory: CallerMemory | None = None,
    limit: ConnectionLimit | None = None,
) -> CallerServer:
    return CallerServer(
        handler,
        lambda: _LIMITS,
        initial_idle_timeout_s=9.0,
        memory=memory or caller_memory(SystemClock()),
        connection_limit=limit,
        handler_cancellation=True,
        access_log=None,
    )


@asynccontextmanager
async def connection(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]] = _echo,
    *,
    memory_bytes: int = 10_000_000,
) -> AsyncIterator[SocketStream]:
    server = make_server(handler, CallerMemory(memory_bytes, SystemClock()))
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        yield stream
    await runner.cleanup()


async def rest_of(stream: SocketStream) -> bytes:
    """Return all bytes until the other end closes."""
    received = b""
    try:
        with anyio.fail_after(5.0):
            while True:
                received += await stream.receive()
    except anyio.EndOfStream:
        return received


async def _read_and_answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answer like the gateway: with the body, or with the refusal of it."""
    caller = HttpCaller(request, lambda: False)
    try:
        body = await read_body(request, max_bytes=_LIMITS.body_bytes, timeout_s=0.5)
        await caller.send_complete(200, "OK", (), body)
    except RefusedError as error:
        kind = error.refusal.kind.value.encode()
        await caller.send_complete(error.refusal.answer.status, "", (), kind)
    assert caller.response is not None
    return caller.response


_CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def _sized_head(size_bytes: int) -> bytes:
    return f"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {size_bytes}\r\n\r\n".encode()


class TestBodies:
    @pytest.mark.anyio
    async def test_body_that_does_not_arrive_in_time_gets_408(self) -> None:
        # Guards against bodies that are waited for as long as their callers stay.
        async with connection(_read_and_answer) as stream:
            await stream.send(_sized_head(100) + b"x" * 99)
            assert (await stream.receive()).startswith(b"HTTP/1.1 408 ")

    @pytest.mark.anyio
    async def test_body_that_cannot_be_held_gets_503_before_it_is_read(self) -> None:
        # Guards against a promise that its sender cannot read, since unread bytes reset it.
        async with connection(_read_and_answer, memory_bytes=200_000) as stream:
            await stream.send(_sized_head(900_000))
            for _ in range(90):
                await stream.send(b"x" * 10_000)
            answer = await stream.receive()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert answer.endswith(b"memory_full")
        assert b"Connection: close" in answer

    @pytest.mark.anyio
    async def test_chunked_body_that_cannot_be_held_gets_503(self) -> None:
        async with connection(_read_and_answer, memory_bytes=200_000) as stream:
            await stream.send(_CHUNKED_HEAD)
            for _ in range(90):
                await stream.send(b"2710\r\n" + b"x" * 10_000 + b"\r\n")
            answer = await stream.receive()
        assert answer.endswith(b"memory_full")

    @pytest.mark.anyio
    async def test_head_that_cannot_be_held_gets_503_on_a_kept_connection(self) -> None:
        # Guards against connections that are closed without an answer to their next request.
        memory = CallerMemory(1_000_000, SystemClock())
        runner = web.ServerRunner(make_server(_echo, memory))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        async with await anyio.connect_tcp("127.0.0.1", runner.addresses[0][1]) as stream:
            await stream.send(_HEAD + b"abcd")
            assert (await stream.receive()).endswith(b"abcd")
            while memory.grow(memory.open(), 10_000):
                pass
            await stream.send(_HEAD[:-2] + b"X: " + b"x" * 15_000)
            assert (await stream.receive()).startswith(b"HTTP/1.1 503 ")
        await runner.cleanup()

    @pytest.mark.anyio
    async def test_body_whose_end_has_arrived_is_not_dropped(self) -> None:
        # Guards against a body without its begin that is taken for the whole one.
        memory = CallerMemory(10_000_000, SystemClock())
        server = make_server(_read_and_answer, memory)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        async with await anyio.connect_tcp("127.0.0.1", runner.addresses[0][1]) as stream:
            await stream.send(_sized_head(8) + b"abcd")
            await anyio.sleep(0.1)
            (handler,) = server.connections
            assert isinstance(handler, CallerHandler)
            handler.data_received(b"efgh")
            handler._held.evict()
            answer = await stream.receive()
        await runner.cleanup()
        assert answer.endswith(b"abcdefgh")

    @pytest.mark.anyio
    async def test_body_over_the_limit_gets_413_before_it_is_read(self) -> None:
        async with connection(_read_and_answer) as stream:
            await stream.send(_sized_head(_LIMITS.body_bytes + 1))
            assert (await stream.receive()).startswith(b"HTTP/1.1 413 ")

    @pytest.mark.anyio
    async def test_body_in_small_chunks_is_read_completely(self) -> None:
        async with connection(_read_and_answer) as stream:
            await stream.send(_CHUNKED_HEAD + b"10\r\n0123456789abcdef\r\n" * 20_000 + b"0\r\n\r\n")
            received = b""
            while len(received) < 320_000:
                received += await stream.receive()
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.count(b"0123456789abcdef") == 20_000

    @pytest.mark.anyio
    async def test_body_of_mostly_framing_gets_413(self) -> None:
        # Guards against bytes that cost the processor many times what others cost.
        async with connection(_read_and_answer) as stream:
            await stream.send(_CHUNKED_HEAD + b"1\r\nx\r\n" * 50_000)
            assert (await stream.receive()).startswith(b"HTTP/1.1 413 ")

    @pytest.mark.anyio
    async def test_account_is_empty_after_requests_and_connections(self) -> None:
        # Guards against an account that fills with what is not held any more.
        memory = CallerMemory(10_000_000, SystemClock())
        server = make_server(_read_and_answer, memory)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        for sent in (
            b"",
            b"POST /",
            _sized_head(4) + b"abcd" + _sized_head(4) + b"ab",
            _sized_head(900_000) + b"x" * 800_000,
            _sized_head(2_000_000) + b"x" * 800_000,
            _CHUNKED_HEAD + b"1\r\nx\r\n" * 50_000,
            b"no head\r\n\r\n",
            _sized_head(4) + b"abcd" + _sized_head(900_000) + b"x" * 800_000,
        ):
            for stay_s in (0.0, 0.05, 0.7):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(sent)
                    await anyio.sleep(stay_s)
        with anyio.move_on_after(5.0):
            while server.connections:
                await anyio.sleep(0.01)
        await runner.cleanup()
        assert memory.used_bytes == 0


class TestIdleConnections:
    @pytest.mark.anyio
    async def test_oldest_idle_connection_is_closed_for_a_new_one(self) -> None:
        # Guards against idle callers that leave no descriptor for others.
        server = make_server(_echo, limit=ConnectionLimit(3))
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        async with (
            await anyio.connect_tcp("127.0.0.1", port) as first,
            await anyio.connect_tcp("127.0.0.1", port) as second,
            await anyio.connect_tcp("127.0.0.1", port) as third,
        ):
            while len(server.connections) < 3:
                await anyio.sleep(0.01)
            # A request takes one more, for its connection to an upstream.
            await third.send(_HEAD + b"abcd")
            assert (await third.receive()).endswith(b"abcd")
            assert await rest_of(first) == b""
            await second.send(_HEAD + b"abcd")
            assert (await second.receive()).endswith(b"abcd")
        await runner.cleanup()


class TestBrokenAnswers:
    @pytest.mark.anyio
    async def test_answer_to_an_old_caller_that_is_broken_off_ends_with_a_reset(self) -> None:
        # Guards against a part of a stream that looks complete where only its end frames it.
        async with connection(_broken_off) as stream:
            await stream.send(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
            with pytest.raises(anyio.BrokenResourceError):
                await rest_of(stream)

    @pytest.mark.anyio
    async def test_answer_that_is_broken_off_has_no_last_chunk(self) -> None:
        async with connection(_broken_off) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = await rest_of(stream)
        assert b"chunked" in answer
        assert answer.endswith(b"id: 1\n\n\r\n")


class TestCallerConnections:
    @pytest.mark.anyio
    async def test_slowly_sent_head_gets_408(self) -> None:
        """Guards against callers that use all connections by sending heads byte by byte.

        Callers could not connect: each byte restarted the timer of the head, or there was none.
        """
        async with connection() as stream:
            began_s = time.monotonic()
            async with anyio.create_task_group() as tasks:

                async def trickle() -> None:
                    for byte in _HEAD:
                        await stream.send(bytes([byte]))
                        await anyio.sleep(0.1)

                tasks.start_soon(trickle)
                received = await rest_of(stream)
                tasks.cancel_scope.cancel()
            assert received.startswith(b"HTTP/1.1 408 ")
            assert time.monotonic() - began_s < 2.0

    @pytest.mark.anyio
    async def test_slow_body_is_read_completely(self) -> None:
        async with connection() as stream:
            await stream.send(_HEAD + b"ab")
            await anyio.sleep(2 * _LIMITS.header_timeout_s)
            await stream.send(b"cd")
            assert (await stream.receive()).endswith(b"abcd")

    @pytest.mark.anyio
    @pytest.mark.parametrize("turns", range(6))
    async def test_body_right_after_head_does_not_start_head_timer(self, turns: int) -> None:
        """Guards against a 408 in the middle of an answer, three seconds after the request.

        A body that arrived one turn of the event loop after its head, while the request was handed
        to its handler, was mistaken for the next head. The answer took longer than a head may.
        """
        server = make_server(_slow_echo)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        async with await anyio.connect_tcp("127.0.0.1", runner.addresses[0][1]) as stream:
            while not server.connections:
                await anyio.sleep(0.01)
            (handler,) = server.connections
            handler.data_received(_HEAD)
            for _ in range(turns):
                await asyncio.sleep(0)
            handler.data_received(b"abcd")
            received = await stream.receive()
        await runner.cleanup()
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.endswith(b"abcd")

    @pytest.mark.anyio
    async def test_head_timer_restarts_for_each_request(self) -> None:
        async with connection() as stream:
            for _ in range(3):
                await stream.send(_HEAD[:20])
                await anyio.sleep(_LIMITS.header_timeout_s / 2)
                await stream.send(_HEAD[20:] + b"abcd")
                assert (await stream.receive()).endswith(b"abcd")

    @pytest.mark.anyio
    async def test_idle_connection_is_closed_at_configured_limit(self) -> None:
        async with connection() as stream:
            await stream.send(_HEAD + b"abcd")
            assert (await stream.receive()).endswith(b"abcd")
            began_s = time.monotonic()
            assert await rest_of(stream) == b""
            assert 0.5 * _LIMITS.idle_timeout_s < time.monotonic() - began_s < 4.0
