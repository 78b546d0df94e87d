"""Splits a stream of server-sent events and skips events that the caller already received."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One complete event as received, with its trailing blank line.

    Parameters
    ----------
    event_id
        Empty if the event has none.
    """

    raw: bytes
    event_id: str


@dataclass(slots=True)
class EventSplitter:
    """Splits a body, received in chunks, into complete events.

    Notes
    -----
    An upstream may stop in the middle of an event. If bytes were forwarded as received, the caller
    would hold a partial event, and events of another upstream could not follow it.
    """

    _rest: bytes = b""

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add a chunk and return the events that are now complete."""
        self._rest += data
        events = []
        start = 0
        for end in _END.finditer(self._rest):
            raw = self._rest[start : end.end()]
            found = _ID.search(raw)
            events.append(ServerEvent(raw, found.group(1).decode("latin-1") if found else ""))
            start = end.end()
        self._rest = self._rest[start:]
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether the body received so far ends with a complete event."""
        return not self._rest.strip()


@dataclass(slots=True)
class StreamProgress:
    """The part of a stream that the caller received, from all upstreams that produced it.

    Parameters
    ----------
    last_event_id
        Id of the last event that was sent; a resumed stream continues after it.
    sent_events
        Number of events sent so far.
    """

    last_event_id: str = ""
    events: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)

    def restart(self) -> None:
        """Drop a partial event before another upstream continues."""
        self.splitter = EventSplitter()

    def take(self, data: bytes) -> bytes:
        """Add a chunk of a body and return its complete events that the caller does not have."""
        passed = []
        for event in self.splitter.feed(data):
            if self._has(event):
                continue
            passed.append(event.raw)
            self.events += 1
            self.last_event_id = event.event_id or self.last_event_id
        return b"".join(passed)

    def _has(self, event: ServerEvent) -> bool:
        """Return whether an event was sent before, by its numeric id."""
        if not (event.event_id.isdecimal() and self.last_event_id.isdecimal()):
            return False
        return int(event.event_id) <= int(self.last_event_id)
