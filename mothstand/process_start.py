"""What an instance does before its imports: it takes the time, and listens to callers.

Nothing but the standard library is imported here; the rest of the start takes most of a second.
"""

from __future__ import annotations

import configparser
import socket
from dataclasses import dataclass

#: Connections that wait until they are accepted: several seconds of a large zone's callers.
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The beginning of a process.

    Parameters
    ----------
    started_s
        On the monotonic clock.
    callers
        The socket that callers connect to; None if it is still to be opened.
    """

    started_s: float
    callers_socket: socket.socket | None = None


def listen_early(path: str) -> socket.socket | None:
    """Open the socket for callers that a settings file names, or return None.

    Without it callers are turned away for as long as the imports take, 0.7 s on a part of a core.
    After the death of all instances their one retry is turned away as well, and they give up; on
    an open socket they wait for that time and are served.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path)
        host, _, port = parser["listen"]["callers"].rpartition(":")
        address = (host, int(port))
    except (ValueError, KeyError, configparser.Error):
        # Whoever reads the settings in full tells what is wrong.
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        # Whoever listens later tells what is wrong.
        listener.close()
        return None
    listener.setblocking(False)
    return listener
