"""Tests requests through real processes: keys, retries, at most once, streams, refusals."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Any

import httpx
import pytest

from ..standins.engine import answer_tokens
from ..testing.examples import KEYS, MODEL, call_service, chat, write_folder
from ..testing.fleet import Fleet, wait_until
from ..testing.load import CallOutcome, read_answer

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.processes

ENGINES = ("llm-a", "llm-b")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Return two instances in one data centre, shared by tests that inject faults in stand-ins."""
    folder = tmp_path_factory.mktemp("requests")
    with Fleet(folder) as fleet:
        fleet.start_platform()
        for name in ENGINES:
            fleet.start_engine(name, "sto-a")
        fleet.start_service("formatter-a", "sto-a")
        fleet.start_service("renewer-a", "sto-a")
        fleet.start_instance("sto-a-1", "sto-a")
        fleet.start_instance("sto-a-2", "sto-a")
        assert fleet.publish(write_folder(folder / "folder", fleet)).returncode == 0
        fleet.wait_ready("sto-a-1", "sto-a-2")
        wait_until(lambda: chat(fleet.processes["sto-a-1"].url).status_code == 200, "serves")
        yield fleet


@pytest.fixture(autouse=True)
def _clear_faults(fleet: Fleet) -> None:
    for name in (*ENGINES, "renewer-a", "formatter-a", "platform"):
        fleet.set_faults(name, mode="ok")


def set_engines(fleet: Fleet, **faults: Any) -> None:
    """Set the same faults for all engines."""
    for name in ENGINES:
        fleet.set_faults(name, **faults)


def runs_of(fleet: Fleet, prompt: str) -> list[dict[str, Any]]:
    """Return the engines' journal lines of a prompt."""
    return [e for name in ENGINES for e in fleet.journal(name) if e["prompt"] == prompt]


def effects_of(fleet: Fleet, body: str) -> int:
    """Return how often a call had its effect."""
    return sum(e["body"] == body for e in fleet.journal("renewer-a"))


class TestStreams:
    def test_truncated_stream_ends_as_an_error(self, fleet: Fleet) -> None:
        """Guards against half an answer that passes for a complete one.

        The engine closes the connection in mid-stream without an end marker.
        """
        set_engines(fleet, mode="truncate")
        answer = chat(fleet.processes["sto-a-1"].url, stream=True, tokens_wanted=16)
        got = read_answer(answer.status_code, answer.text, stream=True)
        assert got["outcome"] is CallOutcome.BROKEN
        assert "[DONE]" not in answer.text
        last = json.loads(answer.text.strip().splitlines()[-1].removeprefix("data: "))
        assert last["error"]["run_state"] == "may have run"

    def test_event_of_another_answer_does_not_reach_caller(self, fleet: Fleet) -> None:
        """Guards against a caller that gets a piece of another caller's answer.

        The engine sends a late event of another answer on this connection.
        """
        set_engines(fleet, mode="cross")
        answer = chat(fleet.processes["sto-a-1"].url, stream=True, tokens_wanted=16)
        got = read_answer(answer.status_code, answer.text, stream=True)
        assert got["outcome"] is CallOutcome.BROKEN
        assert "chatcmpl-of-another" not in answer.text.splitlines()[0]
        right = "".join(answer_tokens("Rewrite in APA: Andersson.", 16))
        assert right.startswith(got["text"])

    def test_disconnect_cancels_the_engine(self, fleet: Fleet) -> None:
        """Guards against an engine that keeps generating for a disconnected caller.

        The caller closes its connection in mid-stream, which must cancel the task.
        """
        set_engines(fleet, mode="ok", token_delay_s=0.05)
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "leaves early"}],
            "max_tokens": 200,
            "tokens_wanted": 200,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {KEYS['lund']}"}
        url = f"{fleet.processes['sto-a-1'].url}/v1/chat/completions"
        with httpx.stream("POST", url, json=body, headers=headers, trust_env=False) as response:
            next(response.iter_lines())
        wait_until(lambda: runs_of(fleet, "leaves early")[0]["state"] == "cancelled", "cancelled")
        assert runs_of(fleet, "leaves early")[0]["completion_tokens"] < 100

    def test_request_refused_by_full_engine_goes_to_another(self, fleet: Fleet) -> None:
        fleet.set_faults("llm-a", mode="refuse")
        for number in range(6):
            assert chat(fleet.processes["sto-a-1"].url, prompt=f"p{number}").status_code == 200

    def test_request_to_crashed_engines_may_have_run(self, fleet: Fleet) -> None:
        """Guards against "not run" for a request that engines accepted and worked on.

        Each engine accepts the request and fails without an answer. The answer must say what the
        attempts may have done, not only that none is left.
        """
        set_engines(fleet, mode="crash")
        answer = chat(fleet.processes["sto-a-1"].url, prompt="crashes them all")
        assert answer.json()["error"]["run_state"] == "may have run"
        assert len(runs_of(fleet, "crashes them all")) == 2

    def test_request_refused_by_all_engines_is_not_run(self, fleet: Fleet) -> None:
        set_engines(fleet, mode="refuse")
        answer = chat(fleet.processes["sto-a-1"].url, prompt="nobody there")
        assert answer.status_code == 503
        assert answer.json()["error"]["code"] in ("no_upstream", "overloaded")
        assert "retry-after" in answer.headers
        assert runs_of(fleet, "nobody there") == []


