"""Server connections to callers, which bound what each caller makes the instance hold."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from aiohttp import web

from ..errors import ErrorKind, Refusal
from ..events import Event, emit
from .sockets import reset

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from aiohttp.streams import StreamReader

    from ..core.caller_memory import CallerMemory, Holding
    from ..core.connection_limit import ConnectionLimit
    from ..core.routes import RequestLimits

#: Memory that a connection takes without any bytes of its caller.
_CONNECTION_BYTES = 6_000

#: Memory that a request takes while it runs, and copies of its head in that time.
_REQUEST_BYTES = 50_000
_HEAD_COPIES = 4

#: Copies of the latest head, which the library keeps until the next one.
_KEPT_HEAD_COPIES = 2

#: Bytes of chunk framing that a body may have beyond as many as its content has.
_MAX_FRAMING_BYTES = 16_384

#: Bytes of a chunked body that are parsed before its framing is checked again.
_PARSED_PIECE_BYTES = 16_384

#: Bytes that are read behind a running request.
_MAX_BEHIND_BYTES = 65_536

#: What is read and dropped so that a refusal reaches a caller that still sends: closing a
#: connection with unread bytes would reset it.
_MAX_DISCARDED_BYTES = 8_388_608
_DISCARD_S = 2.0

#: Seconds between two looks at an answer that its caller has not taken.
_UNREAD_CHECK_INTERVAL_S = 1.0

#: Framing of a header field.
_FIELD_OVERHEAD_BYTES = 4

_HEAD_END = b"\r\n\r\n"

_HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
_NO_MEMORY = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class CallerHandler(web.RequestHandler):
    """Connection to one caller.

    Parameters
    ----------
    head_timeout_s
        Maximum time from the first to the last byte of a request head.
    max_head_bytes
        Maximum bytes of a request head.
    unread_timeout_s
        Maximum time for which a caller takes nothing of its answer.
    memory
        Account of what is held for callers.

    Notes
    -----
    The library has no time limit for a head. A few hundred callers that send a byte now and then
    would use all file descriptors, and no other caller could connect.

    All bytes count from their arrival until the end of their request, except those of a body that
    is refused: from then on they are read and dropped.
    """

    __slots__ = (
        "_arriving",
        "_arriving_wire_bytes",
        "_body_refused",
        "_connection",
        "_discarded_bytes",
        "_head_bytes",
        "_head_timeout_s",
        "_head_timer",
        "_held",
        "_is_busy",
        "_is_held_back",
        "_max_head_bytes",
        "_memory",
        "_refusal",
        "_request_bytes",
        "_server",
        "_unread",
        "_unread_progress_s",
        "_unread_timeout_s",
        "_unread_timer",
        "is_discarding",
    )

    def __init__(
        self,
        manager: CallerServer,
        *,
        head_timeout_s: float,
        max_head_bytes: int,
        unread_timeout_s: float,
        memory: CallerMemory,
        **options: Any,
    ) -> None:
        super().__init__(manager, **options)
        self.is_discarding = False
        self._server = manager
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._max_head_bytes = max_head_bytes
        self._unread_timeout_s = unread_timeout_s
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unread_progress_s = 0.0
        self._memory = memory
        self._held: Holding = memory.open(self._drop_arriving)
        self._unread: Holding = memory.open(self._drop_unread, is_answer=True)
        # The library forgets its transport when it begins to close it.
        self._connection: asyncio.Transport | None = None
        # Payload of the latest request until its end, and whether that comes in chunks.
        self._arriving: tuple[StreamReader, bool] | None = None
        self._arriving_wire_bytes = 0
        self._body_refused: Callable[[Refusal], None] | None = None
        self._refusal: Refusal | None = None
        self._request_bytes = 0
        self._head_bytes = 0
        self._is_busy = False
        self._is_held_back = False
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin a connection, or close it at once if there is no room for it."""
        super().connection_made(transport)
        self._connection = self.transport
        self._server.note_connected(self)
        if not self._memory.grow(self._held, _CONNECTION_BYTES):
            self._server.note_refused("memory")
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back all that the connection has taken."""
        self._stop_head_timer()
        if self._unread_timer is not None:
            self._unread_timer.cancel()
        self._server.note_lost(self, is_busy=self._is_busy)
        self._memory.close(self._unread)
        if self._current_request is None:
            self._memory.close(self._held)
        self._memory.set_evictable(self._held, is_evictable=False)
        self._connection = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count and parse received bytes, or refuse what they belong to."""
        if not data:
            # The library calls this when more can be parsed.
            self._parse(data)
            return
        if self.is_discarding or self._force_close or self._close:
            self._discard(data)
            return
        if not self._is_busy and self._arriving is not None:
            # The library reads and drops the rest of a body after its answer.
            self._discard(data)
            self._parse(data)
            return
        if self._is_waiting_for_head and self._head_timer is None:
            self._memory.shrink(self._held, _CONNECTION_BYTES)
            self._head_bytes = 0
        if not self._take(data):
            return
        for begin in range(0, len(data), _PARSED_PIECE_BYTES):
            if self._arriving is not None and not self._arriving[1]:
                self._parse(data[begin:])
                break
            self._parse(data[begin : begin + _PARSED_PIECE_BYTES])
            if self.is_discarding or self._close or self._force_close:
                break
        self._hold_back()

    def _take(self, data: bytes) -> bool:
        """Take memory for received bytes; if there is none, refuse what they belong to."""
        if self._is_waiting_for_head:
            if self._take_request(data) and self._memory.grow(self._held, len(data)):
                return True
            self._end_head(_NO_MEMORY, "no memory")
            return False
        if self._memory.grow(self._held, len(data)):
            return True
        self._drop_arriving()
        return False

    @property
    def _is_waiting_for_head(self) -> bool:
        # No attribute of the library shows a request that is being handed to its handler; its body
        # would be mistaken for a head.
        return not self._is_busy and self._arriving is None

    def _parse(self, data: bytes) -> None:
        was_waiting = self._is_waiting_for_head
        prior_requests = self._request_count
        super().data_received(data)
        if self._request_count > prior_requests:
            self._stop_head_timer()
            self._note_request()
        elif was_waiting:
            self._check_head(len(data))
        elif self._arriving is not None:
            self._check_body(len(data))

    def _note_request(self) -> None:
        """Note that a head has been received completely."""
        message, payload = self._messages[-1]
        is_chunked = bool(getattr(message, "chunked", False))
        self._arriving = None if payload.is_eof() else (payload, is_chunked)
        self._arriving_wire_bytes = 0
        self._discarded_bytes = 0
        self._memory.set_evictable(self._held, is_evictable=False)
        if not self._is_busy:
            self._is_busy = True
            self._server.note_busy(self)

    def _take_request(self, data: bytes) -> bool:
        """Take what a request needs beyond its bytes, if these hold the end of its head.

        Many heads are parsed in one pass of the event loop, before any request is handled.
        """
        end = data.find(_HEAD_END)
        if end < 0 or self._request_bytes:
            return True
        size_bytes = _REQUEST_BYTES + _HEAD_COPIES * (self._head_bytes + end)
        if not self._memory.grow(self._held, size_bytes):
            return False
        self._request_bytes = size_bytes
        return True

    def _check_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._max_head_bytes:
            self._end_head(_HEAD_TOO_LARGE, "too large")
            return
        if self._head_timer is None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._give_up_head)
            self._memory.set_evictable(self._held, is_evictable=True)
            self._memory.note_progress(self._held)

    def _check_body(self, wire_bytes: int) -> None:
        assert self._arriving is not None
        payload, is_chunked = self._arriving
        if payload.is_eof():
            self._arriving = None
            return
        self._arriving_wire_bytes += wire_bytes
        framing_bytes = self._arriving_wire_bytes - payload.total_bytes
        if is_chunked and framing_bytes > payload.total_bytes + _MAX_FRAMING_BYTES:
            detail = f"{framing_bytes} bytes of chunk framing for {payload.total_bytes} of content"
            self._refuse_body(Refusal(ErrorKind.BODY_TOO_LARGE, detail))

    def expect_body(self, on_refused: Callable[[Refusal], None]) -> None:
        """Note that the body of the current request is being read.

        Parameters
        ----------
        on_refused
            Called if the rest of it is not read.
        """
        if self._refusal is not None:
            on_refused(self._refusal)
            return
        self._body_refused = on_refused
        self._memory.set_evictable(self._held, is_evictable=True)

    def end_body(self) -> None:
        """Note that the body of the current request has been read or given up."""
        self._body_refused = None
        self._memory.set_evictable(self._held, is_evictable=False)

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a body of this size can be held, as far as it has not arrived yet."""
        arrived_bytes = self._held.size_bytes - self._request_bytes - _CONNECTION_BYTES
        missing_bytes = size_bytes - arrived_bytes
        return missing_bytes <= 0 or self._memory.make_room(self._held, missing_bytes)

    @property
    def has_connections(self) -> bool:
        """Whether the current request may have a connection to an upstream."""
        return self._server.has_room

    def discard_rest(self) -> None:
        """Read and drop what else arrives; the connection ends with the current answer."""
        self.is_discarding = True
        self._arriving = None
        self._memory.set_evictable(self._held, is_evictable=False)
        self._memory.shrink(self._held, _CONNECTION_BYTES)
        self._request_bytes = 0

    def close_without_request(self) -> None:
        """Close the connection, which has no request, to make room for others."""
        self._server.note_refused("descriptors")
        self.force_close()

    def note_unread(self, written_bytes: int = 0) -> None:
        """Count what the caller has not taken of its answer, and watch that it does.

        Parameters
        ----------
        written_bytes
            Bytes that have been written since the latest call, without their framing.
        """
        size_bytes = 0 if self._connection is None else self._connection.get_write_buffer_size()
        before_bytes = self._unread.size_bytes
        if not size_bytes and not before_bytes:
            return
        if size_bytes < before_bytes + written_bytes or not before_bytes:
            self._unread_progress_s = self._loop.time()
            self._memory.set_evictable(self._unread, is_evictable=False)
        if size_bytes <= before_bytes:
            self._memory.shrink(self._unread, size_bytes)
        elif not self._memory.grow(self._unread, size_bytes - before_bytes):
            self._drop_unread()
            return
        self._memory.set_evictable(self._unread, is_evictable=size_bytes > 0)
        if size_bytes and self._unread_timer is None:
            self._watch_unread()

    def _watch_unread(self) -> None:
        self._unread_timer = self._loop.call_later(_UNREAD_CHECK_INTERVAL_S, self._check_unread)

    def _check_unread(self) -> None:
        self._unread_timer = None
        if self._connection is None:
            return
        self.note_unread()
        if not self._unread.size_bytes:
            return
        if self._loop.time() - self._unread_progress_s > self._unread_timeout_s:
            self._drop_unread()
        elif self._unread_timer is None:
            self._watch_unread()

    def _drop_unread(self) -> None:
        """Reset the connection of a caller that does not take its answer."""
        self._memory.close(self._unread)
        self._server.note_refused("unread")
        if self._connection is not None:
            reset(self._connection)

    async def _handle_request(self, request: web.BaseRequest, *args: Any) -> Any:
        try:
            return await super()._handle_request(request, *args)
        finally:
            self._end_request(request)

    def _end_request(self, request: web.BaseRequest) -> None:
        """Give back what the request has taken; bytes of later ones remain counted."""
        self.note_unread()
        if self.transport is None:
            self._memory.close(self._held)
            return
        head_bytes = _head_bytes(request.raw_headers)
        least_bytes = _CONNECTION_BYTES + _KEPT_HEAD_COPIES * head_bytes
        ended_bytes = request.content.total_bytes
        if not self._messages:
            ended_bytes += self._request_bytes
            self._request_bytes = 0
        size_bytes = max(least_bytes, self._held.size_bytes - ended_bytes)
        self._memory.resize(self._held, size_bytes)
        if self._is_held_back:
            self._is_held_back = False
            if self._buffer_paused:
                self._resume_reading_if_drained()
        if not self._messages:
            self._is_busy = False
            self._memory.set_evictable(self._held, is_evictable=True)
            self._server.note_idle(self)

    def _hold_back(self) -> None:
        """Stop reading while much has arrived behind a running request."""
        is_behind = self._is_busy and self._arriving is None and self._body_refused is None
        if not is_behind or self._buffer_paused or self._current_request is None:
            return
        content_bytes = self._current_request.content.total_bytes
        behind_bytes = self._held.size_bytes - self._request_bytes - content_bytes
        if behind_bytes > self._max_head_bytes + _MAX_BEHIND_BYTES:
            self._is_held_back = True
            self._pause_reading_for_buffer()

    def _drop_arriving(self) -> None:
        """Drop what arrives on the connection, or the connection itself if it is idle."""
        if self._is_waiting_for_head and self._head_timer is None and self._request_count:
            self._server.note_refused("idle")
            self.force_close()
        elif self._is_waiting_for_head:
            self._end_head(_NO_MEMORY, "no memory")
        elif self._arriving is not None and not self._messages:
            self._refuse_body(Refusal(ErrorKind.MEMORY_FULL, "the body cannot be held"))
        else:
            self._drop_behind()

    def _drop_behind(self) -> None:
        """Drop all requests behind the running one, which is still answered."""
        self._server.note_refused("behind")
        # A task that was woken for a message fails without it.
        while len(self._messages) > (0 if self._request_in_progress else 1):
            self._messages.pop()
        self._close = True
        self._parser = None
        self.discard_rest()

    def _refuse_body(self, refusal: Refusal) -> None:
        self._server.note_refused("body")
        self._refusal = refusal
        on_refused, self._body_refused = self._body_refused, None
        self.discard_rest()
        if on_refused is not None:
            on_refused(refusal)

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            self.force_close()

    def _give_up_head(self) -> None:
        emit(Event.HEAD_TOO_SLOW, after_s=self._head_timeout_s)
        self._end_head(_HEAD_TOO_SLOW, "too slow")

    def _end_head(self, answer: bytes, reason: str) -> None:
        """Answer an incomplete head, and close the connection when its caller has got that."""
        self._stop_head_timer()
        self._server.note_refused(f"head {reason}")
        self.discard_rest()
        if self.transport is not None:
            self.transport.write(answer)
        self._head_timer = self._loop.call_later(_DISCARD_S, self.force_close)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _head_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(value) + _FIELD_OVERHEAD_BYTES for name, value in headers)


class CallerServer(web.Server):
    """Factory of a `CallerHandler` per connection, with the limits in force when it begins.

    Parameters
    ----------
    limits
        Returns the configured limits, or None before the first configuration.
    initial_idle_timeout_s
        Idle and head timeout of connections that begin before the first configuration.
    memory
        Account of what is held for callers.
    connection_limit
        Limit on the connections; None for none.
    on_refused
        Called with a reason for each connection or request that is not served for lack of room.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], RequestLimits | None],
        *,
        initial_idle_timeout_s: float,
        memory: CallerMemory,
        connection_limit: ConnectionLimit | None = None,
        on_refused: Callable[[str], None] = lambda _: None,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.note_refused = on_refused
        self._limits = limits
        self._initial_idle_timeout_s = initial_idle_timeout_s
        self._memory = memory
        self._connection_limit = connection_limit
        # Connections without a request, the one that has had none for longest first.
        self._idle: OrderedDict[CallerHandler, None] = OrderedDict()
        self._counted: set[CallerHandler] = set()

    def __call__(self) -> CallerHandler:
        """Return the handler of a new connection."""
        limits = self._limits()
        idle_s = self._initial_idle_timeout_s if limits is None else limits.idle_timeout_s
        head_s = idle_s if limits is None else limits.header_timeout_s
        return CallerHandler(
            self,
            loop=asyncio.get_running_loop(),
            head_timeout_s=head_s,
            max_head_bytes=self._kwargs.get("max_field_size", _MAX_BEHIND_BYTES),
            unread_timeout_s=idle_s,
            keepalive_timeout=idle_s,
            memory=self._memory,
            **self._kwargs,
        )

    @property
    def has_room(self) -> bool:
        """Whether one more connection to an upstream is within the limit."""
        return self._connection_limit is None or self._connection_limit.has_room

    def note_connected(self, handler: CallerHandler) -> None:
        """Count a new connection, for which an idle one may have to go."""
        self._idle[handler] = None
        self._counted.add(handler)
        if self._connection_limit is not None:
            self._connection_limit.open += 1
            self._close_idle()

    def note_busy(self, handler: CallerHandler) -> None:
        """Note that a connection has a request."""
        self._idle.pop(handler, None)
        if self._connection_limit is not None:
            self._connection_limit.busy += 1
            self._close_idle()

    def note_idle(self, handler: CallerHandler) -> None:
        """Note that a connection has no request any more."""
        self._idle[handler] = None
        if self._connection_limit is not None:
            self._connection_limit.busy -= 1

    def note_lost(self, handler: CallerHandler, *, is_busy: bool) -> None:
        """Note that a connection has ended."""
        self._idle.pop(handler, None)
        self._uncount(handler)
        if self._connection_limit is not None:
            self._connection_limit.busy -= is_busy

    def _uncount(self, handler: CallerHandler) -> None:
        if handler in self._counted:
            self._counted.remove(handler)
            if self._connection_limit is not None:
                self._connection_limit.open -= 1

    def _close_idle(self) -> None:
        """Close idle connections, the oldest first, until the limit is kept."""
        assert self._connection_limit is not None
        while self._idle and not self._connection_limit.has_room:
            handler, _ = self._idle.popitem(last=False)
            # It ends in the next pass of the event loop.
            self._uncount(handler)
            handler.close_without_request()


def note_unread(request: web.BaseRequest, written_bytes: int) -> None:
    """Count what the caller of a request has not taken of its answer."""
    if isinstance(request.protocol, CallerHandler):
        request.protocol.note_unread(written_bytes)


def is_discarding(request: web.BaseRequest) -> bool:
    """Return whether the connection of a request ends with its answer, the rest being dropped."""
    return isinstance(request.protocol, CallerHandler) and request.protocol.is_discarding


def has_connections(request: web.BaseRequest) -> bool:
    """Return whether a request may have a connection to an upstream."""
    return not isinstance(request.protocol, CallerHandler) or request.protocol.has_connections
