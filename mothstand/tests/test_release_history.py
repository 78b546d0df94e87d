"""Tests of what an instance learns of the time before its start, and what it writes for others."""

from __future__ import annotations

import json

import anyio
import pytest

from ..core.stream_origins import OriginPolicy
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..gateway.metrics import GatewayMetrics
from ..gateway.release_history import RELEASES_STREAM, ReleaseHistory, StreamPositions
from ..gateway.store import Stream, StreamPage
from ..testing.eligibility import fleet_view, origins_of
from ..testing.fakes import UnreachablePeers
from ..testing.memory_store import MemoryStore, StoreLink
from ..testing.virtual_time import VirtualClock, run_in_virtual_time
from ..types import DataCentre

_REGISTRATIONS = Stream("registrations")


class Positions(StreamPositions):
    """Positions that a test sets."""

    registrations_to: int | None = None
    config_version: int | None = None
    is_first_config = False


class FailingStore(StoreLink):
    """Store whose first listing fails in a way that no caller expects."""

    failures = 0

    async def newest(self, stream: Stream) -> StreamPage:
        if stream == RELEASES_STREAM and self.failures:
            self.failures -= 1
            raise RuntimeError("unexpected")
        return await super().newest(stream)


def _decode(upstream_id: str, value: bytes) -> RegisteredUpstream:
    return RegisteredUpstream(
        upstream_id, "llm", "e:1", DataCentre("a"), 8, False, version=value.decode()
    )


class Instance:
    """One instance, with what it has read up to now."""

    def __init__(self, store: MemoryStore, *, failures: int = 0) -> None:
        link = FailingStore(store)
        link.failures = failures
        fleet = fleet_view("me")
        clock = VirtualClock()
        self.positions = Positions()
        self.origins = origins_of(
            fleet, UpstreamDirectory(), UnreachablePeers(), clock, GatewayMetrics(), link
        )
        self.history = ReleaseHistory(
            link, _REGISTRATIONS, _decode, self.positions, self.origins, fleet, clock
        )

    def list_all(self, store: MemoryStore, *, config_version: int, is_first: bool = False) -> None:
        """Read the registrations and the configuration as they are."""
        listing = store.newest(_REGISTRATIONS)
        self.origins.versions.coverage.note_gap(anyio.current_time())
        self.origins.routes.coverage.note_gap(anyio.current_time())
        for record in listing.records:
            self.origins.note_upstream(_decode(record.key, record.value or b""))
        self.positions.registrations_to = listing.end_offset
        self.positions.config_version = config_version
        self.positions.is_first_config = is_first
        self.history.note_gap()

    def versions(self) -> frozenset[str] | None:
        """Return all recent versions, or None if some may be unknown."""
        now_s = anyio.current_time()
        versions = self.origins.versions
        return versions.versions("llm", now_s) if versions.is_complete(now_s) else None


def _store_of_a_release() -> MemoryStore:
    """Return a store with two registrations of a version that has left, and one of the next."""
    store = MemoryStore()
    for upstream_id, version in (("u1", b"v1"), ("u2", b"v2"), ("u1", None)):
        store.put(_REGISTRATIONS, upstream_id, version)
    return store


async def _run(instance: Instance, for_s: float) -> None:
    with anyio.move_on_after(for_s):
        await instance.history.run()


class TestReleaseHistory:
    def test_version_that_has_left_is_known_from_the_history(self) -> None:
        # Guards against a start that sees only the version that is left.
        async def main() -> None:
            store = _store_of_a_release()
            instance = Instance(store)
            instance.list_all(store, config_version=1, is_first=True)
            assert instance.versions() is None
            await _run(instance, 1.0)
            assert instance.versions() == {"v1", "v2"}
            assert instance.origins.routes.are_settled(anyio.current_time())

        run_in_virtual_time(main)

    @pytest.mark.parametrize("config_version", [7, 8])
    def test_record_tells_what_was_before_the_history_that_is_left(
        self, config_version: int
    ) -> None:
        # Guards against unknown versions after a start once the store has dropped registrations.
        async def main() -> None:
            store = _store_of_a_release()
            first = Instance(store)
            first.list_all(store, config_version=7, is_first=True)
            await _run(first, 1.0)
            store.compact(_REGISTRATIONS)
            store.put(_REGISTRATIONS, "u3", b"v3")
            second = Instance(store)
            second.list_all(store, config_version=config_version)
            await _run(second, 1.0)
            assert second.versions() == {"v1", "v2", "v3"}
            is_settled = second.origins.routes.are_settled(anyio.current_time())
            assert is_settled is (config_version == 7)

        run_in_virtual_time(main)

    def test_dropped_history_leaves_versions_unknown_for_the_retention_time(self) -> None:
        # Guards against a conclusion from a history of which a part is missing.
        async def main() -> None:
            store = _store_of_a_release()
            store.compact(_REGISTRATIONS)
            instance = Instance(store)
            instance.list_all(store, config_version=1)
            await _run(instance, 1.0)
            assert instance.versions() is None
            assert store.newest(RELEASES_STREAM).records == ()
            await anyio.sleep(OriginPolicy().retention_s)
            instance.origins.note_version("llm", "v2")
            assert instance.versions() == {"v2"}

        run_in_virtual_time(main)

    def test_record_is_written_at_once_when_a_version_appears(self) -> None:
        # Guards against a death of all just after a release.
        async def main() -> None:
            store = _store_of_a_release()
            instance = Instance(store)
            instance.list_all(store, config_version=1, is_first=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(instance.history.run)
                await anyio.sleep(1.0)
                instance.origins.note_version("llm", "v3")
                await anyio.sleep(0.3)
                record = store.newest(RELEASES_STREAM).records[0]
                assert json.loads(record.value or b"")["versions"] == {"llm": ["v1", "v2", "v3"]}
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_history_is_read_again_after_the_task_has_failed(self) -> None:
        # Guards against an instance that refuses unknown resumptions after one unexpected failure.
        async def main() -> None:
            store = _store_of_a_release()
            instance = Instance(store, failures=1)
            instance.list_all(store, config_version=1)
            with pytest.raises(BaseExceptionGroup):
                await _run(instance, 1.0)
            await _run(instance, 1.0)
            assert instance.versions() == {"v1", "v2"}

        run_in_virtual_time(main)
