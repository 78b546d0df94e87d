"""Keeping up with the operators' configuration through outages of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from ..gateway.feeds import ConfigFeed
from ..log.health import LogHealth
from ..platform.records import CONFIG_KEY, CONFIG_STREAM, decode_config
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from ..gateway.store import Stream, StreamPage


class _CountingLink(StoreLink):
    """Counts the records that were read."""

    records = 0

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        await anyio.sleep(0.1)
        page = await super().read(stream, from_offset, wait_s=wait_s)
        self.records += len(page.records)
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
            link, CONFIG_STREAM, CONFIG_KEY, clock, LogHealth(clock), decode_config, lambda _: None
        )

        def publish(version: int) -> None:
            store.put(CONFIG_STREAM, CONFIG_KEY, json.dumps({"version": version}).encode())

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                publish(1)
                tasks.start_soon(feed.run)
                await anyio.sleep(1.0)
                link.is_cut = True
                await anyio.sleep(1.0)
                for version in range(2, 32):
                    publish(version)
                link.is_cut = False
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)
        assert feed.config is not None
        assert feed.config.version == 31
        assert link.records == 0
