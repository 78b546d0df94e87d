"""Server connections to callers, closed when idle or when a request head arrives too slowly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from ..events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..core.routes import RequestLimits

_HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class CallerHandler(web.RequestHandler):
    """Connection to one caller, with a time limit for each request head.

    Parameters
    ----------
    head_timeout_s
        Maximum time from the first to the last byte of a request head.

    Notes
    -----
    The library has no time limit for a head. A few hundred callers that send a byte now and then
    would use all file descriptors, and no other caller could connect.
    """

    __slots__ = ("_head_timeout_s", "_head_timer")

    def __init__(self, manager: web.Server, *, head_timeout_s: float, **options: Any) -> None:
        super().__init__(manager, **options)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes; start the head timer if they begin a new head."""
        # Only a pending waiter shows that the library waits for a head. No other attribute shows
        # a request that is being handed to its handler, so its body would be mistaken for a head.
        was_idle = self._waiter is not None and not self._waiter.done()
        prior_requests = self._request_count
        super().data_received(data)
        if self._request_count > prior_requests:
            self._stop_timer()
        elif was_idle and self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(self._head_timeout_s, self._give_up_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the head timer when the connection ends."""
        self._stop_timer()
        super().connection_lost(exc)

    def _give_up_head(self) -> None:
        self._head_timer = None
        emit(Event.HEAD_TOO_SLOW, after_s=self._head_timeout_s)
        if self.transport is not None:
            self.transport.write(_HEAD_TOO_SLOW)
        self.force_close()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class CallerServer(web.Server):
    """Factory of a `CallerHandler` per connection, with the limits in force when it begins.

    Parameters
    ----------
    limits
        Returns the configured limits, or None before the first configuration.
    initial_idle_timeout_s
        Idle and head timeout of connections that begin before the first configuration.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], RequestLimits | None],
        *,
        initial_idle_timeout_s: float,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._limits = limits
        self._initial_idle_timeout_s = initial_idle_timeout_s

    def __call__(self) -> CallerHandler:
        """Return the handler of a new connection."""
        limits = self._limits()
        idle_s = self._initial_idle_timeout_s if limits is None else limits.idle_timeout_s
        head_s = idle_s if limits is None else limits.header_timeout_s
        return CallerHandler(
            self,
            loop=asyncio.get_running_loop(),
            head_timeout_s=head_s,
            keepalive_timeout=idle_s,
            **self._kwargs,
        )
