"""Keeping up with what operators and upstreams write to the store, through its outages."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from ..gateway.feeds import ConfigFeed
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..platform.records import (
    CONFIG_KEY,
    CONFIG_STREAM,
    UPSTREAMS_STREAM,
    decode_config,
    decode_upstream,
)
from ..testing.fakes import NoWitness
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.registrations import registration
from ..testing.virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from ..core.upstreams import RegisteredUpstream
    from ..gateway.store import Stream, StreamPage


class _CountingLink(StoreLink):
    """Counts the records that were read."""

    records_read = 0

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        await anyio.sleep(0.1)
        page = await super().read(stream, from_offset, wait_s=wait_s)
        self.records_read += len(page.records)
        return page


class TestConfigFeed:
    def test_after_an_outage_only_the_newest_version_is_fetched(self) -> None:
        """Symptom: after an outage a machine with a thin link is behind for seconds.

        Sequence: the store is away; thirty versions of a large configuration are published; it
        comes back.
        Cause: all thirty were fetched one after the other, though only the last one counts.
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
    """A feed of registrations, and the stream that it follows."""

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
        """Write what an upstream says of itself."""
        entry = registration("llm", "10.0.0.9:80", born_ms=born_ms)
        self.write(upstream_id, json.dumps(entry).encode())

    def write(self, key: str, value: bytes) -> None:
        """Write any value."""
        self.store.put(UPSTREAMS_STREAM, key, value)

    def poll(self) -> list[str]:
        """Read once and return the ids of the upstreams that take requests."""
        run_in_virtual_time(self.feed.poll)
        return [u.upstream_id for u in self.feed.directory.accepting_upstreams("llm")]


class TestUpstreamFeed:
    def test_upstream_restarted_under_its_id_is_reported_as_removed(self) -> None:
        """Symptom: prompts are sent to an engine for what it had cached, and it reads them anew.

        Sequence: an engine crashes behind a cut and starts again under its id. Cause: what was
        believed of it belonged to the id, not to the start, so nothing was forgotten.
        """
        registrations = _Registrations()
        registrations.register("i-1", born_ms=1_000)
        assert registrations.poll() == ["i-1"]
        registrations.register("i-1", born_ms=2_000)
        assert registrations.poll() == ["i-1"]
        assert [u.born_ms for u in registrations.removed] == [1_000]

    def test_unreadable_entry_removes_only_its_upstream(self) -> None:
        """Symptom: requests go to an upstream whose entry cannot be read, or none are served.

        Sequence: something else writes beside the upstreams, and over the entry of one.
        Cause: an entry that cannot be read left the one before it in force.
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
        """Symptom: requests go to an upstream that left, and nothing ever ends that.

        Sequence: an instance starts; the store lists the upstreams, while the configuration, which
        is larger, is still on its way; so it asks a peer, which has been cut off from the store and
        still knows an upstream that has left. Cause: what peers tell was taken whether or not the
        store had spoken; the end of that registration is in the past, and is never read.
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
        """Symptom: a starting process learns from a ready one that a leaving upstream is ready.

        Sequence: an upstream says that it leaves; stale hearsay of it comes; another process
        starts and asks. Cause: what was not believed was kept to be told on.
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
