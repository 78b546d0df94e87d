"""Tests of load sharing with real instances as processes."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import httpx
import pytest

from ..testing.fleet import wait_until
from ..testing.gateway_fleet import PREFIX, GatewayFleet, request_headers

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from ..testing.fleet import FleetProcess

pytestmark = pytest.mark.processes

_INSTANCES = ("a", "b", "c")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    with GatewayFleet(tmp_path) as fleet:
        fleet.publish(prepaid_tokens=10_000_000)
        for name in ("e-1", "e-2"):
            fleet.start_engine(name)
        yield fleet


def start_instances(fleet: GatewayFleet, *, shares_load: bool) -> list[FleetProcess]:
    """Start the instances and wait until each knows all others."""
    started = [fleet.start_instance(name, shares_load=shares_load) for name in _INSTANCES]
    for instance in started:
        wait_until(
            lambda instance=instance: fleet.log(instance).count("MS3003") >= len(started) - 1,
            f"{instance.name} knows the fleet",
        )
    return started


def send_long_prompt(fleet: GatewayFleet, instance: FleetProcess, request_id: str) -> int:
    headers = request_headers(request_id, "9000,20", parts="style:2500,session:3500,own:3000")
    url = instance.url + PREFIX
    return httpx.post(url, headers=headers, content=b"body", timeout=10).status_code


def metric(fleet: GatewayFleet, instance: FleetProcess, name: str) -> int:
    found = re.search(rf"^mothstand_{name} (\d+)", fleet.metrics(instance), re.MULTILINE)
    return 0 if found is None else int(found.group(1))


def scheduled(fleet: GatewayFleet, instances: list[FleetProcess]) -> int:
    return sum(metric(fleet, instance, "prefills_scheduled") for instance in instances)


class TestPrefillSchedule:
    def test_long_prompts_are_scheduled_by_one_instance(self, fleet: GatewayFleet) -> None:
        instances = start_instances(fleet, shares_load=True)
        for number, instance in enumerate(instances):
            assert send_long_prompt(fleet, instance, f"r-{number}") == 200
        assert scheduled(fleet, instances) == len(instances)

    def test_long_prompts_are_served_after_the_scheduler_dies(self, fleet: GatewayFleet) -> None:
        """Guards against long prompts that wait for a scheduler which does not answer."""
        instances = start_instances(fleet, shares_load=True)
        for killed in instances[:2]:
            killed.kill()
        answers = [send_long_prompt(fleet, instances[2], f"r-{n}") for n in range(5)]
        assert answers == [200] * 5

    def test_nothing_is_scheduled_without_the_setting(self, fleet: GatewayFleet) -> None:
        instances = start_instances(fleet, shares_load=False)
        assert send_long_prompt(fleet, instances[0], "r-1") == 200
        assert scheduled(fleet, instances) == 0


class TestRedirects:
    def test_idle_instances_are_ready_and_redirect_nobody(self, fleet: GatewayFleet) -> None:
        """Guards against instances that leave rotation without load."""
        instances = start_instances(fleet, shares_load=True)
        answers = [fleet.send_request(i, f"r-{i.name}-{n}") for i in instances for n in range(5)]
        assert {answer.status_code for answer in answers} == {200}
        assert all(fleet.is_ready(instance) for instance in instances)
        assert all(metric(fleet, i, "requests_redirected") == 0 for i in instances)
