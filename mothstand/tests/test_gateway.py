"""Tests of gateway instances as real processes, on stand-ins of the users' platform."""

from __future__ import annotations

import json
import re
import threading
import time
from typing import TYPE_CHECKING

import httpx
import pytest

from ..core.fleet import ANNOUNCE_INTERVAL_S
from ..core.renewals import UNLOCK_S
from ..testing.fleet import wait_until
from ..testing.gateway_fleet import PREFIX, GatewayFleet, request_headers

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from ..testing.fleet import FleetProcess

pytestmark = pytest.mark.processes

#: Tokens per request: a prompt of 100, and five events of four tokens from the engine's stand-in.
_REQUEST_TOKENS = 120


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    with GatewayFleet(tmp_path) as fleet:
        fleet.publish(prepaid_tokens=100_000)
        yield fleet


def statuses(fleet: GatewayFleet, instance: FleetProcess, count: int, name: str) -> list[int]:
    return [fleet.send_request(instance, f"{name}-{n}").status_code for n in range(count)]


class TestPath:
    def test_stream_is_served_end_to_end(self, fleet: GatewayFleet) -> None:
        engine = fleet.start_engine("e-1")
        instance = fleet.start_instance("a")
        answer = fleet.send_request(instance, "r-1")
        assert answer.status_code == 200
        assert answer.headers["X-Server-Signature"] == "signed-e-1"
        assert answer.content.count(b"id:") == 5
        ran = fleet.journal(engine)
        assert [r["x-request-id"] for r in ran] == ["r-1"]
        assert ran[0]["x-tenant"] == "seniors"
        assert "x-api-key" not in ran[0]

    def test_body_with_a_content_encoding_reaches_its_upstream_as_sent(
        self, fleet: GatewayFleet
    ) -> None:
        # Guards against a body that is decompressed on its way, though its headers say otherwise.
        fleet.start_engine("e-1")
        instance = fleet.start_instance("a")
        sent = b"not compressed at all"
        headers = request_headers("r-1") | {"Content-Encoding": "gzip"}
        answer = httpx.post(instance.url + PREFIX, headers=headers, content=sent, timeout=10)
        assert answer.status_code == 200
        assert json.loads(fleet.arrivals_path.read_text(encoding="utf-8"))["body"] == sent.decode()

    def test_bad_requests_are_refused_before_any_upstream(self, fleet: GatewayFleet) -> None:
        engine = fleet.start_engine("e-1")
        instance = fleet.start_instance("a")
        assert fleet.send_request(instance, "r-1", key="wrong").status_code == 401
        assert fleet.send_request(instance, "r-2", path="/elsewhere/").status_code == 404
        assert fleet.send_request(instance, "r-3", tokens="many,1").status_code == 400
        assert fleet.send_request(instance, "r-4", tokens="100000,1").status_code == 402
        assert fleet.journal(engine) == []

    def test_stop_lets_running_requests_finish(self, fleet: GatewayFleet) -> None:
        """Guards against a planned stop that interrupts requests.

        An instance gets SIGTERM while requests run and more arrive. It ended at once, or refused
        the requests that still arrived.
        """
        fleet.start_engine("e-1")
        instance = fleet.start_instance("a")
        answers: list[int] = []

        def ask() -> None:
            answers.extend(statuses(fleet, instance, 10, "r"))

        asking = threading.Thread(target=ask)
        asking.start()
        time.sleep(0.1)
        exit_code = instance.terminate()
        asking.join()
        assert answers == [200] * 10
        assert exit_code == 0

    def test_caller_disconnect_in_mid_stream_logs_one_line(self, fleet: GatewayFleet) -> None:
        """Guards against tracebacks in the log when callers disconnect.

        Callers disconnect after the first events of long streams. The library's error for the
        closed connection was not handled.
        """
        fleet.start_engine("e-1", event_s=0.1)
        instance = fleet.start_instance("a")
        for number in range(5):
            fleet.disconnect_after_first_event(instance, f"r-{number}")
        wait_until(
            lambda: fleet.log(instance).count("request_left") == 5, "5 lines of callers gone"
        )
        assert "Traceback" not in fleet.log(instance)
        assert "internal_error" not in fleet.log(instance)

    def test_stop_releases_claims_of_an_interrupted_request(self, fleet: GatewayFleet) -> None:
        """Guards against budgets that are exhausted early after a rolling restart.

        SIGTERM arrives while a stream runs that outlasts the grace period. Claims were lowered
        while the stream still counted with its maximum tokens, and the process was killed while it
        waited for the stream's connection.
        """
        fleet.start_engine("e-1", event_s=5.0)
        instance = fleet.start_instance("a", grace_s=5.0)
        errors: list[str] = []

        def ask() -> None:
            try:
                fleet.send_request(instance, "r-1", tokens="100,50000")
            except httpx.HTTPError as error:
                errors.append(repr(error))

        asking = threading.Thread(target=ask)
        asking.start()
        time.sleep(0.5)
        began_s = time.monotonic()
        assert instance.terminate() == 0
        assert time.monotonic() - began_s < 5.0
        asking.join()
        log = fleet.log(fleet.processes["a"])
        assert '"still_claimed": {}' in log

    def test_stop_during_store_outage_hands_tokens_to_a_peer(self, fleet: GatewayFleet) -> None:
        """Guards against refusals after stops in an outage, with a seventh of the budget unspent.

        An instance stops while the store is unreachable for longer than claims stay locked. It
        could not lower its claims, and no other instance knew that it had not spent them.
        """
        fleet.start_engine("e-1")
        stopped, other = fleet.start_instance("a"), fleet.start_instance("b")
        # The first instance reads the second one's announcement with its next poll.
        time.sleep(ANNOUNCE_INTERVAL_S + 0.5)
        fleet.set_store_unreachable(True)
        time.sleep(UNLOCK_S + 1.0)
        assert stopped.terminate() == 0
        log = fleet.log(fleet.processes["a"])
        handed_over = [int(n) for n in re.findall(r"MS4017 .*\"tokens\": (\d+)", log)]
        log = fleet.log(fleet.processes["b"])
        taken_over = [int(n) for n in re.findall(r"MS4018 .*\"tokens\": (\d+)", log)]
        assert len(handed_over) == 1
        assert handed_over == taken_over
        assert handed_over[0] > 0
        assert fleet.send_request(other, "r-1").status_code == 200


