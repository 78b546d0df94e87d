"""The walks of docs/OPERATIONS.md: from a failed request's id to its cause, by log lines alone."""

from __future__ import annotations

import json
import re
import threading
import time
from typing import TYPE_CHECKING, Any

import httpx
import pytest

from ..testing.fleet import wait_until
from ..testing.gateway_fleet import GatewayFleet

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.processes

_LINE = re.compile(r"MS(\d+) (\w+) (\{.*\})$")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    with GatewayFleet(tmp_path) as fleet:
        fleet.publish(prepaid_tokens=100_000)
        yield fleet


def logged_events(fleet: GatewayFleet, event: str, **fields: Any) -> list[dict[str, Any]]:
    """Return the fields of an instance's lines of an event that have some values."""
    found = []
    for line in fleet.log(fleet.processes["a"]).splitlines():
        match = _LINE.search(line)
        if match is not None and match[2] == event:
            logged = json.loads(match[3])
            if all(logged.get(name) == value for name, value in fields.items()):
                found.append(logged)
    return found


def wait_for(fleet: GatewayFleet, event: str, **fields: Any) -> dict[str, Any]:
    """Return the last line of an event, once there is one."""
    wait_until(lambda: bool(logged_events(fleet, event, **fields)), f"no line {event} {fields}")
    return logged_events(fleet, event, **fields)[-1]


class TestDiagnosisFromLogs:
    def test_refusal_for_exhausted_budget(self, fleet: GatewayFleet) -> None:
        """Symptom: a caller is told that the budget does not cover its request.

        Sequence: the budget is nearly spent, and a request larger than the rest comes.
        Cause: in the log the request's refusal, what was claimed and spent, and what was paid.
        """
        fleet.start_engine("e-1")
        instance = fleet.start_instance("a")
        assert fleet.send_request(instance, "r-1").status_code == 200
        assert fleet.send_request(instance, "r-2", tokens="99990,1").status_code == 402
        refused = wait_for(fleet, "request_refused", request="r-2")
        assert refused["kind"] == "budget_exhausted"
        assert refused["detail"] == "seniors: 99991 tokens do not fit"
        assert refused["run_state"] == "not run"
        assert wait_for(fleet, "config_in_force")["prepaid"] == {"seniors": 100_000}
        wait_until(
            lambda: any(
                w["claims"]["seniors"]["spent"] == 120
                for w in logged_events(fleet, "claims_written")
            ),
            "spend not written",
        )

    def test_broken_stream(self, fleet: GatewayFleet) -> None:
        """Symptom: a caller's stream ends in its middle.

        Sequence: the only engine is killed while it streams.
        Cause: in the log the upstream, its error, and how much was passed on.
        """
        engine = fleet.start_engine("e-1", event_s=0.3)
        instance = fleet.start_instance("a")
        ended: list[str] = []

        def ask() -> None:
            try:
                fleet.send_request(instance, "r-1")
            except httpx.HTTPError as error:
                ended.append(repr(error))

        asking = threading.Thread(target=ask)
        asking.start()
        time.sleep(0.8)
        engine.kill()
        asking.join()
        assert ended
        failed = wait_for(fleet, "attempt_failed", request="r-1", upstream="e-1")
        assert "broke off" in failed["error"]
        broken = wait_for(fleet, "answer_broken", request="r-1")
        assert broken["events"] == failed["events"] > 0
        assert broken["reason"] == "no upstream left"
        assert wait_for(fleet, "upstreams_listed")["upstreams"] == {"e-1": engine.address}

    def test_late_answer(self, fleet: GatewayFleet) -> None:
        """Symptom: a caller's answer comes, late.

        Sequence: the engine is slow.
        Cause: in the log one attempt, which took the time; at the metrics address the first event.
        """
        fleet.start_engine("e-1", event_s=0.5)
        instance = fleet.start_instance("a")
        assert fleet.send_request(instance, "r-1").status_code == 200
        answered = wait_for(fleet, "request_answered", request="r-1")
        assert answered["attempts"] == 1
        assert answered["elapsed_s"] > 1.0
        assert not logged_events(fleet, "attempt_failed", request="r-1")
        assert "first_event_us" in fleet.metrics(instance)
        assert "reserve_us" in fleet.metrics(instance)
