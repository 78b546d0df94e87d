"""Tests of connections that take longer to establish than the timeout of a call."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from grpclib.client import Channel

from ..core.relaying import RelayOffer
from ..core.upstreams import RegisteredUpstream
from ..gateway.lending import (
    BootstrapState,
    FoundOrigin,
    GrpcPeerLink,
    LendingService,
    LoanReply,
    serve_peers,
)
from ..gateway.store import StoreError, Stream
from ..gateway.upstream_client import NotConnectedError, OutgoingRequest, UpstreamClient
from ..peers.failures import PeerError
from ..platform.headers import PlatformHeaders
from ..platform.store import HttpStore
from ..settings.gateway import StoreSection
from ..testing.budget_fleet import gateway_settings
from ..testing.fleet import free_port
from ..types import DataCentre
from .test_sockets import server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Longer than a call waits for its connection, and as long as packets are queued on a full link.
_CONNECT_S = 0.55

#: Calls of which one must be answered; three or four suffice if the connection attempt is kept.
_MAX_CALLS = 8

_PAUSE_S = 0.15


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the client libraries need."""
    return "asyncio"


def slow_down_connections(monkeypatch: pytest.MonkeyPatch, connect_s: float = _CONNECT_S) -> None:
    """Delay each new connection of the running loop."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def sock_connect(sock: Any, address: Any) -> None:
        await asyncio.sleep(connect_s)
        await connect(sock, address)

    monkeypatch.setattr(loop, "sock_connect", sock_connect)


async def calls_until_answered(
    call: Callable[[], Awaitable[object]], failure: type[Exception]
) -> int:
    """Repeat a call until it succeeds, and return the number of calls."""
    for number in range(1, _MAX_CALLS + 1):
        try:
            await call()
        except failure:
            await anyio.sleep(_PAUSE_S)
        else:
            return number
    pytest.fail(f"no answer to {_MAX_CALLS} calls")


async def empty_page(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request with a page without records."""
    page = struct.pack(">QQ", 0, 0)
    while not reader.at_eof():
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            break
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page) + page)
        await writer.drain()


