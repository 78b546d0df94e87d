"""Runs a gateway instance whose network path to chosen addresses can be cut.

Run as ``python -m mothstand.testing.partitioned_gateway SETTINGS PARTITION``. The file PARTITION
holds a `Partition` as JSON and may change at any time; without it all paths are open.
"""

from __future__ import annotations

import asyncio
import ctypes
import errno
import json
import os
import socket
import struct
import sys
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import uvloop

from ..gateway_main import main

_POLL_INTERVAL_S = 0.01

#: Socket options of Linux for packet filters, which the standard library does not name.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27

#: Packet filter of one instruction, which drops every incoming packet.
_DROP_ALL = (ctypes.c_ubyte * 8).from_buffer_copy(struct.pack("HBBI", 0x06, 0, 0, 0))
_FILTER = struct.pack("HL", 1, ctypes.addressof(_DROP_ALL))

#: Address of the family AF_UNSPEC; connecting to it resets a connection on Linux.
_UNSPECIFIED = bytes(16)

_libc = ctypes.CDLL(None, use_errno=True)


class PartitionMode(Enum):
    """What happens to connections to the addresses behind a partition."""

    OPEN = "open"
    HANG = "packets of old and new connections are dropped"
    RESET = "old connections are reset, new ones are refused"
    REFUSE_NEW = "old connections live on, new ones are refused"


@dataclass(frozen=True, slots=True)
class Partition:
    """Mode of a partition and the ports behind it."""

    mode: PartitionMode = PartitionMode.OPEN
    ports: frozenset[int] = frozenset()

    def write(self, path: Path) -> None:
        """Write the partition to a file that `PartitionedSockets` reads."""
        value = {"mode": self.mode.name, "ports": sorted(self.ports)}
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(value), encoding="utf-8")
        temporary.replace(path)

    @classmethod
    def read(cls, path: Path) -> Partition:
        """Return the partition in a file, or an open one if there is no file."""
        try:
            value = json.loads(path.read_text(encoding="utf-8"))
        except FileNotFoundError:
            return cls()
        return cls(PartitionMode[value["mode"]], frozenset(value["ports"]))


@dataclass(slots=True)
class PartitionedSockets:
    """The client sockets of this process, and the partition that applies to them."""

    path: Path
    partition: Partition = field(default_factory=Partition)
    _sockets: dict[socket.socket, int] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def is_cut(self, port: int) -> bool:
        """Return whether a port is behind the partition."""
        return self.partition.mode is not PartitionMode.OPEN and port in self.partition.ports

    def note_connecting(self, sock: socket.socket, port: int) -> None:
        """Register a socket that is about to connect.

        Raises
        ------
        ConnectionRefusedError
            If the partition refuses new connections to the port.
        """
        with self._lock:
            if self.is_cut(port):
                if self.partition.mode is not PartitionMode.HANG:
                    raise ConnectionRefusedError(port)
                sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _FILTER)
            self._sockets[sock] = port

    def follow_file(self) -> None:
        """Apply changes of the partition's file, forever."""
        while True:
            partition = Partition.read(self.path)
            if partition != self.partition:
                with self._lock:
                    self._apply(partition)
            time.sleep(_POLL_INTERVAL_S)

    def _apply(self, partition: Partition) -> None:
        for sock in [s for s in self._sockets if s.fileno() < 0]:
            del self._sockets[sock]
        was_cut = {sock for sock, port in self._sockets.items() if self.is_cut(port)}
        was_hanging = self.partition.mode is PartitionMode.HANG
        self.partition = partition
        for sock, port in self._sockets.items():
            if was_hanging and sock in was_cut:
                _set_option(sock, _SO_DETACH_FILTER, 0)
            if not self.is_cut(port):
                continue
            if partition.mode is PartitionMode.HANG:
                _set_option(sock, _SO_ATTACH_FILTER, _FILTER)
            elif partition.mode is PartitionMode.RESET:
                _libc.connect(sock.fileno(), _UNSPECIFIED, len(_UNSPECIFIED))


def _set_option(sock: socket.socket, option: int, value: int | bytes) -> None:
    """Set an option of a socket; the event loop may have closed it meanwhile."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, option, value)
    except OSError as error:
        if error.errno != errno.EBADF:
            raise


def _partition_loop(sockets: PartitionedSockets) -> None:
    """Make all event loops of this process connect through the partition."""
    sock_connect = uvloop.Loop.sock_connect
    create_connection = uvloop.Loop.create_connection

    async def partitioned_sock_connect(loop: Any, sock: socket.socket, address: Any) -> None:
        sockets.note_connecting(sock, address[1])
        await sock_connect(loop, sock, address)

    async def partitioned_create_connection(
        loop: Any, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        if port is not None and sockets.is_cut(int(port)):
            if sockets.partition.mode is not PartitionMode.HANG:
                raise ConnectionRefusedError(port)
            await asyncio.Event().wait()
        return await create_connection(loop, protocol_factory, host, port, **options)

    for name, method in (
        ("sock_connect", partitioned_sock_connect),
        ("create_connection", partitioned_create_connection),
    ):
        setattr(uvloop.Loop, name, method)


def run(settings_path: str, partition_path: str) -> None:
    """Run the instance until SIGTERM."""
    sockets = PartitionedSockets(Path(partition_path))
    threading.Thread(target=sockets.follow_file, daemon=True).start()
    _partition_loop(sockets)
    sys.argv = [sys.argv[0], settings_path]
    main()
    # The thread would delay the end of the process.
    sys.stdout.flush()
    os._exit(0)


if __name__ == "__main__":
    run(sys.argv[1], sys.argv[2])
