"""First steps of a process, before its other imports: note the time and listen to callers.

Only the standard library is imported here; the other imports take most of a second.
"""

from __future__ import annotations

import configparser
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .process_signals import ProcessSignals

#: Maximum number of unaccepted connections: several seconds of a large zone's callers.
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """Start time, signals and early socket of a process.

    Parameters
    ----------
    started_s
        Start time on the monotonic clock.
    signals
        Signals that the process has received and will receive.
    callers_socket
        The listening socket for callers; None if it is not open yet.
    """

    started_s: float
    signals: ProcessSignals
    callers_socket: socket.socket | None = None


def listen_early(path: str) -> socket.socket | None:
    """Open the socket for callers from a settings file; return None if that fails.

    Without this socket, connections are refused during the imports, 0.7 s on a fraction of a core.
    If all instances have crashed, the callers' only retry is refused too and they give up. With the
    socket open, connections wait for that time and are served.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path)
        host, _, port = parser["listen"]["callers"].rpartition(":")
        address = (host, int(port))
    except (ValueError, KeyError, configparser.Error):
        # The error is reported when all settings are read.
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        # The error is reported when the server opens the socket.
        listener.close()
        return None
    listener.setblocking(False)
    return listener