class TestPriority:
    def test_engine_gets_priority_of_workspace(self, fleet: Fleet) -> None:
        """Guards against a high-priority workspace that waits in the engine behind others.

        A caller sets its own priority in the body, which must not replace the workspace's.
        """
        answer = chat(fleet.processes["sto-a-1"].url, prompt="me first", priority=-1000)
        assert answer.status_code == 200
        assert [run["priority"] for run in runs_of(fleet, "me first")] == [-1]


class TestKeys:
    def test_retry_gets_retained_answer(self, fleet: Fleet) -> None:
        url = fleet.processes["sto-a-1"].url
        first = chat(url, prompt="kept", idempotency_key="k-kept")
        again = chat(url, prompt="kept", idempotency_key="k-kept")
        assert first.status_code == again.status_code == 200
        assert first.content == again.content
        assert len(runs_of(fleet, "kept")) == 1

    def test_retry_at_another_instance_joins_running_answer(self, fleet: Fleet) -> None:
        """Guards against a doubled reply, by which a client inserts an entry twice.

        A slow answer runs at one instance and its caller retries at the other, which must know the
        key too.
        """
        set_engines(fleet, mode="ok", token_delay_s=0.02)
        answers: list[httpx.Response] = []

        def ask(name: str) -> None:
            answer = chat(
                fleet.processes[name].url,
                prompt="joined",
                idempotency_key="k-joined",
                stream=True,
                tokens_wanted=16,
            )
            answers.append(answer)

        threads = [threading.Thread(target=ask, args=(n,)) for n in ("sto-a-1", "sto-a-2")]
        threads[0].start()
        time.sleep(0.15)
        threads[1].start()
        for thread in threads:
            thread.join()
        texts = {read_answer(a.status_code, a.text, stream=True)["text"] for a in answers}
        assert texts == {"".join(answer_tokens("joined", 16))}
        assert len(runs_of(fleet, "joined")) == 1

    def test_key_of_another_body_is_refused(self, fleet: Fleet) -> None:
        url = fleet.processes["sto-a-1"].url
        assert chat(url, prompt="one", idempotency_key="k-two-bodies").status_code == 200
        answer = chat(url, prompt="other", idempotency_key="k-two-bodies")
        assert answer.json()["error"]["code"] == "key_reused"
        assert runs_of(fleet, "other") == []

    def test_disconnected_caller_gets_answer_on_retry(self, fleet: Fleet) -> None:
        set_engines(fleet, mode="ok", token_delay_s=0.4)
        url = fleet.processes["sto-a-1"].url
        options: Any = {"prompt": "came back", "idempotency_key": "k-back", "stream": True}
        with pytest.raises(httpx.TimeoutException):
            chat(url, timeout_s=0.2, tokens_wanted=4, **options)
        answer = chat(url, tokens_wanted=4, **options)
        assert read_answer(200, answer.text, stream=True)["outcome"] is CallOutcome.COMPLETE
        assert len(runs_of(fleet, "came back")) == 1


