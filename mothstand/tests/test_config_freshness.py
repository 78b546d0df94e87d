"""Tests of instances that learn late of a new version of the configuration."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import anyio
import pytest

from ..core.config_freshness import ConfigFreshness
from ..core.evacuation import Evacuations
from ..gateway.evacuations import EvacuationTracker, OperatorNewsPolling
from ..gateway.feeds import ConfigFeed
from ..gateway.lending import BOOTSTRAP_TIMEOUT_S, BootstrapState, OperatorNews
from ..gateway.metrics import GatewayMetrics
from ..log.health import PlatformHealth
from ..platform.records import CONFIG_KEY, CONFIG_STREAM, decode_config, evacuated_data_centre
from ..testing.fakes import UnreachablePeers
from ..testing.gateway_fleet import CONFIGURATION_S, KEY, PREFIX, GatewayFleet
from ..testing.memory_store import MemoryStore
from ..testing.thin_store_link import ThinStoreLink
from ..testing.virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from ..core.routes import GatewayConfig

#: Time within which a version has to be in force, on the largest deployments.
_MAX_AGE_S = 3.0

_VERSION_BYTES = 400_000


class _ThinReader:
    """A configuration feed behind a link on which one version takes longer than to the next."""

    def __init__(self, *, bytes_per_s: float) -> None:
        clock = VirtualClock()
        self.published_s: dict[int, float] = {}
        self.in_force_s: dict[int, float] = {}
        self._store = MemoryStore()
        self.link = ThinStoreLink(self._store, bytes_per_s)
        self.evacuations = EvacuationTracker(Evacuations(), evacuated_data_centre, clock)
        self.feed = ConfigFeed(
            self.link,
            CONFIG_STREAM,
            CONFIG_KEY,
            clock,
            PlatformHealth(clock),
            decode_config,
            self._note_in_force,
            self.evacuations,
            ConfigFreshness(_MAX_AGE_S),
            GatewayMetrics(),
        )

    def publish(self) -> None:
        """Publish the next version, with the size of a whole configuration."""
        version = len(self.published_s) + 1
        self.published_s[version] = anyio.current_time()
        value = json.dumps({"version": version, "filler": "x" * _VERSION_BYTES})
        self._store.put(CONFIG_STREAM, CONFIG_KEY, value.encode())

    def _note_in_force(self, config: GatewayConfig) -> None:
        for version in range(1, config.version + 1):
            self.in_force_s.setdefault(version, anyio.current_time())

    def delays_s(self) -> dict[int, float]:
        """Return for each version the time until it or a later one was in force."""
        return {v: self.in_force_s[v] - at_s for v, at_s in self.published_s.items()}


class TestReader:
    def test_reader_that_fell_behind_catches_up_while_versions_keep_coming(self) -> None:
        """Guards against a configuration that is older by more with each version."""
        reader = _ThinReader(bytes_per_s=300_000.0)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                reader.publish()
                tasks.start_soon(reader.feed.run)
                await anyio.sleep(2.0)
                for _ in range(3):
                    reader.publish()
                for _ in range(20):
                    await anyio.sleep(1.3)
                    reader.publish()
                await anyio.sleep(20.0)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)
        delays_s = reader.delays_s()
        late = {v: round(delay_s, 2) for v, delay_s in delays_s.items() if delay_s > _MAX_AGE_S}
        assert not late

    def test_outage_while_a_version_is_being_read_does_not_make_the_instance_outdated(self) -> None:
        """Guards against a fleet that refuses all requests since it began to read a version."""
        reader = _ThinReader(bytes_per_s=300_000.0)
        clock = VirtualClock()

        async def run() -> bool:
            async with anyio.create_task_group() as tasks:
                reader.publish()
                tasks.start_soon(reader.feed.run)
                await anyio.sleep(3.0)
                reader.publish()
                await anyio.sleep(0.5)
                assert reader.feed.freshness.outdated_s(clock.monotonic_s()) > 0
                reader.link.is_cut_off = True
                await anyio.sleep(2 * _MAX_AGE_S)
                is_outdated = reader.feed.freshness.is_outdated(clock.monotonic_s())
                tasks.cancel_scope.cancel()
            return is_outdated

        assert not run_in_virtual_time(run)


class _ReadingPeers(UnreachablePeers):
    """Peers that read the store, which rejects the instance under test."""

    version = 1

    async def operator_news(self, address: str) -> OperatorNews:
        return OperatorNews((), self.version)

    async def bootstrap_state(
        self, address: str, *, timeout_s: float = BOOTSTRAP_TIMEOUT_S
    ) -> BootstrapState:
        await anyio.sleep(1.0)
        return BootstrapState(json.dumps({"version": self.version}).encode(), (), ())


class TestPeers:
    def test_instance_that_only_the_store_rejects_gets_newer_versions_from_peers(self) -> None:
        """Guards against a revoked key that is served for as long as the store rejects it."""
        reader = _ThinReader(bytes_per_s=1e9)
        peers = _ReadingPeers()
        polling = OperatorNewsPolling(
            reader.evacuations, peers, reader.feed, lambda: ["b:1", "c:1"], VirtualClock()
        )

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                reader.publish()
                tasks.start_soon(reader.feed.run)
                tasks.start_soon(polling.run)
                await anyio.sleep(3.0)
                reader.link.is_cut_off = True
                await anyio.sleep(2.0)
                peers.version = 2
                await anyio.sleep(_MAX_AGE_S)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)
        assert reader.feed.config is not None
        assert reader.feed.config.version == 2


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    with GatewayFleet(tmp_path) as fleet:
        fleet.publish(prepaid_tokens=100)
        fleet.start_engine("e-1")
        yield fleet


@pytest.mark.processes
class TestAnswersToCallers:
    @pytest.mark.parametrize("refusal", ["unknown path", "unknown key", "exhausted budget"])
    def test_refusal_is_not_final_while_newer_versions_cannot_be_read(
        self, fleet: GatewayFleet, refusal: str
    ) -> None:
        """Guards against 404, 401 and 402 for what a newer configuration allows."""
        instance = fleet.start_instance("a")
        path = "/added/" if refusal == "unknown path" else PREFIX
        key = "added-key" if refusal == "unknown key" else KEY
        assert fleet.send_request(instance, "r-1", path=path, key=key).status_code in (
            401,
            402,
            404,
        )
        fleet.set_store_unreachable(True)
        fleet.publish(prepaid_tokens=100_000, prefix=path, keys=(KEY, key))
        time.sleep(CONFIGURATION_S + 0.5)
        answer = fleet.send_request(instance, "r-2", path=path, key=key)
        assert answer.status_code == 503
        assert float(answer.headers["Retry-After"]) > 0
        fleet.set_store_unreachable(False)
        time.sleep(CONFIGURATION_S)
        assert fleet.send_request(instance, "r-3", path=path, key=key).status_code == 200

    def test_instance_that_knows_of_a_newer_version_does_not_serve_by_an_older_one(
        self, fleet: GatewayFleet
    ) -> None:
        """Guards against a dropped route that is served while its removal is being read."""
        fleet.publish(prepaid_tokens=100_000)
        instance = fleet.start_instance("a")
        assert fleet.send_request(instance, "r-1").status_code == 200
        fleet.set_store_rate(20_000)
        fleet.publish(prepaid_tokens=100_000, prefix="/moved/", filler_bytes=400_000)
        time.sleep(CONFIGURATION_S + 0.1)
        answer = fleet.send_request(instance, "r-2")
        assert answer.status_code == 503
        assert answer.headers["Connection"] == "close"
        assert not fleet.is_ready(instance)

    def test_instance_serves_by_its_last_version_while_the_store_is_unreachable(
        self, fleet: GatewayFleet
    ) -> None:
        """Guards against an outage of the store that ends all service."""
        fleet.publish(prepaid_tokens=100_000)
        instance = fleet.start_instance("a")
        assert fleet.send_request(instance, "r-1").status_code == 200
        fleet.set_store_unreachable(True)
        time.sleep(CONFIGURATION_S + 0.5)
        assert fleet.send_request(instance, "r-2").status_code == 200
        assert fleet.is_ready(instance)
