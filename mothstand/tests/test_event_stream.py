"""Tests that events of a stream stay complete and in order over several upstreams."""

from __future__ import annotations

from ..core.event_stream import EventSplitter, StreamProgress


def event(number: int) -> bytes:
    return b"id: %d\ndata: word\n\n" % number


class TestEventSplitter:
    def test_events_come_whole_however_the_bytes_come(self) -> None:
        splitter = EventSplitter()
        body = event(1) + event(2)
        raws = [e.raw for n in range(len(body)) for e in splitter.feed(body[n : n + 1])]
        assert raws == [event(1), event(2)]
        assert splitter.is_between_events

    def test_half_an_event_is_kept(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: wo") == []
        assert not splitter.is_between_events


class TestStreamProgress:
    def test_upstream_that_stops_inside_an_event(self) -> None:
        """A caller got a partial event, followed by the start of another one.

        An upstream crashed in the middle of an event and another one continued, while bytes were
        forwarded as received.
        """
        progress = StreamProgress()
        assert progress.take(event(1) + b"id: 2\nda") == event(1)
        progress.restart()
        assert progress.take(event(2)) == event(2)
        assert (progress.events, progress.last_event_id) == (2, "2")

    def test_events_that_the_caller_has_are_not_sent_twice(self) -> None:
        progress = StreamProgress()
        progress.take(event(1) + event(2))
        progress.restart()
        assert progress.take(event(2) + event(3)) == event(3)
