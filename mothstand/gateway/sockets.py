"""Connections that notice a silent other end."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    from typing import Any

    from aiohttp.client_reqrep import ConnectionKey

#: Seconds of quiet before the kernel asks whether the other end is still there, and between two
#: such probes; two probes without an answer end the connection.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def set_timeouts(sock: socket.socket, user_timeout_s: float) -> None:
    """Let the kernel end a connection whose other end no longer acknowledges.

    A machine that lost power, or is behind a partition, answers nothing: without these a request
    that was sent there hangs until its caller gives up. An upstream that thinks for long still
    acknowledges and is left alone.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


class StrictResponseHandler(ResponseHandler):
    """A client connection that takes no broken body for a whole one.

    Notes
    -----
    The library ends a body without a length when its connection ends, also when it ends by a
    reset: an answer cut short by a crash would reach its caller as complete. And it uses an idle
    connection again on which bytes have come meanwhile: they would be taken for the answer to the
    next request.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc!r}"))
            self._parser = None
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Return whether the connection can take a request."""
        return super().is_connected() and not self._buffer and not self._tail


class BackgroundConnector(aiohttp.TCPConnector):
    """A pool whose new connections come about also after a request has given up waiting.

    Parameters
    ----------
    linger_s
        How long a connection is tried for. A request waits for it as long as its own timeout says.

    Notes
    -----
    On a full link, or with a busy processor, each new connection takes longer than a request
    waits. Were it closed with the request, the next one would begin another, its packets would
    join the queue that delays them, and none would ever come about: an instance stayed without
    store, peers and upstreams for 12 s after they could be reached again. What comes about late
    lies idle in the pool, where the next request finds it.
    """

    def __init__(self, *, max_connect_s: float, **options: Any) -> None:
        super().__init__(**options)
        self._max_connect_s = max_connect_s
        self._background_connects: set[asyncio.Task[ResponseHandler]] = set()

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        # The library has no public way to wait for a connection without ending it.
        connect_s = max(self._max_connect_s, timeout.sock_connect or 0.0)
        connect_timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)
        connecting = asyncio.create_task(super()._create_connection(req, traces, connect_timeout))
        try:
            return await asyncio.wait_for(asyncio.shield(connecting), timeout.sock_connect)
        except (TimeoutError, asyncio.CancelledError):
            self._background_connects.add(connecting)
            connecting.add_done_callback(functools.partial(self._add_to_pool, req.connection_key))
            raise

    def _add_to_pool(self, key: ConnectionKey, connecting: asyncio.Task[ResponseHandler]) -> None:
        """Put a connection that came about late into the pool."""
        self._background_connects.discard(connecting)
        if connecting.cancelled() or connecting.exception() is not None:
            # Whoever waited for it has told of its failure when it gave up.
            return
        if self._closed:
            connecting.result().close()
        else:
            self._release(key, connecting.result())


def connector(
    *, connect_limit: int, user_timeout_s: float, keepalive_s: float = 15.0
) -> aiohttp.TCPConnector:
    """Return a pool of connections with `set_timeouts` on each.

    Parameters
    ----------
    connect_limit
        The most connections to one address; 0 for any number.
    user_timeout_s
        How long an open connection may be silent, and a new one is tried for.
    keepalive_s
        How long an idle connection may be used again.
    """

    def make_socket(address_info: Any) -> socket.socket:
        family, kind, protocol, _, _ = address_info
        sock = socket.socket(family, kind, protocol)
        sock.setblocking(False)
        set_timeouts(sock, user_timeout_s)
        return sock

    pool = BackgroundConnector(
        max_connect_s=user_timeout_s,
        limit=0,
        limit_per_host=connect_limit,
        keepalive_timeout=keepalive_s,
        socket_factory=make_socket,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
    )
    # The library has no public way to choose the class of its connections.
    pool._factory = functools.partial(  # type: ignore[assignment]
        StrictResponseHandler, loop=asyncio.get_running_loop()
    )
    return pool


def close_idle(pool: aiohttp.TCPConnector, address: str) -> None:
    """Close the connections to an address that serve no request just now."""
    # The library closes idle connections by age only; there is no public call for one address.
    for key in [k for k in pool._conns if f"{k.host}:{k.port}" == address]:
        for protocol, _ in pool._conns.pop(key):
            protocol.close()
