"""Failures across data centres, and racing operators, with real processes."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

import httpx
import pytest

from ..testing.examples import call_service, chat, write_folder
from ..testing.fleet import Fleet, wait_until
from ..testing.load import CallOutcome, Load
from ..testing.views import all_witnessed, holder_of, view_of
from ..types import DataCentre
from .test_failures import LUND, check_history

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.processes

INSTANCES = ("sto-a-1", "sto-a-2", "sto-b-1", "sto-b-2")


@pytest.fixture
def fleet(empty_fleet: Fleet, tmp_path: Path) -> Fleet:
    """Return two data centres with two instances, an engine and a service each."""
    fleet = empty_fleet
    for site in ("a", "b"):
        fleet.start_engine(f"llm-{site}", f"sto-{site}")
        fleet.start_service(f"renewer-{site}", f"sto-{site}")
    for name in INSTANCES:
        fleet.start_instance(name, name[:5], is_listed=False)
    fleet.publish_list()
    folder = write_folder(tmp_path / "folder", fleet, paid_tokens={"lund": 20_000})
    assert fleet.publish(folder).returncode == 0
    fleet.wait_ready(*INSTANCES)
    # The first instance up opens its epochs alone; a test that kills one counts on its witness.
    wait_until(lambda: all_witnessed(fleet, data_centres=2), "no witnessed epochs")
    for name in INSTANCES:
        wait_until(lambda n=name: chat(fleet.processes[n].url).status_code == 200, name)
    return fleet


def urls(fleet: Fleet, *names: str) -> Any:
    """Return a function that returns the URLs of instances."""
    found = [fleet.processes[name].url for name in names]
    return lambda: found


def effects(fleet: Fleet, body: str) -> int:
    """Return how often a call had its effect, at all services."""
    journals = [fleet.journal("renewer-a"), fleet.journal("renewer-b")]
    return sum(entry["body"] == body for journal in journals for entry in journal)


class TestCuts:
    def test_budget_is_not_overspent_across_a_platform_cut(
        self, fleet: Fleet, tmp_path: Path
    ) -> None:
        """Symptom: a data centre that is cut off and the others spend the same tokens.

        Sequence: both spend from one small budget, one is cut off from the platform, the operator
        tops up, the budget runs dry on both sides, the cut ends.
        Cause it guards against: a grant that a cut data centre still spends being given to others.
        """
        with Load(urls(fleet, *INSTANCES), callers=8, pause_s=0.005, max_tokens=16) as load:
            time.sleep(1.0)
            fleet.set_faults("platform", mode="down", callers=["sto-a-1", "sto-a-2"])
            time.sleep(2.0)
            folder = write_folder(tmp_path / "folder", fleet, paid_tokens={"lund": 24_000})
            # Cut off from the platform only, it gets the configuration from its peers elsewhere.
            assert fleet.publish(folder).returncode == 0
            wait_until(lambda: load.count(CallOutcome.REFUSED) > 30, "the budget runs dry", 60.0)
            fleet.set_faults("platform", mode="ok")
            time.sleep(3.0)
        view = check_history(fleet, load, paid_tokens=24_000)
        assert all(fold.ungranted_tokens(LUND) >= 0 for fold in view.ledgers.values())
        kinds = {record.kind for record in load.records if record.outcome is CallOutcome.REFUSED}
        assert kinds <= {"budget_exhausted", "budget_reserved", "budget_out_of_reach"}

    def test_witness_serves_when_leaseholder_dies_in_a_platform_cut(self, fleet: Fleet) -> None:
        """Symptom: a cut data centre serves nobody after one of its two instances has died.

        Sequence: cut from the platform, kill of the leaseholder, its witness promotes itself.
        Cause it guards against: a takeover that only the log can bring about.
        """
        holder, witness = holder_of(fleet, LUND, DataCentre("sto-a"))
        fleet.set_faults("platform", mode="down", callers=["sto-a-1", "sto-a-2"])
        time.sleep(2.5)
        fleet.processes[holder].kill()
        wait_until(
            lambda: chat(fleet.processes[witness].url, prompt="x", max_tokens=2).status_code == 200,
            "the witness serves",
        )
        # More than the witness may spend alone: the other data centre's leaseholder reserves it.
        large = chat(fleet.processes[witness].url, prompt="x", max_tokens=6_000)
        assert large.status_code == 200, large.text
        fleet.set_faults("platform", mode="ok")
        time.sleep(2.0)
        answer = chat(fleet.processes[witness].url)
        assert answer.status_code == 200, answer.text


class TestOverflow:
    def test_overflow_goes_to_the_next_data_centre(self, fleet: Fleet, tmp_path: Path) -> None:
        """Symptom: students are refused while the next data centre's engines idle.

        Sequence: more callers at once in one data centre than its engine has slots.
        Cause: engines elsewhere were used only when there was none here.
        """
        folder = write_folder(tmp_path / "folder", fleet, slots=2)
        assert fleet.publish(folder).returncode == 0
        # Slow enough that all requests are there at once.
        fleet.set_faults("llm-a", mode="ok", token_delay_s=0.1)
        fleet.set_faults("llm-b", mode="ok", token_delay_s=0.02)
        with Load(urls(fleet, "sto-a-1"), callers=4, max_tokens=16, stream_share=1.0) as load:
            time.sleep(4.0)
        served_elsewhere = {entry["request_id"] for entry in fleet.journal("llm-b")}
        whole = [record for record in load.records if record.outcome is CallOutcome.COMPLETE]
        assert any(f"{record.request_id}/1" in served_elsewhere for record in whole)
        assert any(f"{record.request_id}/1" not in served_elsewhere for record in whole)
        check_history(fleet, load, paid_tokens=20_000)


class TestAtMostOnce:
    def test_retry_in_another_data_centre_does_not_renew_again(self, fleet: Fleet) -> None:
        first = call_service(
            fleet.processes["sto-a-1"].url, "renew", body="p1", idempotency_key="p1"
        )
        again = call_service(
            fleet.processes["sto-b-1"].url, "renew", body="p1", idempotency_key="p1"
        )
        assert first.status_code == 200
        assert again.status_code in (200, 409, 410)
        assert effects(fleet, "p1") == 1

    def test_call_of_a_paused_instance_does_not_run_again(self, fleet: Fleet) -> None:
        """Symptom: a pass is renewed twice.

        Sequence: a router claims a renewal and is stopped, the clerk retries in the other data
        centre, the router goes on.
        Cause it guards against: a claim that lapses with the patience of others.
        """
        paused = fleet.processes["sto-a-1"]

        def renew() -> None:
            try:
                call_service(paused.url, "renew", body="p2", idempotency_key="p2", timeout_s=8.0)
            except httpx.HTTPError:
                return

        thread = threading.Thread(target=renew)
        thread.start()
        time.sleep(0.01)
        paused.pause()
        for _ in range(3):
            answer = call_service(
                fleet.processes["sto-b-1"].url, "renew", body="p2", idempotency_key="p2"
            )
            assert answer.status_code == 200 or answer.json()["error"]["run_state"] != "ran"
            time.sleep(0.3)
        paused.resume()
        thread.join()
        assert effects(fleet, "p2") == 1


class TestOperators:
    def test_concurrent_publishes_are_not_mixed(self, fleet: Fleet, tmp_path: Path) -> None:
        """Symptom: half of one operator's change and half of another's are in force.

        Sequence: Sato and Ito publish different folders at the same moment, several times.
        Cause it guards against: accepting a change whose base has been replaced.
        """
        for round_number in range(4):
            folders = {
                name: write_folder(
                    tmp_path / f"{name}-{round_number}",
                    fleet,
                    paid_tokens={
                        "lund": 80_000 + 10 * round_number + step,
                        "kushiro": 2_000_000 + 10 * round_number + step,
                    },
                )
                for step, name in enumerate(("ito", "sato"))
            }
            codes: dict[str, int] = {}

            def publish(name: str, folder: Path, codes: dict[str, int] = codes) -> None:
                settings = fleet.operator_settings(name)
                done = fleet.run_command("publish", str(folder), f"--settings={settings}")
                codes[name] = done.returncode

            threads = [
                threading.Thread(target=publish, args=(name, folder))
                for name, folder in folders.items()
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            assert set(codes.values()) <= {0, 3}
            assert 0 in codes.values()
            budgets = view_of(fleet).config.state.config.budgets
            assert budgets[LUND].paid_tokens % 10 == budgets["kushiro"].paid_tokens % 10  # type: ignore[index]
