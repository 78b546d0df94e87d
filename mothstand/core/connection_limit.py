"""Limit on callers' connections, so that file descriptors are left for upstreams and peers."""

from __future__ import annotations

from dataclasses import dataclass

#: Descriptors for files, and at most this part of all.
_FILE_DESCRIPTORS = 200
_MAX_FILE_SHARE = 0.25

#: Part of the sockets that is kept beside those of callers and their requests.
_MAX_RESERVED_SHARE = 0.25


@dataclass(slots=True)
class ConnectionLimit:
    """Open connections of callers against their maximum.

    Parameters
    ----------
    max_sockets
        Sockets that callers may take: one a connection, one more while it has a request, for the
        connection to its upstream.
    open, busy
        Connections that are open, and those of them that have a request.
    """

    max_sockets: int
    open: int = 0
    busy: int = 0

    @classmethod
    def of(cls, file_descriptors: int, *, backlog: int) -> ConnectionLimit:
        """Return the limit for a process.

        Parameters
        ----------
        file_descriptors
            Descriptors that it may open.
        backlog
            Connections that may be accepted in one pass of the event loop, before any is closed.
        """
        files = min(_FILE_DESCRIPTORS, int(file_descriptors * _MAX_FILE_SHARE))
        sockets = file_descriptors - files
        reserved = min(backlog + backlog // 8, int(sockets * _MAX_RESERVED_SHARE))
        return cls(sockets - reserved)

    @property
    def has_room(self) -> bool:
        """Whether the maximum is kept."""
        return self.open + self.busy <= self.max_sockets
