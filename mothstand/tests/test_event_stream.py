"""Events of streams, whole and in order, over several upstreams."""

from __future__ import annotations

from ..core.event_stream import EventSplitter, StreamProgress


def event(number: int) -> bytes:
    return b"id: %d\ndata: word\n\n" % number


class TestEventSplitter:
    def test_events_are_complete_for_any_chunking(self) -> None:
        splitter = EventSplitter()
        body = event(1) + event(2)
        raws = [e.raw for n in range(len(body)) for e in splitter.feed(body[n : n + 1])]
        assert raws == [event(1), event(2)]
        assert splitter.is_between_events

    def test_partial_event_is_buffered(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: wo") == []
        assert not splitter.is_between_events


class TestStreamProgress:
    def test_partial_event_is_dropped_when_another_upstream_continues(self) -> None:
        """Symptom: a caller gets half an event, and another one's start behind it.

        Sequence: an upstream crashes in the middle of an event, another goes on.
        Cause: bytes were passed on as they came.
        """
        progress = StreamProgress()
        assert progress.feed(event(1) + b"id: 2\nda") == event(1)
        progress.restart()
        assert progress.feed(event(2)) == event(2)
        assert (progress.sent_events, progress.last_event_id) == (2, "2")

    def test_events_already_sent_are_skipped(self) -> None:
        progress = StreamProgress()
        progress.feed(event(1) + event(2))
        progress.restart()
        assert progress.feed(event(2) + event(3)) == event(3)
