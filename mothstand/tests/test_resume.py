"""Tests streams whose engine fails in the middle and that other engines continue."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import pytest

from ..standins.engine import answer_tokens
from ..testing.examples import chat, write_folder
from ..testing.fleet import Fleet, wait_until
from ..testing.load import CallOutcome, Load, read_answer
from ..testing.views import view_of

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.processes

PROMPT = "Rewrite in APA: Andersson."
ENGINES = ("llm-a", "llm-b", "llm-c")


@pytest.fixture
def fleet(empty_fleet: Fleet, tmp_path: Path) -> Fleet:
    """Return one instance with three engines that can continue each other's answers."""
    for name in ENGINES:
        empty_fleet.start_engine(name, "sto-a", token_delay_s=0.01)
    empty_fleet.start_instance("sto-a-1", "sto-a")
    folder = write_folder(tmp_path / "folder", empty_fleet, resumes=True)
    assert empty_fleet.publish(folder).returncode == 0
    empty_fleet.wait_ready("sto-a-1")
    wait_until(lambda: chat(empty_fleet.processes["sto-a-1"].url).status_code == 200, "serves")
    return empty_fleet


def stream_answer(fleet: Fleet, **extra: Any) -> tuple[dict[str, Any], str]:
    """Return the parsed answer to a request for 16 streamed tokens, and the raw stream."""
    answer = chat(
        fleet.processes["sto-a-1"].url,
        prompt=PROMPT,
        stream=True,
        stream_options={"include_usage": True},
        tokens_wanted=16,
        **extra,
    )
    return read_answer(answer.status_code, answer.text, stream=True), answer.text


def second_attempts(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the engines' journal lines of second attempts."""
    runs = [entry for name in ENGINES for entry in fleet.journal(name)]
    return [entry for entry in runs if entry["request_id"].endswith("/2")]


class TestResume:
    @pytest.mark.parametrize("mode", ["truncate", "cross"])
    def test_another_engine_continues_the_stream(self, fleet: Fleet, mode: str) -> None:
        """Guards against half an answer, or a piece of another caller's, after an engine's fault.

        The engine that affinity chooses breaks off, or sends an event of another answer.
        """
        fleet.set_faults("llm-a", mode=mode)
        fleet.set_faults("llm-b", mode=mode)
        got, text = stream_answer(fleet)
        assert got["outcome"] is CallOutcome.COMPLETE, text
        assert got["text"] == "".join(answer_tokens(PROMPT, 16))
        assert got["usage_tokens"] == len(PROMPT.split()) + 16
        assert second_attempts(fleet), "the first engine did not fail"
        events = [line[6:] for line in text.splitlines() if line.startswith("data: {")]
        assert len({json.loads(event)["id"] for event in events}) == 1

    def test_stream_breaks_when_all_engines_fail(self, fleet: Fleet) -> None:
        for name in ENGINES:
            fleet.set_faults(name, mode="truncate")
        got, text = stream_answer(fleet)
        assert got["outcome"] is CallOutcome.BROKEN
        assert "[DONE]" not in text
        assert "".join(answer_tokens(PROMPT, 16)).startswith(got["text"])

    def test_answer_under_a_grammar_is_not_continued(self, fleet: Fleet) -> None:
        """Guards against two halves of JSON that do not form a valid document.

        An answer in a response format breaks off. Another engine would start the grammar anew.
        """
        for name in ENGINES:
            fleet.set_faults(name, mode="truncate")
        stream_answer(fleet, response_format={"type": "json_object"})
        assert second_attempts(fleet) == []

    def test_streams_complete_when_an_engine_is_killed_under_load(self, fleet: Fleet) -> None:
        """Guards against answers that break off, or are billed twice or for both engines' prompts.

        Callers stream from three engines and one is killed. Its streams must be continued.
        """
        urls = [fleet.processes["sto-a-1"].url]
        with Load(lambda: urls, callers=12, max_tokens=16, stream_share=1.0) as load:
            time.sleep(1.0)
            fleet.processes["llm-a"].kill()
            time.sleep(1.5)
        assert {record.outcome for record in load.records} == {CallOutcome.COMPLETE}
        for record in load.records:
            assert record.text == "".join(answer_tokens(record.prompt, 16))
        wait_until(lambda: len(billed_tokens(fleet)) > len(load.records), "bills")
        bills = billed_tokens(fleet)
        assert {r.request_id: r.usage_tokens for r in load.records}.items() <= bills.items()


def billed_tokens(fleet: Fleet) -> dict[str, int]:
    """Return the billed tokens of each request."""
    return {line.request_id: line.tokens for line in view_of(fleet).bills.lines.values()}
