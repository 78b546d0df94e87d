"""Client connections that detect an unresponsive remote end, and pools of them."""

from __future__ import annotations

import asyncio
import functools
import socket
import struct
import weakref
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import xxhash
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from ..core.answer_limits import MAX_UNREAD_ANSWERS
from ..events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from aiohttp.client_reqrep import ConnectionKey

#: Idle seconds before the kernel sends the first TCP keepalive probe, seconds between probes, and
#: unanswered probes that end the connection.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2

#: Option by which closing a socket resets its connection: switched on, no time to send the rest.
_NO_LINGER = struct.pack("ii", 1, 0)

#: Latest request ids that a connection remembers.
_MAX_REMEMBERED_IDS = 64

#: Latest answers whose connections are remembered.
_MAX_REMEMBERED_ANSWERS = 2_000

#: Maximum bytes of what was not asked for in a log line.
_MAX_LOGGED_BYTES = 80


def set_timeouts(sock: socket.socket, user_timeout_s: float) -> None:
    """Configure the kernel to end a connection whose remote end stops acknowledging.

    A machine without power or behind a network partition sends nothing. Without these timeouts a
    request to it would hang until its caller times out. A slow upstream still acknowledges, so its
    connections stay open.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def reset(transport: asyncio.Transport) -> None:
    """End a connection so that its other end gets an error, not an end; what was sent may be lost.

    Aborting a transport alone closes its socket, which the other end reads as an end.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """Which connection an answer came on, for log lines.

    Parameters
    ----------
    local_port
        Port of this end; 0 if the connection has ended.
    requests
        Requests sent on it, the latest included.
    """

    local_port: int = 0
    requests: int = 0

    def __str__(self) -> str:
        """Return the text for a log line."""
        return f"request {self.requests} on port {self.local_port}"


class StrictResponseHandler(ResponseHandler):
    """Client connection that reports a truncated body as an error.

    Notes
    -----
    The library treats any end of the connection, even a reset, as the end of a body without a
    length: an answer truncated by a crash would reach its caller as complete. It also reuses an
    idle connection that has received bytes, which would be read as the answer to the next request
    or as the beginning of its head, and keeps all answers that arrive, also interim ones and those
    that nobody asked for.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._requests = 0
        self._is_idle = False
        self._is_receiving = False
        # Digests, since callers may send ids of any length.
        self._answered_ids: deque[int] = deque(maxlen=_MAX_REMEMBERED_IDS)

    @property
    def use(self) -> ConnectionUse:
        """Which connection this is, and how often it was used."""
        name = None if self.transport is None else self.transport.get_extra_info("sockname")
        return ConnectionUse(name[1] if name else 0, self._requests)

    def note_answered(self, request_id: str) -> bool:
        """Note whose answer came; return whether one with that id had come on it before."""
        digest = _digest(request_id)
        is_repeated = digest in self._answered_ids
        self._answered_ids.append(digest)
        return is_repeated

    def note_idle(self) -> None:
        """Note that its answer has been read; close it if any bytes stand behind that."""
        self._is_idle = True
        # While bytes are being received, the parser cannot be asked yet.
        if not self._is_receiving and self._has_unread_bytes():
            self._close_unsolicited()

    def close_if_idle(self) -> None:
        """Close the connection if no request uses it."""
        if self._is_idle:
            self.close()

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to a request."""
        self._is_idle = False
        self._requests += 1
        super().set_response_params(**options)

    def _close_unsolicited(self, data: bytes = b"") -> None:
        """Close the connection: it cannot be told where the next answer on it begins."""
        if self.transport is None or self.transport.is_closing():
            return
        peer = self.transport.get_extra_info("peername")
        emit(
            Event.UNSOLICITED_BYTES,
            address=f"{peer[0]}:{peer[1]}" if peer else "",
            connection=str(self.use),
            bytes=len(data),
            start=data[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
        self.transport.abort()

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes stand behind the last answer; only called on an idle connection."""
        if self._buffer or self._tail:
            return True
        # Only the parser knows of the beginning of a head, and reports it at an end alone. The next
        # request gets a new parser.
        parser, self._parser = self._parser, None
        try:
            return parser is not None and parser.feed_eof() is not None
        except (HttpProcessingError, ValueError):
            return True

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; close a connection with any that belong to no answer.

        These are bytes behind an answer, and more answers than may wait to be read.
        """
        if not data:
            # The library calls this when its reader takes more, also after the end of an answer.
            super().data_received(data)
            return
        if self._is_idle:
            self._close_unsolicited(data)
            return
        self._is_receiving = True
        try:
            super().data_received(data)
        finally:
            self._is_receiving = False
        if self._is_idle and self._has_unread_bytes():
            self._close_unsolicited(data)
        if len(self._buffer) > MAX_UNREAD_ANSWERS and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection ended with an error."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc!r}"))
            self._parser = None
        super().connection_lost(exc)