class TestHttpStore:
    @pytest.mark.anyio
    @pytest.mark.parametrize("connect_s", [_CONNECT_S, 2.0])
    async def test_connection_attempt_outlives_the_call_that_began_it(
        self, monkeypatch: pytest.MonkeyPatch, connect_s: float
    ) -> None:
        """Guards against an instance that serves with a configuration 5 s old after a cut.

        On a link full of requests, a connection to the store takes 0.5 s. A call gave up after
        0.3 s and closed its attempt, and the next call started from the beginning.
        """
        slow_down_connections(monkeypatch, connect_s)
        async with server(empty_page) as url:
            address = url.removeprefix("http://").removesuffix("/")
            store = HttpStore(StoreSection.model_validate({"address": address}))
            calls = await calls_until_answered(
                lambda: store.read(Stream("keyed.op"), 0), StoreError
            )
            # The connection is reused: the next call needs no new one.
            with anyio.fail_after(_CONNECT_S / 2):
                await store.read(Stream("keyed.op"), 0)
            await store.aclose()
        assert calls > 1

    @pytest.mark.anyio
    async def test_append_without_a_connection_is_reported_as_not_done(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        slow_down_connections(monkeypatch)
        async with server(empty_page) as url:
            address = url.removeprefix("http://").removesuffix("/")
            store = HttpStore(StoreSection.model_validate({"address": address}))
            with pytest.raises(StoreError) as failure:
                await store.append(Stream("keyed.claims"), ())
            await store.aclose()
        assert failure.type is StoreError


class TestUpstreamClient:
    @pytest.mark.anyio
    async def test_late_connection_is_reported(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against an instance on a full link that takes all upstreams for unreachable.
        slow_down_connections(monkeypatch)
        connected: list[str] = []
        async with server(empty_page) as url:
            address = url.removeprefix("http://").removesuffix("/")
            settings = gateway_settings("a", DataCentre("sto-a"))
            client = UpstreamClient(settings, PlatformHeaders(), connected.append)
            upstream = RegisteredUpstream("i-1", "llm", address, DataCentre("sto-a"), 8, False)
            with pytest.raises(NotConnectedError):
                await client.send(upstream, OutgoingRequest("GET", "/", "r", b""), ())
            assert connected == []
            await anyio.sleep(_CONNECT_S)
            await client.aclose()
        assert connected == [address]


class TestGrpcPeerLink:
    @pytest.mark.anyio
    async def test_connection_attempt_outlives_the_call_that_began_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an instance that gets no loans for seconds though all peers run.

        On a full link a connection takes 0.5 s; each call gave up after 0.25 s and closed its
        channel.
        """
        slow_down_connections(monkeypatch)
        address = f"127.0.0.1:{free_port()}"
        service = LendingService(
            _no_loan,
            lambda _: None,
            _empty_state,
            lambda: 12.5,
            lambda _: None,
            lambda: RelayOffer("", {}),
            lambda _: None,
            lambda *_: FoundOrigin(None),
        )
        peer = await serve_peers(service, address)
        link = GrpcPeerLink()
        try:
            calls = await calls_until_answered(
                lambda: link.registrations_gapless_read_s(address), PeerError
            )
        finally:
            link.close()
            peer.close()
            await peer.wait_closed()
        assert calls > 1

    @pytest.mark.anyio
    async def test_sent_call_is_never_reported_as_unsent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against overspending: tokens kept by the sender and added by the lender.

        The connection of a sent handover broke. Before the call failed, another call had begun a
        new, slow connection, and whether the handover was sent was read from that one's channel.
        """
        address = f"127.0.0.1:{free_port()}"
        service = LendingService(
            _no_loan,
            lambda _: None,
            _empty_state,
            lambda: 12.5,
            lambda _: None,
            lambda: RelayOffer("", {}),
            lambda _: None,
            lambda *_: FoundOrigin(None),
        )
        peer = await serve_peers(service, address)
        link = GrpcPeerLink()
        await link.registrations_gapless_read_s(address)
        sent = link._call(address)
        sent.__enter__()
        link._close_channel(address)
        slow_down_connections(monkeypatch)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.registrations_gapless_read_s, address)
            await anyio.sleep(0.05)
            with pytest.raises(PeerError) as failure:
                sent.__exit__(TimeoutError, TimeoutError(), None)
            tasks.cancel_scope.cancel()
        link.close()
        peer.close()
        await peer.wait_closed()
        assert failure.type is PeerError

    @pytest.mark.anyio
    async def test_calls_waiting_for_one_connection_fail_independently(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an instance that exits by itself, with code 0 as after a stop.

        Several calls wait for the connection to a peer that accepts none. The first gave up and
        closed the channel, which cancelled the attempt, the other calls and so the whole program.
        """
        loop = asyncio.get_running_loop()

        async def never(sock: Any, address: Any) -> None:
            await asyncio.sleep(60.0)

        monkeypatch.setattr(loop, "sock_connect", never)
        link = GrpcPeerLink()
        failures: list[PeerError] = []

        async def call() -> None:
            try:
                await link.registrations_gapless_read_s("127.0.0.1:9")
            except PeerError as error:
                failures.append(error)

        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(call)
                await anyio.sleep(0.1)
        link.close()
        assert len(failures) == 20

    @pytest.mark.anyio
    async def test_connection_that_closes_before_its_first_call_is_a_failed_call(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a task that ends because a peer died just as a call was connected to it.
        create = Channel._create_connection

        async def close_at_once(channel: Channel) -> Any:
            protocol = await create(channel)
            protocol.connection._transport.abort()
            await asyncio.sleep(0.01)
            return protocol

        monkeypatch.setattr(Channel, "_create_connection", close_at_once)
        listening = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        link = GrpcPeerLink()
        with pytest.raises(PeerError):
            await link.registrations_gapless_read_s(f"{host}:{port}")
        link.close()
        listening.close()


async def _no_loan(_: object) -> LoanReply:
    return LoanReply(0, 0)


def _empty_state() -> BootstrapState:
    return BootstrapState(b"", (), ())
