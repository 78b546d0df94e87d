"""Tests of the configuration and upstream feeds, also after outages of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from ..core.config_freshness import ConfigFreshness
from ..core.evacuation import Evacuations
from ..gateway.evacuations import EvacuationTracker
from ..gateway.feeds import ConfigFeed
from ..gateway.metrics import GatewayMetrics
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..platform.records import (
    CONFIG_KEY,
    CONFIG_STREAM,
    UPSTREAMS_STREAM,
    decode_config,
    decode_upstream,
    evacuated_data_centre,
)
from ..testing.fakes import NoWitness
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.registrations import registration
from ..testing.virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from ..core.upstreams import RegisteredUpstream
    from ..gateway.store import Stream, StreamPage


class _CountingLink(StoreLink):
    """Store link that counts the records read."""

    records_read = 0

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        await anyio.sleep(0.1)
        page = await super().read(stream, from_offset, wait_s=wait_s)
        self.records_read += len(page.records)
        return page


class TestConfigFeed:
    def test_after_an_outage_only_the_newest_version_is_fetched(self) -> None:
        """Guards against a slow link that is busy for seconds after a store outage.

        All thirty large versions published in the outage were fetched, though only the last counts.
        """
        store = MemoryStore()
        link = _CountingLink(store)
        clock = VirtualClock()
        feed = ConfigFeed(
            link,
            CONFIG_STREAM,
            CONFIG_KEY,
            clock,
            PlatformHealth(clock),
            decode_config,
            lambda _: None,
            EvacuationTracker(Evacuations(), evacuated_data_centre, clock),
            ConfigFreshness(3.0),
            GatewayMetrics(),
        )

        def publish(version: int) -> None:
            store.put(CONFIG_STREAM, CONFIG_KEY, json.dumps({"version": version}).encode())

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                publish(1)
                tasks.start_soon(feed.run)
                await anyio.sleep(1.0)
                link.is_cut_off = True
                await anyio.sleep(1.0)
                for version in range(2, 32):
                    publish(version)
                link.is_cut_off = False
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)
        assert feed.config is not None
        assert feed.config.version == 31
        assert link.records_read == 0


class _Registrations:
    """A feed of registrations and the stream that it follows."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.removed: list[RegisteredUpstream] = []
        clock = VirtualClock()
        self.feed = UpstreamFeed(
            StoreLink(self.store),
            UPSTREAMS_STREAM,
            clock,
            PlatformHealth(clock),
            decode_upstream,
            self.removed.append,
            wait_s=1.0,
            witness=NoWitness(),
        )

    def register(self, upstream_id: str, *, born_ms: int) -> None:
        """Write the registration of an upstream."""
        entry = registration("llm", "10.0.0.9:80", born_ms=born_ms)
        self.write(upstream_id, json.dumps(entry).encode())

    def write(self, key: str, value: bytes) -> None:
        """Write an arbitrary value."""
        self.store.put(UPSTREAMS_STREAM, key, value)

    def poll(self) -> list[str]:
        """Read once and return the ids of the upstreams that accept requests."""
        run_in_virtual_time(self.feed.poll)
        return [u.upstream_id for u in self.feed.directory.accepting_upstreams("llm")]


class TestUpstreamFeed:
    def test_upstream_restarted_under_its_id_is_reported_as_removed(self) -> None:
        """Guards against prompts sent to an engine for a cache that it lost by a restart.

        Cached prompts were tracked by the engine's id and not by its start.
        """
        registrations = _Registrations()
        registrations.register("i-1", born_ms=1_000)
        assert registrations.poll() == ["i-1"]
        registrations.register("i-1", born_ms=2_000)
        assert registrations.poll() == ["i-1"]
        assert [u.born_ms for u in registrations.removed] == [1_000]

    def test_unreadable_entry_removes_only_its_upstream(self) -> None:
        """Guards against requests to an upstream with an unreadable entry, or a failing feed.

        Another writer put entries into the stream; an unreadable one left its predecessor in force.
        """
        registrations = _Registrations()
        for upstream_id in ("i-1", "i-2"):
            registrations.register(upstream_id, born_ms=1_000)
        registrations.write("junk", b"\xff")
        assert registrations.poll() == ["i-1", "i-2"]
        registrations.write("i-1", b"\xff")
        assert registrations.poll() == ["i-2"]
        registrations.register("i-1", born_ms=1_000)
        assert sorted(registrations.poll()) == ["i-1", "i-2"]

    def test_second_hand_registration_is_ignored_after_a_store_read(self) -> None:
        """Guards against requests to a deregistered upstream, without end.

        A starting instance had listed the upstreams but not yet read the larger configuration, and
        asked a peer that was cut off. It applied that peer's registration of a deregistered
        upstream, whose deletion it never read.
        """
        registrations = _Registrations()
        registrations.register("i-1", born_ms=1_000)
        registrations.register("i-2", born_ms=1_000)
        assert registrations.poll() == ["i-1", "i-2"]
        stale = registrations.feed.raw_records()
        registrations.store.put(UPSTREAMS_STREAM, "i-1", None)
        assert registrations.poll() == ["i-2"]
        registrations.feed.apply_second_hand(stale)
        assert registrations.poll() == ["i-2"]

    def test_stale_second_hand_state_is_neither_used_nor_passed_on(self) -> None:
        """Guards against passing on to a starting instance that a draining upstream is ready.

        A stale second-hand registration was not applied, but `raw_records` returned it.
        """
        registrations = _Registrations()
        registrations.register("i-1", born_ms=1_000)
        registrations.poll()
        stale = registrations.feed.raw_records()
        draining = registration("llm", "10.0.0.9:80", born_ms=1_000) | {"state": "draining"}
        registrations.write("i-1", json.dumps(draining).encode())
        assert registrations.poll() == []
        registrations.feed.apply_second_hand(stale)
        assert registrations.poll() == []
        assert [json.loads(r.value or b"")["state"] for r in registrations.feed.raw_records()] == [
            "draining"
        ]
