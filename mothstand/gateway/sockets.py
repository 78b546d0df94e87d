"""Connections that notice a silent other end."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from typing import Any

#: Seconds of quiet before the kernel asks whether the other end is still there, and between two
#: such probes; two probes without an answer end the connection.
_PROBE_AFTER_S = 1
_PROBE_EVERY_S = 1
_PROBES = 2


def set_timeouts(sock: socket.socket, user_timeout_s: float) -> None:
    """Let the kernel end a connection whose other end no longer acknowledges.

    A machine that lost power, or is behind a partition, answers nothing: without these a request
    that was sent there hangs until its caller gives up. An upstream that thinks for long still
    acknowledges and is left alone.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)


def connector(
    *, connect_limit: int, user_timeout_s: float, keepalive_s: float = 15.0
) -> aiohttp.TCPConnector:
    """Return a pool of connections with `set_timeouts` on each.

    Parameters
    ----------
    connect_limit
        The most connections to one address; 0 for any number.
    keepalive_s
        How long an idle connection may be used again.
    """

    def make(address_info: Any) -> socket.socket:
        family, kind, protocol, _, _ = address_info
        sock = socket.socket(family, kind, protocol)
        sock.setblocking(False)
        set_timeouts(sock, user_timeout_s)
        return sock

    return aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connect_limit,
        keepalive_timeout=keepalive_s,
        socket_factory=make,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
    )
