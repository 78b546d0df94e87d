"""Tests of callers' connections on a socket: slow heads, slow bodies, idle time."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest
from aiohttp import web

from ..core.routes import RequestLimits
from ..gateway.caller_connections import CallerServer
from ..gateway.server import HttpCaller

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


@asynccontextmanager
async def connection(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]] = _echo,
) -> AsyncIterator[SocketStream]:
    server = CallerServer(handler, lambda: _LIMITS, initial_idle_timeout_s=9.0, access_log=None)
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
        server = CallerServer(_slow_echo, lambda: _LIMITS, initial_idle_timeout_s=9.0)
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
