"""Connections to upstreams and store on a socket: broken bodies, surplus bytes."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import anyio
import pytest

from ..gateway.sockets import connector
from ..gateway.store import KeyedRecord, StoreSilentError, Stream
from ..platform.store import HttpStore, encode_record
from ..settings.gateway import StoreSection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

_LINGER_OFF = struct.pack("ii", 1, 0)


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the client library needs."""
    return "asyncio"


@asynccontextmanager
async def server(
    answer: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[str]:
    """Serve each connection with a function, and return the address."""
    listening = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    yield f"http://{host}:{port}/"
    listening.close()


def session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=connector(connect_limit=0, user_timeout_s=1.0))


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset in place of a proper end."""
    raw: socket.socket = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
    writer.transport.abort()


class TestStrictResponseHandler:
    @pytest.mark.anyio
    async def test_reset_fails_body_without_length(self) -> None:
        """Symptom: a caller gets half an answer that looks whole.

        Sequence: an upstream answers without a length and crashes in the middle.
        Cause: any end of the connection was taken for the body's end.
        """

        async def half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async with server(half) as url, session() as http:
            answer = await http.get(url)
            with pytest.raises(aiohttp.ClientPayloadError):
                await answer.read()

    @pytest.mark.anyio
    async def test_regular_close_ends_body_without_length(self) -> None:
        async def whole(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
            writer.close()

        async with server(whole) as url, session() as http:
            answer = await http.get(url)
            assert await answer.read() == b"whole"

    @pytest.mark.anyio
    async def test_connection_with_surplus_bytes_is_not_reused(self) -> None:
        """Symptom: a caller gets another caller's answer.

        Sequence: an upstream sends a second answer on a kept connection; the next request uses it.
        Cause: the second answer waited in the connection's buffer.
        """
        connections = 0

        async def twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            number = connections
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX")
            await reader.read()

        async with server(twice) as url, session() as http:
            first = await (await http.get(url)).read()
            await asyncio.sleep(0.15)
            second = await (await http.get(url)).read()
        assert (first, second) == (b"1", b"2")


class TestHttpStore:
    @pytest.mark.anyio
    async def test_page_is_read_on_a_slow_link(self) -> None:
        """Symptom: an instance with a thin link never gets a new configuration again.

        Sequence: many versions of a large configuration are published while the store turns the
        instance away; after that one page of them takes longer than a call may, each time.
        Cause: the whole transfer had to fit into the time for an answer.
        """
        records = b"".join(encode_record(KeyedRecord("config", b"x" * 100)) for _ in range(4))
        page = struct.pack(">QQ", 4, 0) + records

        async def trickle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page))
            for position in range(0, len(page), 40):
                writer.write(page[position : position + 40])
                await writer.drain()
                await asyncio.sleep(0.05)

        async with server(trickle) as url:
            address = url.removeprefix("http://").removesuffix("/")
            settings = {"address": address, "timeout_s": 0.3}
            store = HttpStore(StoreSection.model_validate(settings))
            read = await store.read(Stream("keyed.op"), 0)
            await store.aclose()
        assert len(read.records) == 4

    @pytest.mark.anyio
    async def test_store_that_stops_sending_in_mid_answer_times_out(self) -> None:
        async def half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            await reader.read()

        async with server(half) as url:
            address = url.removeprefix("http://").removesuffix("/")
            settings = {"address": address, "timeout_s": 0.3}
            store = HttpStore(StoreSection.model_validate(settings))
            with anyio.fail_after(2.0), pytest.raises(StoreSilentError):
                await store.read(Stream("keyed.op"), 0)
            await store.aclose()