class TestBudget:
    def test_two_instances_spend_at_most_the_paid_tokens(self, fleet: GatewayFleet) -> None:
        engine = fleet.start_engine("e-1")
        first, second = fleet.start_instance("a"), fleet.start_instance("b")
        paid_requests = 12
        fleet.publish(prepaid_tokens=paid_requests * _REQUEST_TOKENS)
        time.sleep(0.5)
        answers = [
            s for n in range(12) for s in statuses(fleet, (first, second)[n % 2], 2, f"r{n}")
        ]
        served = answers.count(200)
        assert served == len(fleet.journal(engine))
        assert served <= paid_requests
        # The other instance may hold the last few, but not more.
        assert served >= paid_requests - 3
        assert set(answers) <= {200, 402, 503}

    def test_requests_are_served_from_claims_during_store_outage(self, fleet: GatewayFleet) -> None:
        """Guards against an outage of the store that stops all service.

        The store becomes unreachable for seconds while callers send requests, and each request
        needed the store.
        """
        fleet.start_engine("e-1")
        instance = fleet.start_instance("a")
        assert statuses(fleet, instance, 5, "before") == [200] * 5
        time.sleep(1.5)
        fleet.set_store_unreachable(True)
        assert statuses(fleet, instance, 20, "during") == [200] * 20

    def test_killed_instance_causes_no_overspending(self, fleet: GatewayFleet) -> None:
        """Guards against overspending after a crash.

        An instance that holds claims is killed and starts again. The tokens that the killed
        process had possibly spent were granted a second time.
        """
        engine = fleet.start_engine("e-1")
        paid_requests = 20
        fleet.publish(prepaid_tokens=paid_requests * _REQUEST_TOKENS)
        first, second = fleet.start_instance("a"), fleet.start_instance("b")
        statuses(fleet, first, 4, "before")
        first.kill()
        again = fleet.start_instance("a")
        for n in range(12):
            statuses(fleet, (again, second)[n % 2], 2, f"after{n}")
        assert len(fleet.journal(engine)) <= paid_requests


class TestUpstreams:
    def test_requests_avoid_a_killed_engine(self, fleet: GatewayFleet) -> None:
        first = fleet.start_engine("e-1")
        fleet.start_engine("e-2")
        instance = fleet.start_instance("a")
        first.kill()
        assert statuses(fleet, instance, 10, "r") == [200] * 10

    def test_new_engine_is_discovered(self, fleet: GatewayFleet) -> None:
        instance = fleet.start_instance("a")
        assert fleet.send_request(instance, "r-1").status_code == 503
        fleet.start_engine("e-1")
        wait_until(lambda: fleet.send_request(instance, "r-2").status_code == 200, "engine found")
