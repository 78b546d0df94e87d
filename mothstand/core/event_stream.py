"""Splits a stream of server-sent events and skips events that the caller already received."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from .answer_limits import MAX_EVENT_BYTES

#: End of a line and an empty line, each of which may end in its own way. A carriage return in the
#: end may be half of a line end, so that it counts once the next byte is there.
_EVENT_END = re.compile(
    rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n)"
    rb"|\r\r"
    rb"|(?:\r\n|\n)\r(?=[^\n])"
)

#: Bytes of the longest end of an event that may have arrived before its last byte.
_PARTIAL_END_BYTES = 3

#: Maximum bytes of a foreign event that an error quotes.
_MAX_QUOTED_BYTES = 60

_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


#: A line of an event: a comment, or a field with or without a value. The name of a field has no
#: slash, so that a status line is none.
_EVENT_LINE = re.compile(rb"(?:\xef\xbb\xbf)?(?::.*|[^\x00-\x20:/]+(?::.*)?)?")

#: A field that an event with any fields has.
_STANDARD_FIELD = re.compile(rb"(?:\xef\xbb\xbf)?(?:data|event|id|retry)(?::.*)?")


class ForeignEventError(Exception):
    """Raised for bytes that are no event of the stream in which they came.

    Parameters
    ----------
    valid_events
        Events before them that the caller does not have.
    """

    def __init__(self, message: str, valid_events: bytes) -> None:
        super().__init__(message)
        self.valid_events = valid_events


class EventTooLongError(Exception):
    """Raised if an event does not end within the maximum size."""


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

    @property
    def is_well_formed(self) -> bool:
        """Whether each line is a comment or a field, and one of the fields is that of an event."""
        lines = self.raw.splitlines()
        if not all(_EVENT_LINE.fullmatch(line) for line in lines):
            return False
        fields = [line for line in lines if line and not line.startswith(b":")]
        return not fields or any(_STANDARD_FIELD.fullmatch(line) for line in fields)


@dataclass(slots=True)
class EventSplitter:
    """Splits a body, received in chunks, into complete events.

    Notes
    -----
    An upstream may stop in the middle of an event. If bytes were forwarded as received, the caller
    would hold a partial event, and events of another upstream could not follow it.
    """

    max_event_bytes: int = MAX_EVENT_BYTES
    _buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add a chunk and return the events that are now complete.

        Raises
        ------
        EventTooLongError
            If the chunk has no complete event and the partial one is too long.
        """
        searched_bytes = max(0, len(self._buffer) - _PARTIAL_END_BYTES)
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, searched_bytes):
            raw = bytes(self._buffer[start : end.end()])
            ids = _EVENT_ID.findall(raw)
            # As for clients, the last one counts.
            events.append(ServerEvent(raw, ids[-1].decode("latin-1") if ids else ""))
            start = end.end()
        del self._buffer[:start]
        if not events and len(self._buffer) > self.max_event_bytes:
            raise EventTooLongError(f"an event of over {self.max_event_bytes} bytes")
        return events

    @property
    def held_bytes(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._buffer)

    @property
    def is_between_events(self) -> bool:
        """Whether the body received so far ends with a complete event."""
        return not self._buffer.strip()


@dataclass(slots=True)
class StreamProgress:
    """The part of a stream that the caller received, from all upstreams that produced it.

    Parameters
    ----------
    last_event_id
        Id of the last event that was sent; a resumed stream continues after it.
    sent_events, skipped_events
        Numbers of events sent so far, and of those that the caller already had.
    """

    last_event_id: str = ""
    sent_events: int = 0
    skipped_events: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    _run_event_id: str = ""

    def restart(self) -> None:
        """Drop a partial event before another upstream continues."""
        self.splitter = EventSplitter()
        self._run_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Add a chunk of a body and return its complete events that the caller does not have.

        Raises
        ------
        EventTooLongError
            If an event has no end.
        ForeignEventError
            If a part is no event, or its number goes back within the answer of one upstream.
        """
        new_events: list[bytes] = []
        for event in self.splitter.feed(data):
            if not event.is_well_formed or _is_at_most(event.event_id, self._run_event_id):
                start = event.raw[:_MAX_QUOTED_BYTES]
                raise ForeignEventError(
                    f"no event after {self.last_event_id!r}: {start!r}", b"".join(new_events)
                )
            self._run_event_id = event.event_id or self._run_event_id
            if _is_at_most(event.event_id, self.last_event_id):
                self.skipped_events += 1
                continue
            new_events.append(event.raw)
            self.sent_events += 1
            self.last_event_id = event.event_id or self.last_event_id
        return b"".join(new_events)


def _is_at_most(event_id: str, other_id: str) -> bool:
    """Return whether an event's number is not above that of another; False if one has none."""
    if not (event_id.isdecimal() and other_id.isdecimal()):
        return False
    return _sort_key(event_id) <= _sort_key(other_id)


def _sort_key(number: str) -> tuple[int, str]:
    """Return a key that orders decimal numbers of any length; only short ones can be converted."""
    digits = number.lstrip("0")
    return len(digits), digits
