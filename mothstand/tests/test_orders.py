"""Orders to engines: who sends them, when, and what engines end up with."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any, ClassVar

import httpx
import pytest

from ..core.config import ConfigState, OrderCheck
from ..core.orders import (
    EngineReport,
    EngineSetup,
    OrderPlanner,
    OrderTiming,
    desired_setup,
    order_issuers,
)
from ..errors import SettingsError
from ..settings.folder import validate_sections
from ..testing.examples import MODEL, chat, write_folder
from ..testing.fleet import Fleet, wait_until
from ..testing.orders import DATA_CENTRE, EMPTY_SETUP, ISSUERS, OrderHistory, engine, state

if TYPE_CHECKING:
    from pathlib import Path

    from ..core.config import Sections


def report(setup: EngineSetup = EMPTY_SETUP, *, fencing: int = 0, loading: bool = False) -> Any:
    """Return what an engine says."""
    return EngineReport(setup, fencing, loading)


class TestPlanner:
    A, B = engine("a", OrderCheck.FENCED), engine("b", OrderCheck.FENCED)

    def planner(
        self, config: ConfigState, now_s: float = 0.0, name: str = ISSUERS[0]
    ) -> OrderPlanner:
        """Return the planner of the only live instance."""
        planner = OrderPlanner(name, DATA_CENTRE)
        planner.engines_to_poll(config.config, [name], config.config.weight_loads, now_s)
        return planner

    def test_order_has_complete_setup_and_configuration_offset(self) -> None:
        config = state(7, self.A)
        order = self.planner(config).decide(self.A, report(), config, 0.0)
        assert order is not None
        assert order.fencing == 7
        assert str(order.setup) == "mixed: m@7"

    def test_no_order_if_engine_is_up_to_date_or_loading(self) -> None:
        config = state(7, self.A)
        planner = self.planner(config)
        done = desired_setup(config.config, self.A)
        assert planner.decide(self.A, report(done, fencing=3), config, 0.0) is None
        assert planner.decide(self.A, report(loading=True), config, 0.0) is None

    def test_instance_that_is_behind_orders_nothing(self) -> None:
        """Symptom: an engine goes back to an old version.

        Sequence: the engine has taken an order of offset 9, an instance at offset 7 looks at it.
        Cause it guards against: taking what differs for what is old.
        """
        config = state(7, self.A)
        assert self.planner(config).decide(self.A, report(fencing=9), config, 0.0) is None

    def test_engines_of_a_data_centre_load_in_turn(self) -> None:
        """Symptom: a new version takes all engines away at once, and the weight store's limit.

        Sequence: the version of a model changes.
        Cause it guards against: ordering each engine as soon as it differs.
        """
        config = state(7, self.A, self.B)
        planner = self.planner(config)
        assert planner.decide(self.A, report(), config, 0.0) is not None
        assert planner.decide(self.B, report(), config, 0.0) is None
        assert planner.decide(self.A, report(loading=True), config, 1.0) is None
        assert planner.decide(self.B, report(), config, 1.0) is None
        done = desired_setup(config.config, self.A)
        assert planner.decide(self.A, report(done), config, 2.0) is None
        assert planner.decide(self.B, report(), config, 2.0) is not None

    def test_new_issuer_delays_first_order_to_unfenced_engine(self) -> None:
        unchecked = engine("a")
        config = state(7, unchecked)
        planner = self.planner(config)
        wait_s = OrderTiming().takeover_wait_s
        assert planner.decide(unchecked, report(), config, wait_s - 0.1) is None
        assert planner.decide(unchecked, report(), config, wait_s) is not None

    def test_delayed_order_is_not_sent(self) -> None:
        """Symptom: an engine that takes any order goes back to an old version.

        Sequence: an issuer is stopped between its decision and the send, another orders something
        newer, the first wakes.
        Cause it guards against: acting on a decision of any age.
        """
        config = state(7, self.A)
        planner = self.planner(config)
        order = planner.decide(self.A, report(), config, 0.0)
        assert order is not None
        assert planner.may_send(order, 0.5)
        assert not planner.may_send(order, 60.0)

    def test_orders_to_contested_engine_back_off(self) -> None:
        """Symptom: an engine loads weights again and again, and serves nothing.

        Sequence: something that we do not know of undoes each order.
        Cause it guards against: an answer to each difference, at once.
        """
        config = state(7, self.A)
        planner = self.planner(config)
        orders = sum(
            planner.decide(self.A, report(), config, float(second)) is not None
            for second in range(600)
        )
        assert orders <= 8
        assert planner.is_contested("a")

    def test_issuers_do_not_exceed_concurrent_loads(self) -> None:
        assert len(order_issuers(ISSUERS, DATA_CENTRE, 2)) == 2
        assert len(order_issuers(ISSUERS, DATA_CENTRE, 1)) == 1
        engines = [engine(f"e{n}") for n in range(6)]
        config = state(1, *engines, weight_loads=2).config
        planners = [OrderPlanner(name, DATA_CENTRE) for name in ISSUERS]
        polled = [
            e.name for planner in planners for e in planner.engines_to_poll(config, ISSUERS, 2, 0.0)
        ]
        assert sorted(polled) == [e.name for e in engines]


class TestHistories:
    @pytest.mark.parametrize("seed", range(30))
    def test_every_engine_converges_to_desired_setup(self, seed: int) -> None:
        """Symptom: an engine stays at an old version, or in another's role.

        Sequence: issuers with old configurations and wrong views of who is alive, orders that
        arrive late and out of turn; then the faults end.
        Cause it guards against: an order taken for done because it was sent.
        """
        history = OrderHistory(random.Random(seed))
        history.run(400)
        last = history.states[-1]
        for found in history.engines:
            assert found.setup == desired_setup(last.config, found.upstream)


class TestSettings:
    SECTIONS: ClassVar[Sections] = {
        "model m": {"version": "3"},
        "model tuned": {"version": "1", "base": "m"},
        "upstream e": {
            "kind": "engine",
            "address": "127.0.0.1:1",
            "data_centre": "sto-a",
            "serves": "m tuned",
            "orders": "fenced",
        },
    }

    def test_engine_with_model_and_adapter_is_valid(self) -> None:
        config = validate_sections(self.SECTIONS)
        setup = desired_setup(config, config.upstreams["e"])
        assert str(setup) == "mixed: m@3 tuned@1"

    @pytest.mark.parametrize("serves", ["tuned", "m other"])
    def test_unknown_model_or_adapter_without_base_is_refused(self, serves: str) -> None:
        sections = {
            **self.SECTIONS,
            "upstream e": {**self.SECTIONS["upstream e"], "serves": serves},
        }
        with pytest.raises(SettingsError, match=r"\[upstream e\] serves"):
            validate_sections(sections)


def write_order_folder(fleet: Fleet, folder: Path, version: str) -> Path:
    """Write a folder whose engines take orders, and return it."""
    write_folder(folder, fleet)
    text = (folder / "10-all.ini").read_text(encoding="utf-8")
    for name, process in fleet.processes.items():
        if name.startswith("llm"):
            kind = "unfenced" if name == "llm-b" else "fenced"
            text = text.replace(
                f"[upstream {name}]\n", f"[upstream {name}]\norders = {kind}\nrole = mixed\n"
            )
            assert process.address in text
    text += f"\n[model {MODEL}]\nversion = {version}\n"
    (folder / "10-all.ini").write_text(text, encoding="utf-8")
    return folder


def loaded_version(fleet: Fleet, name: str) -> str:
    """Return the version that an engine has loaded."""
    setup = httpx.get(f"{fleet.processes[name].url}/v1/setup", trust_env=False).json()
    return "" if setup["loading"] or not setup["models"] else str(setup["models"][0]["version"])


@pytest.mark.processes
class TestProcesses:
    def test_engines_converge_though_an_issuer_is_paused(
        self, empty_fleet: Fleet, tmp_path: Path
    ) -> None:
        """Symptom: an engine serves an old version for good.

        Sequence: each issuer in turn is paused, a new version is published, it wakes.
        Cause it guards against: an order of a paused issuer that comes after a newer one, at an
        engine that refuses it and at one that does not.
        """
        fleet = empty_fleet
        fleet.timing += "\norders_look_s = 0.2"
        fleet.start_engine("llm-a", "sto-a", orders="fenced", load_s=0.3)
        fleet.start_engine("llm-b", "sto-a", orders="unfenced", load_s=0.3)
        for name in ("sto-a-1", "sto-a-2"):
            fleet.start_instance(name, "sto-a")
        folder = tmp_path / "folder"
        assert fleet.publish(write_order_folder(fleet, folder, "1")).returncode == 0
        for version, paused in enumerate(("sto-a-1", "sto-a-2"), start=2):
            wait_for_version(fleet, str(version - 1))
            fleet.processes[paused].pause()
            time.sleep(1.5)
            write_order_folder(fleet, folder, str(version))
            # It waits for the paused instance in vain; what counts is that it is accepted.
            assert "accepted" in fleet.publish(folder).stdout
            wait_for_version(fleet, str(version))
            fleet.processes[paused].resume()
        time.sleep(2.0)
        wait_for_version(fleet, "3")
        url = fleet.processes["sto-a-1"].url
        wait_until(lambda: chat(url).status_code == 200, "serves")
        audit = fleet.run_command("audit", f"--settings={fleet.operator_settings()}").stdout
        assert "ordered llm-b under config@" in audit


def wait_for_version(fleet: Fleet, version: str) -> None:
    """Wait until both engines have a version."""
    for name in ("llm-a", "llm-b"):
        wait_until(
            lambda n=name: loaded_version(fleet, n) == version,
            f"{name} has version {version}",
            timeout_s=30.0,
        )
