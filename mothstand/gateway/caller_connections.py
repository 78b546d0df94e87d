"""Callers' connections, which are closed when a head is slow or nothing comes for long."""

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
    """One caller's connection.

    Parameters
    ----------
    head_timeout_s
        From the first byte of a request's head to its last.

    Notes
    -----
    The library reads a head for as long as its bytes trickle in. A few hundred callers that send a
    byte now and then would take all descriptors, and everybody else could not connect.
    """

    __slots__ = ("_head_timeout_s", "_head_timer")

    def __init__(self, manager: web.Server, *, head_timeout_s: float, **options: Any) -> None:
        super().__init__(manager, **options)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Take bytes; between two requests they begin a head, whose time runs from now."""
        # The library waits for a head, and so has no request: between two of its steps a request
        # that is being handed over stands nowhere else, and its body would pass for a head.
        was_idle = self._waiter is not None and not self._waiter.done()
        prior_requests = self._request_count
        super().data_received(data)
        if self._request_count > prior_requests:
            self._stop_timer()
        elif was_idle and self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(self._head_timeout_s, self._give_up_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End with the connection."""
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
    """Makes a `CallerHandler` for each connection, by the limits in force when it begins.

    Parameters
    ----------
    limits
        The operators' limits; None before the first configuration.
    first_idle_timeout_s
        For connections that begin before that.
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