class TestAtMostOnce:
    def test_retry_at_the_other_instance_does_not_renew_again(self, fleet: Fleet) -> None:
        first = call_service(
            fleet.processes["sto-a-1"].url, "renew", body="pass 1", idempotency_key="pass-1"
        )
        again = call_service(
            fleet.processes["sto-a-2"].url, "renew", body="pass 1", idempotency_key="pass-1"
        )
        assert first.status_code == again.status_code == 200
        assert first.json() == again.json()
        assert effects_of(fleet, "pass 1") == 1

    def test_lost_answer_is_outcome_unknown(self, fleet: Fleet) -> None:
        """Guards against a call that runs twice, or is reported as "not run" though it ran.

        The service has its effect, the connection breaks, and the caller retries at both instances.
        """
        fleet.set_faults("renewer-a", mode="lose")
        url = fleet.processes["sto-a-1"].url
        answer = call_service(url, "renew", body="pass 2", idempotency_key="pass-2")
        assert answer.json()["error"]["run_state"] == "may have run"
        assert answer.headers["x-should-retry"] == "false"
        fleet.set_faults("renewer-a", mode="ok")
        for name in ("sto-a-1", "sto-a-2"):
            again = call_service(
                fleet.processes[name].url, "renew", body="pass 2", idempotency_key="pass-2"
            )
            assert again.status_code != 200
            assert again.json()["error"]["run_state"] != "not run"
        assert effects_of(fleet, "pass 2") == 1

    def test_service_that_says_not_run_may_be_tried_again(self, fleet: Fleet) -> None:
        fleet.set_faults("renewer-a", mode="refuse")
        url = fleet.processes["sto-a-1"].url
        answer = call_service(url, "renew", body="pass 3", idempotency_key="pass-3")
        assert answer.json()["error"]["run_state"] == "not run"
        fleet.set_faults("renewer-a", mode="ok")

        def renewed() -> bool:
            again = call_service(url, "renew", body="pass 3", idempotency_key="pass-3")
            return again.status_code == 200

        wait_until(renewed, "the key is free again")
        assert effects_of(fleet, "pass 3") == 1

    def test_call_during_platform_outage_is_refused_as_not_run(self, fleet: Fleet) -> None:
        """Guards against a call that runs in two data centres that cannot reach each other.

        The log is unreachable, so no claim is decided and the call must not be dispatched.
        """
        fleet.set_faults("platform", mode="down", callers=["sto-a-1"])
        url = fleet.processes["sto-a-1"].url
        answer = call_service(url, "renew", body="pass 4", idempotency_key="pass-4")
        assert answer.json()["error"]["code"] == "platform_unreachable"
        assert answer.json()["error"]["run_state"] == "not run"
        assert effects_of(fleet, "pass 4") == 0
        fleet.set_faults("platform", mode="ok")

        def renewed() -> bool:
            again = call_service(url, "renew", body="pass 4", idempotency_key="pass-4")
            return again.status_code == 200

        wait_until(renewed, "the claim that came late was released")
        assert effects_of(fleet, "pass 4") == 1

    def test_call_does_not_run_again_after_its_instance_is_killed(
        self, empty_fleet: Fleet, tmp_path: Path
    ) -> None:
        """Guards against a call that runs twice after its instance died.

        An instance dispatches a call and is killed, and the caller retries at another one. The
        claim must outlive its holder.
        """
        fleet = empty_fleet
        fleet.start_service("renewer-a", "sto-a")
        fleet.start_instance("sto-a-1", "sto-a")
        fleet.start_instance("sto-a-2", "sto-a")
        assert fleet.publish(write_folder(tmp_path / "folder", fleet)).returncode == 0
        fleet.wait_ready("sto-a-1", "sto-a-2")
        fleet.set_faults("renewer-a", delay_s=1.0)

        def renew() -> None:
            try:
                call_service(fleet.processes["sto-a-1"].url, "renew", body="p", idempotency_key="p")
            except httpx.HTTPError:
                return

        thread = threading.Thread(target=renew)
        thread.start()
        wait_until(lambda: effects_of(fleet, "p") == 1, "dispatched")
        fleet.processes["sto-a-1"].kill()
        thread.join()
        for _ in range(4):
            again = call_service(
                fleet.processes["sto-a-2"].url, "renew", body="p", idempotency_key="p"
            )
            assert again.status_code != 200
            if again.json()["error"]["code"] != "ledger_unavailable":
                assert again.json()["error"]["run_state"] == "may have run"
            time.sleep(0.5)
        assert effects_of(fleet, "p") == 1


class TestDraining:
    def test_draining_upstream_gets_no_new_requests(self, fleet: Fleet) -> None:
        """Guards against new work for a draining upstream, which would break it off.

        The platform's list marks an engine as draining. Routing must not use the configuration
        alone.
        """
        listed = httpx.get(f"{fleet.platform.url}/instances", trust_env=False).json()
        draining = {"name": "llm-a", "address": "", "data_centre": "sto-a", "leaving": True}
        httpx.post(f"{fleet.platform.url}/instances", json=[*listed, draining], trust_env=False)
        time.sleep(2.5)
        before = len(fleet.journal("llm-a"))
        for number in range(12):
            url = fleet.processes["sto-a-1"].url
            assert chat(url, prompt=f"leaving {number}").status_code == 200
        assert len(fleet.journal("llm-a")) == before
        httpx.post(f"{fleet.platform.url}/instances", json=listed, trust_env=False)
