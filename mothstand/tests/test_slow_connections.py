"""Connections that take longer to come about than a call waits for them."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from ..gateway.lending import BootstrapState, GrpcPeerLink, LendingService, LoanReply, serve_peers
from ..gateway.store import StoreError, Stream
from ..peers.failures import PeerError
from ..platform.store import HttpStore
from ..settings.gateway import StoreSection
from ..testing.fleet import free_port
from .test_sockets import server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Longer than a call waits for its connection, and as long as packets wait on a full link.
_CONNECT_S = 0.55

#: Calls until one must be answered; three or four would do with the connection kept.
_MAX_CALLS = 8

_PAUSE_S = 0.15


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the client libraries need."""
    return "asyncio"


def slow_down_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each new connection of the running loop take `_CONNECT_S`."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def sock_connect(sock: Any, address: Any) -> None:
        await asyncio.sleep(_CONNECT_S)
        await connect(sock, address)

    monkeypatch.setattr(loop, "sock_connect", sock_connect)


async def calls_until_answered(
    call: Callable[[], Awaitable[object]], failure: type[Exception]
) -> int:
    """Repeat a call as long as it fails, and return how many were needed."""
    for number in range(1, _MAX_CALLS + 1):
        try:
            await call()
        except failure:
            await anyio.sleep(_PAUSE_S)
        else:
            return number
    pytest.fail(f"no answer to {_MAX_CALLS} calls")


async def empty_page(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request with a page that has no records."""
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
    async def test_connection_attempt_outlives_the_call_that_began_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Symptom: an instance answers by a configuration of five seconds before.

        Sequence: a cut ends at an instance whose link is full of its callers' requests; each new
        connection to the store takes half a second, and is given up after 0.3 s.
        Cause: a try that was given up was closed, and the next one began anew.
        """
        slow_down_connections(monkeypatch)
        async with server(empty_page) as url:
            address = url.removeprefix("http://").removesuffix("/")
            store = HttpStore(StoreSection.model_validate({"address": address}))
            calls = await calls_until_answered(
                lambda: store.read(Stream("keyed.op"), 0), StoreError
            )
            # The connection is kept: the next call needs no new one.
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


class TestGrpcPeerLink:
    @pytest.mark.anyio
    async def test_connection_attempt_outlives_the_call_that_began_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Symptom: an instance gets no loan from any peer for seconds, though all are well.

        Sequence: its link is full; each connection to a peer takes half a second, a call 0.25 s.
        Cause: the channel was closed with the call that gave up.
        """
        slow_down_connections(monkeypatch)
        address = f"127.0.0.1:{free_port()}"
        service = LendingService(
            _no_loan, lambda _: None, _empty_state, lambda: 12.5, lambda _: None
        )
        peer = await serve_peers(service, address)
        link = GrpcPeerLink()
        try:
            calls = await calls_until_answered(
                lambda: link.registrations_gapless_s(address), PeerError
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
        """Symptom: a budget is overspent: a rest is kept here, and was added by the lender too.

        Sequence: a handover is sent, its connection breaks; before it is told of that, another call
        has begun a new connection, which is slow to come about.
        Cause: whether a call was sent was asked of whatever channel the peer had by then.
        """
        address = f"127.0.0.1:{free_port()}"
        service = LendingService(
            _no_loan, lambda _: None, _empty_state, lambda: 12.5, lambda _: None
        )
        peer = await serve_peers(service, address)
        link = GrpcPeerLink()
        await link.registrations_gapless_s(address)
        sent = link._call(address)
        sent.__enter__()
        link._close_channel(address)
        slow_down_connections(monkeypatch)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.registrations_gapless_s, address)
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
        """Symptom: an instance ends by itself, with exit code 0, as if it had been told to.

        Sequence: several calls wait for the connection to a peer that takes no new ones; the first
        gives up for good and closes the channel.
        Cause: closing cancelled the attempt, and with it all calls that waited for it; a cancelled
        background task cancels the whole program.
        """
        loop = asyncio.get_running_loop()

        async def never(sock: Any, address: Any) -> None:
            await asyncio.sleep(60.0)

        monkeypatch.setattr(loop, "sock_connect", never)
        link = GrpcPeerLink()
        failures: list[PeerError] = []

        async def call() -> None:
            try:
                await link.registrations_gapless_s("127.0.0.1:9")
            except PeerError as error:
                failures.append(error)

        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(call)
                await anyio.sleep(0.1)
        link.close()
        assert len(failures) == 20


async def _no_loan(_: object) -> LoanReply:
    return LoanReply(0, 0)


def _empty_state() -> BootstrapState:
    return BootstrapState(b"", (), ())
