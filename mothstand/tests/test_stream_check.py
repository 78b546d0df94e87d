"""Checks of event streams, against whatever an engine may send."""

from __future__ import annotations

import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..core.stream_check import BrokenStreamError, StreamCheck


def event(text: str, *, answer: str = "a", completion: int = 1) -> bytes:
    """Return one event of an answer."""
    value = {
        "id": answer,
        "choices": [{"index": 0, "delta": {"content": text}}],
        "usage": {"prompt_tokens": 3, "completion_tokens": completion},
    }
    return b"data: " + json.dumps(value).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


class TestStreamCheck:
    @given(cuts=st.lists(st.integers(0, 400), max_size=8))
    def test_complete_answer_passes_for_any_chunking(self, cuts: list[int]) -> None:
        stream = event("ett", completion=1) + event("två", completion=2) + DONE
        check = StreamCheck(wants_usage=False)
        bounds = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
        pieces = [stream[a:b] for a, b in itertools.pairwise(bounds)]
        assert b"".join(check.feed(piece) for piece in pieces) == stream
        check.finish()
        assert check.usage is not None
        assert check.usage.total_tokens == 5

    @pytest.mark.parametrize(
        "late",
        [
            event("x", answer="b"),
            b"data: not json\n\n",
            b'data: {"error": {}}\n\n',
            b'data: {"choices": []}\n\n',
            b"data: []\n\n",
            DONE + event("x"),
        ],
    )
    def test_event_outside_the_answer_breaks_the_stream(self, late: bytes) -> None:
        check = StreamCheck(wants_usage=False)
        check.feed(event("ett"))
        with pytest.raises(BrokenStreamError):
            check.feed(late)

    def test_truncated_stream_is_broken(self) -> None:
        check = StreamCheck(wants_usage=False)
        check.feed(event("ett"))
        with pytest.raises(BrokenStreamError):
            check.finish()

    def test_closing_usage_event_only_on_request(self) -> None:
        value = {"id": "a", "choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": 2}}
        usage = b"data: " + json.dumps(value).encode() + b"\n\n"
        assert StreamCheck(wants_usage=True).feed(usage) == usage
        assert StreamCheck(wants_usage=False).feed(usage) == b""

    @given(cut=st.integers(0, 700))
    def test_another_engine_continues_from_any_byte(self, cut: int) -> None:
        """Symptom: a word is missing or doubled where one engine's text meets the other's.

        Sequence: a stream ends at any byte; another engine goes on with what was passed.
        Cause it guards against: counting as sent what was held back, or the other way round.
        """
        words = ["ett ", "två ", "tre ", "fyra "]
        first = b"".join(event(word, completion=n) for n, word in enumerate(words, start=1))
        check = StreamCheck(wants_usage=False)
        sent = check.feed(first[:cut])
        answer = check.answer
        rest = words[len(answer.pieces) :]
        assert answer.can_continue is (len(rest) < len(words))
        if not answer.can_continue:
            return
        second = StreamCheck(wants_usage=False, prior_answer=answer)
        for number, word in enumerate(rest, start=1):
            sent += second.feed(event(word, answer="b", completion=number))
        sent += second.feed(DONE)
        second.finish()
        values = [json.loads(line[6:]) for line in sent.split(b"\n\n") if b"{" in line]
        assert [v["choices"][0]["delta"]["content"] for v in values] == words
        assert {v["id"] for v in values} == {"a"}
        assert values[-1]["usage"]["completion_tokens"] == len(words)
        assert second.usage is not None
        assert second.usage.total_tokens == 3 + len(words)

    @pytest.mark.parametrize("finished", [True, False])
    def test_complete_answer_is_closed_after_its_engine_crashed(self, *, finished: bool) -> None:
        """Symptom: an answer ends as an error though all of its text has come.

        Sequence: an engine dies after its last token, before the end marker.
        Cause: there was nothing left for another engine to make, so the answer was broken off.
        """
        check = StreamCheck(wants_usage=True)
        sent = check.feed(event("ett", completion=1) + event("två", completion=2))
        if finished:
            choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
            value = {"id": "a", "choices": [choice]}
            sent += check.feed(b"data: " + json.dumps(value).encode() + b"\n\n")
        assert not check.answer.is_complete(3) or finished
        assert check.answer.is_complete(2)
        sent += check.answer.closing_events(wants_usage=True)
        lines = sent.decode().strip().split("\n\n")
        assert lines[-1] == "data: [DONE]"
        values = [json.loads(line[6:]) for line in lines[:-1]]
        assert {value["id"] for value in values} == {"a"}
        reason = values[-2]["choices"][0]["finish_reason"]
        assert reason == ("stop" if finished else "length")
        assert values[-1]["usage"]["total_tokens"] == 5

    def test_events_before_a_fault_count_as_sent(self) -> None:
        check = StreamCheck(wants_usage=False)
        with pytest.raises(BrokenStreamError) as broken:
            check.feed(event("ett") + event("x", answer="b"))
        assert broken.value.valid_events == event("ett")
        assert check.answer.text == "ett"

    @pytest.mark.parametrize(
        "choice",
        [
            {"index": 0, "delta": {"tool_calls": []}},
            {"index": 0, "delta": {"content": "x"}, "finish_reason": "stop"},
            {"index": 0},
            "x",
        ],
    )
    def test_answer_with_more_than_text_cannot_be_continued(self, choice: object) -> None:
        check = StreamCheck(wants_usage=False)
        check.feed(event("ett"))
        value = {"id": "a", "choices": [choice]}
        check.feed(b"data: " + json.dumps(value).encode() + b"\n\n")
        assert not check.answer.can_continue

    @given(data=st.lists(st.binary(max_size=60) | st.just(event("x")) | st.just(DONE)))
    def test_any_input_passes_or_raises_broken_stream_error(self, data: list[bytes]) -> None:
        """Symptom: a traceback in place of an answer.

        Sequence: an engine sends bytes that are no event stream.
        Cause it guards against: trusting what comes from an upstream.
        """
        check = StreamCheck(wants_usage=True)
        try:
            for piece in data:
                check.feed(piece)
            check.finish()
        except BrokenStreamError:
            return
        assert check.is_done
