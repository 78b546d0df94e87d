"""Splits a stream of server-sent events, and tells which events a caller still lacks."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One whole event as it came, with its blank line.

    Parameters
    ----------
    event_id
        Empty if it has none.
    """

    raw: bytes
    event_id: str


@dataclass(slots=True)
class EventSplitter:
    """Takes a body in pieces and returns whole events.

    Notes
    -----
    An upstream may stop in the middle of an event. Passing on bytes as they come would leave
    half an event with the caller, to which another upstream's events cannot be joined.
    """

    _buffer: bytes = b""

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Return the events that are whole now."""
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer):
            raw = self._buffer[start : end.end()]
            id_match = _EVENT_ID.search(raw)
            events.append(ServerEvent(raw, id_match.group(1).decode("latin-1") if id_match else ""))
            start = end.end()
        self._buffer = self._buffer[start:]
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether the body so far ends with a whole event."""
        return not self._buffer.strip()


@dataclass(slots=True)
class StreamProgress:
    """What a caller has of a stream, over all the upstreams that made it.

    Parameters
    ----------
    last_event_id
        Of the last event passed on; where a resumed stream goes on.
    events
        Passed on so far.
    """

    last_event_id: str = ""
    sent_events: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)

    def restart(self) -> None:
        """Forget half an event, before another upstream goes on."""
        self.splitter = EventSplitter()

    def feed(self, data: bytes) -> bytes:
        """Return what to pass on of a piece of a body: whole events that the caller lacks."""
        new_events = []
        for event in self.splitter.feed(data):
            if self._was_sent(event):
                continue
            new_events.append(event.raw)
            self.sent_events += 1
            self.last_event_id = event.event_id or self.last_event_id
        return b"".join(new_events)

    def _was_sent(self, event: ServerEvent) -> bool:
        """Return whether an event was passed on before, by its number."""
        if not (event.event_id.isdecimal() and self.last_event_id.isdecimal()):
            return False
        return int(event.event_id) <= int(self.last_event_id)
