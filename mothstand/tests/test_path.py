"""The whole path, as separate processes on loopback."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import httpx
import openai
import pytest

from ..standins.engine import answer_tokens
from ..testing.examples import KEYS, MODEL, call_service, chat
from ..testing.fleet import wait_until

if TYPE_CHECKING:
    from ..testing.fleet import Fleet

pytestmark = pytest.mark.processes


def status_fields(fleet: Fleet, budget: str) -> list[str]:
    """Return the fields of a budget's line in ``status``."""
    status = fleet.run_command("status", f"--settings={fleet.operator_settings()}").stdout
    return next(line for line in status.splitlines() if line.startswith(budget)).split()


class TestAnswers:
    def test_complete_and_streamed_answers_with_openai_client(self, pair: Fleet) -> None:
        url = pair.processes["sto-a-1"].url
        client = openai.OpenAI(base_url=f"{url}/v1", api_key=KEYS["lund"], max_retries=0)
        messages: Any = [{"role": "user", "content": "Rewrite in APA: Berg."}]
        whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=12)
        expected = "".join(answer_tokens("Rewrite in APA: Berg.", 12))
        assert whole.choices[0].message.content == expected
        assert whole.usage is not None
        assert whole.usage.total_tokens == 16
        stream: Any = client.chat.completions.create(
            model=MODEL, messages=messages, max_tokens=12, stream=True
        )
        pieces = [chunk.choices[0].delta.content or "" for chunk in stream]
        assert "".join(pieces) == expected
        stream = client.chat.completions.create(
            model=MODEL,
            messages=messages,
            max_tokens=12,
            stream=True,
            stream_options={"include_usage": True},
        )
        last = list(stream)[-1]
        assert last.usage is not None
        assert last.usage.total_tokens == 16

    def test_plain_service_answers(self, pair: Fleet) -> None:
        answer = call_service(pair.processes["sto-a-2"].url, "format")
        assert answer.status_code == 200
        assert answer.json()["echo"] == "pass 17"

    def test_each_request_is_billed_once(self, pair: Fleet) -> None:
        for name in ("sto-a-1", "sto-a-2", "sto-a-1"):
            assert chat(pair.processes[name].url, max_tokens=12).status_code == 200
        assert call_service(pair.processes["sto-a-1"].url, "format").status_code == 200
        wait_until(lambda: status_fields(pair, "lund")[2] == "48", "lund's three bills")
        wait_until(lambda: status_fields(pair, "kushiro")[2] == "5", "kushiro's bill")

    def test_running_stream_completes_during_stop(self, pair: Fleet) -> None:
        """Symptom: a caller's stream breaks off during a planned stop of its instance.

        Sequence: a slow stream runs, SIGTERM arrives, the stream goes on.
        Cause it guards against: closing connections before running answers have ended.
        """
        pair.set_faults("llm-a", token_delay_s=0.05)
        pair.set_faults("llm-b", token_delay_s=0.05)
        instance = pair.processes["sto-a-1"]
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "x"}],
            "max_tokens": 30,
            "tokens_wanted": 30,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {KEYS['lund']}"}
        url = f"{instance.url}/v1/chat/completions"
        with httpx.stream("POST", url, json=body, headers=headers, trust_env=False) as response:
            lines = response.iter_lines()
            next(lines)
            instance.process.terminate()
            rest = [line for line in lines if line]
        assert rest[-1] == "data: [DONE]"
        assert instance.process.wait(30) == 0


class TestRefusals:
    @pytest.mark.parametrize(
        ("change", "status", "kind"),
        [
            ({"key": "nobody"}, 401, "unauthorized"),
            ({"model": "other"}, 404, "unknown_model"),
            ({"messages": []}, 400, "malformed_request"),
            ({"prompt": "x" * 1_100_000}, 413, "body_too_large"),
            ({"max_tokens": 999_999, "prompt": "x" * 9000}, 402, "budget_exhausted"),
        ],
    )
    def test_refusal_has_documented_status_and_is_not_run(
        self, pair: Fleet, change: dict[str, object], status: int, kind: str
    ) -> None:
        answer = chat(pair.processes["sto-a-1"].url, **change)  # type: ignore[arg-type]
        error = answer.json()["error"]
        assert (answer.status_code, error["code"]) == (status, kind)
        assert error["run_state"] == "not run"
        seen = json.dumps([pair.journal("llm-a"), pair.journal("llm-b")])
        assert seen == "[[], []]"

    def test_request_larger_than_budget_is_refused_as_not_run(self, pair: Fleet) -> None:
        url = pair.processes["sto-a-1"].url
        answer = chat(url, max_tokens=1_000_000)
        assert answer.status_code == 402
        assert answer.json()["error"]["run_state"] == "not run"
        assert chat(url).status_code == 200
