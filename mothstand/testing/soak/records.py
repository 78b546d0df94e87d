"""What upstreams and callers of a soak record, by request id."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

#: Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})

#: Runs that the routes allow a request that may run more than once.
MAX_ATTEMPTS = 2


class Kind(Enum):
    """Kind of a request; the values are the paths of the routes."""

    ONCE = "/once/"
    #: As `ONCE`, but its caller keeps the id of a request that was refused.
    KEPT_ID = "/kept-id/"
    REPEATABLE = "/repeatable/"
    STREAM = "/stream/"
    RESUMABLE = "/resumable/"

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a series of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)

    @property
    def may_run_twice(self) -> bool:
        """Whether it may run more than once."""
        return self in (Kind.REPEATABLE, Kind.RESUMABLE)


@dataclass(slots=True)
class Run:
    """One run of a request at an upstream.

    Parameters
    ----------
    body
        The whole answer; of a stream, all events of this run.
    """

    upstream_id: str
    version: str
    began_s: float
    status: int
    signature: str
    body: bytes


@dataclass(slots=True)
class Attempt:
    """One try of a caller.

    Parameters
    ----------
    subject
        Text that every answer to this request repeats.
    after_event
        Number of the last event that the caller had before.
    status
        Status of the answer; 0 if no head was received.
    is_complete
        Whether the answer ended as its framing says.
    protocol_error
        What was received that is no answer; empty for nothing.
    has_left
        Whether the caller closed the connection before the end.
    """

    request_id: str
    kind: Kind
    subject: str
    instance: str
    sent_s: float
    after_event: int = 0
    status: int = 0
    request_ids: tuple[str, ...] = ()
    signature: str = ""
    body: bytes = b""
    is_complete: bool = False
    protocol_error: str = ""
    has_left: bool = False


@dataclass(slots=True)
class SoakLog:
    """Runs and attempts by request id, and what upstreams sent besides answers."""

    runs: defaultdict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    attempts: dict[str, Attempt] = field(default_factory=dict)
    versions: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    foreign_bodies: dict[str, bytes] = field(default_factory=dict)
    extras: int = 0
    lines: list[str] = field(default_factory=list)

    def write(self, at_s: float, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{at_s:9.3f} {text}")


def event(number: int, subject: str, version: str) -> bytes:
    """Return an event of a stream."""
    data = json.dumps({"subject": subject, "version": version})
    return f"id: {number}\ndata: {data}\n\n".encode()