def connection_use(response: aiohttp.ClientResponse) -> ConnectionUse:
    """Return which connection an answer came on; it may have ended since."""
    # The library keeps the connection of an answer, but has no public name for it after its end.
    protocol = response._protocol
    return protocol.use if isinstance(protocol, StrictResponseHandler) else ConnectionUse()


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer; called before anything is awaited after its head.

    The library puts the connection of an answer without a body into its pool with the head.
    """
    response.close()
    if response._protocol is not None:
        response._protocol.close()


def is_repeated_answer(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether an answer with the same id came on the connection before; notes this one."""
    protocol = response._protocol
    return isinstance(protocol, StrictResponseHandler) and protocol.note_answered(request_id)


def _digest(request_id: str) -> int:
    return xxhash.xxh3_128_intdigest(request_id.encode("utf-8", "surrogateescape"))


class AnsweredRequests:
    """Connections of the latest answers, so that a request with the same id gets another one.

    Notes
    -----
    A second answer with an id on a connection proves nothing. A caller may keep its id for a
    repetition, and each of these would fail on a connection that carried the id before.
    """

    def __init__(self) -> None:
        self._connections: OrderedDict[tuple[str, int], weakref.ref[StrictResponseHandler]]
        self._connections = OrderedDict()

    def note(self, address: str, request_id: str, response: aiohttp.ClientResponse) -> None:
        """Remember the connection of an answer."""
        if not isinstance(response._protocol, StrictResponseHandler):
            return
        self._connections[address, _digest(request_id)] = weakref.ref(response._protocol)
        if len(self._connections) > _MAX_REMEMBERED_ANSWERS:
            self._connections.popitem(last=False)

    def close_idle(self, address: str, request_id: str) -> None:
        """Close the connection that carried an answer with this id, unless it is in use."""
        reference = self._connections.pop((address, _digest(request_id)), None)
        connection = None if reference is None else reference()
        if connection is not None:
            connection.close_if_idle()


class BackgroundConnector(aiohttp.TCPConnector):
    """Connection pool that continues to connect after the request has timed out.

    Parameters
    ----------
    max_connect_s
        Maximum time to establish a connection. A request waits for it only up to its own timeout.
    on_late_connect
        Called with ``IP:PORT`` of a connection that was established after its request gave up.

    Notes
    -----
    On a full link or a busy processor each new connection takes longer than a request waits. If
    it were closed with the request, the next request would open another one, whose packets join
    the queue that delays them, and no connection would ever be established: an instance had no
    store, peers and upstreams for 12 s after they were reachable again. A connection that is
    established late is put into the pool for the next request.
    """

    def __init__(
        self,
        *,
        max_connect_s: float,
        on_late_connect: Callable[[str], None] | None = None,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._on_late_connect = on_late_connect
        self._max_connect_s = max_connect_s
        self._background_connects: set[asyncio.Task[ResponseHandler]] = set()

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        # The library has no public way to stop waiting for a connection without closing it.
        connect_s = max(self._max_connect_s, timeout.sock_connect or 0.0)
        connect_timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)
        connecting = asyncio.create_task(super()._create_connection(req, traces, connect_timeout))
        try:
            return await asyncio.wait_for(asyncio.shield(connecting), timeout.sock_connect)
        except (TimeoutError, asyncio.CancelledError):
            self._background_connects.add(connecting)
            connecting.add_done_callback(functools.partial(self._add_to_pool, req.connection_key))
            raise

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        is_kept = not should_close and not protocol.should_close
        if is_kept and isinstance(protocol, StrictResponseHandler):
            protocol.note_idle()
        super()._release(key, protocol, should_close=should_close)

    def _add_to_pool(self, key: ConnectionKey, connecting: asyncio.Task[ResponseHandler]) -> None:
        """Put a connection that was established late into the pool."""
        self._background_connects.discard(connecting)
        if connecting.cancelled() or connecting.exception() is not None:
            # The request that waited for it has already reported the failure.
            return
        if self._closed:
            connecting.result().close()
        else:
            self._release(key, connecting.result())
            if self._on_late_connect is not None:
                self._on_late_connect(f"{key.host}:{key.port}")


def connector(
    *,
    connect_limit: int,
    user_timeout_s: float,
    keepalive_s: float = 15.0,
    on_late_connect: Callable[[str], None] | None = None,
) -> aiohttp.TCPConnector:
    """Return a connection pool that applies `set_timeouts` to each connection.

    Parameters
    ----------
    connect_limit
        Maximum connections to one address; 0 for no limit.
    user_timeout_s
        Maximum time that sent data stays unacknowledged, and maximum time to connect.
    keepalive_s
        Time for which an idle connection stays in the pool.
    on_late_connect
        Called with ``IP:PORT`` of a connection that was established after its request gave up.
    """

    def make_socket(address_info: Any) -> socket.socket:
        family, kind, protocol, _, _ = address_info
        sock = socket.socket(family, kind, protocol)
        sock.setblocking(False)
        set_timeouts(sock, user_timeout_s)
        return sock

    pool = BackgroundConnector(
        max_connect_s=user_timeout_s,
        on_late_connect=on_late_connect,
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
    """Close all idle connections to an address."""
    # The library closes idle connections by age only; there is no public call for one address.
    for key in [k for k in pool._conns if f"{k.host}:{k.port}" == address]:
        for protocol, _ in pool._conns.pop(key):
            protocol.close()
