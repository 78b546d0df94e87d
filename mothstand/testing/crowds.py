"""Crowds of callers that do not behave, on raw sockets, and what they make a process hold."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from concurrent.futures import wait
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from .gateway_fleet import ONCE_PREFIX, request_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from concurrent.futures import Future

    from .fleet import FleetProcess

#: Receive buffer of callers that read nothing, small so that their answers stay at the instance.
_RECEIVE_BUFFER_BYTES = 4_096

_request_numbers = itertools.count()


class Caller:
    """A raw connection that sends any bytes and reads nothing by itself."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    async def send(self, data: bytes) -> None:
        """Send bytes; waits while the other end takes no more."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class Crowd:
    """Callers that connect to one address at once and stay until the crowd is closed.

    Parameters
    ----------
    address
        ``IP:PORT`` of the instance.
    count
        Number of callers.
    script
        What each of them sends. A caller stays connected after its script's end, or its failure.
    """

    def __init__(
        self, address: str, count: int, script: Callable[[Caller], Awaitable[None]]
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._script = script
        self._callers: list[Caller] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._scripts: list[Future[None]] = [
            asyncio.run_coroutine_threadsafe(self._play(), self._loop) for _ in range(count)
        ]

    def __enter__(self) -> Crowd:
        """Return the crowd."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def stay(self, *, at_least_s: float, at_most_s: float) -> None:
        """Return when all callers have sent what they send, or later."""
        done, _ = wait(self._scripts, timeout=at_most_s)
        time.sleep(at_least_s)
        for script in done:
            script.result()

    async def _play(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        caller = Caller(sock)
        self._callers.append(caller)
        # The instance may refuse a caller or close its connection.
        with contextlib.suppress(OSError):
            await self._loop.sock_connect(sock, self._address)
            await self._script(caller)

    async def _close(self) -> None:
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for caller in self._callers:
            caller.close()


def request_head(
    path: str = ONCE_PREFIX, *, extra: str = "", request_id: str = "", parts: str = ""
) -> bytes:
    """Return the head of a proper request without its end; `extra` is lines of more headers."""
    name = request_id or f"crowd-{next(_request_numbers)}"
    lines = "".join(f"{k}: {v}\r\n" for k, v in request_headers(name, parts=parts).items())
    return f"POST {path} HTTP/1.1\r\n{lines}{extra}".encode()


def sized_head(size_bytes: int, path: str = ONCE_PREFIX) -> bytes:
    """Return the head of a proper request with a body of this size."""
    return request_head(path, extra=f"Content-Length: {size_bytes}\r\n\r\n")


def chunked_head(path: str = ONCE_PREFIX) -> bytes:
    """Return the head of a proper request with a body in chunks."""
    return request_head(path, extra="Transfer-Encoding: chunked\r\n\r\n")


@dataclass(frozen=True, slots=True)
class HeldByProcess:
    """What a process holds.

    Parameters
    ----------
    peak_bytes
        Highest resident memory since its start.
    resident_bytes
        Resident memory now.
    descriptors
        Open files, sockets included.
    """

    peak_bytes: int
    resident_bytes: int
    descriptors: int

    @classmethod
    def read(cls, process: FleetProcess) -> HeldByProcess:
        """Return what a running process holds now."""
        folder = Path("/proc") / str(process.process.pid)
        lines = (folder / "status").read_text(encoding="ascii").splitlines()
        values = dict(line.split(":", 1) for line in lines)
        return cls(
            int(values["VmHWM"].split()[0]) * 1024,
            int(values["VmRSS"].split()[0]) * 1024,
            len(list((folder / "fd").iterdir())),
        )
