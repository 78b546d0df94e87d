"""Tests that events of a stream stay complete and in order over several upstreams."""

from __future__ import annotations

import pytest

from ..core.event_stream import EventSplitter, ForeignEventError, StreamProgress


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
        """A caller got a partial event, followed by the start of another one.

        An upstream crashed in the middle of an event and another one continued, while bytes were
        forwarded as received.
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

    @pytest.mark.parametrize(
        "foreign",
        [
            b"HTTP/1.1 503 X\r\nX-Request-Id: r0\r\n\r\n",
            b"HTTP/1.1 200 X\r\n\r\n" + event(1),
            b"id: 2\ndata: word\n\n",
            b"id: 3\nid: 2\ndata: word\n\n",
            b"{}\n\n",
            b"Request-Id: r0\r\nContent-Length: 0\r\n\r\n",
        ],
    )
    def test_bytes_behind_the_events_are_not_passed_on(self, foreign: bytes) -> None:
        # Guards against the answer of another request that is read as events of this stream.
        for size in range(1, len(event(1) + event(2) + foreign) + 1):
            body = event(1) + event(2) + foreign
            progress = StreamProgress()
            passed = b""
            with pytest.raises(ForeignEventError):
                for start in range(0, len(body), size):
                    try:
                        passed += progress.feed(body[start : start + size])
                    except ForeignEventError as error:
                        passed += error.valid_events
                        raise
            assert passed == event(1) + event(2)
            assert progress.last_event_id == "2"

    @pytest.mark.parametrize(
        "block",
        [
            b": still there\n\n",
            b"\n\n",
            b"data: end\n\n",
            b"x-weight-versions: 2\nid: 3\ndata\n\n",
            b"\xef\xbb\xbfid: 3\ndata: word\n\n",
            b"my.field: 1\ndata: word\n\n",
        ],
    )
    def test_comments_and_other_fields_are_events(self, block: bytes) -> None:
        assert StreamProgress().feed(event(1) + event(2) + block) == event(1) + event(2) + block

    def test_event_numbers_may_have_any_length(self) -> None:
        # Guards against a request that fails with an internal error for a number of 5,000 digits.
        first, second = (b"id: 0%s%d\ndata: word\n\n" % (b"1" * 5000, n) for n in (19, 20))
        assert StreamProgress().feed(first + second) == first + second
        with pytest.raises(ForeignEventError):
            StreamProgress().feed(second + first)


#: End of a line and of the empty line behind it, and bytes of the last event that may be held.
_EVENT_ENDS = [
    (b"\n", b"\n", b""),
    (b"\r\n", b"\r\n", b""),
    (b"\r", b"\r", b""),
    (b"\n", b"\r\n", b""),
    (b"\r\n", b"\n", b""),
    (b"\r", b"\r\n", b"\n"),
    (b"\n", b"\r", b"id: 4\ndata: x\n\r"),
    (b"\r\n", b"\r", b"id: 4\r\ndata: x\r\n\r"),
]


@pytest.mark.parametrize(("line_end", "empty_line", "held"), _EVENT_ENDS)
@pytest.mark.parametrize("step", [1, 2, 3, 100])
def test_events_end_at_an_empty_line_however_lines_end(
    line_end: bytes, empty_line: bytes, held: bytes, step: int
) -> None:
    # Guards against two events taken for one with the number of the first, which comes twice.
    progress = StreamProgress()
    body = b"".join(
        b"id: %d" % number + line_end + b"data: x" + line_end + empty_line for number in range(1, 5)
    )
    passed = b"".join(progress.feed(body[at : at + step]) for at in range(0, len(body), step))
    assert passed in (body, body.removesuffix(held))
    expected = 3 if held.startswith(b"id") else 4
    assert (progress.sent_events, progress.last_event_id) == (expected, str(expected))
