"""Tests of the instance whose network path to chosen addresses can be cut."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from ..testing.fleet import wait_until
from ..testing.partitioned_gateway import Partition, PartitionedSockets, PartitionMode

if TYPE_CHECKING:
    from pathlib import Path

_PORT = 81


class _ClosingSocket(socket.socket):
    """Socket that is closed right after it was seen open."""

    def fileno(self) -> int:
        return 99


def test_a_socket_that_closes_while_a_partition_begins_does_not_keep_it_from_ending(
    tmp_path: Path,
) -> None:
    # Guards against an instance that stays cut off, as the thread that follows the file has ended.
    sockets = PartitionedSockets(tmp_path / "partition")
    closing = _ClosingSocket()
    sockets.note_connecting(closing, _PORT)
    closing.close()
    threading.Thread(target=sockets.follow_file, daemon=True).start()

    Partition(PartitionMode.HANG, frozenset({_PORT})).write(sockets.path)
    wait_until(lambda: sockets.is_cut(_PORT), "the partition has not begun")
    Partition().write(sockets.path)

    wait_until(lambda: not sockets.is_cut(_PORT), "the partition has not ended", timeout_s=2.0)
