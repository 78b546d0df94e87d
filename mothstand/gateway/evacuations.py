"""Learns of evacuations from the store, and of all operators' changes from peers without it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from ..core.evacuation import EvacuationState
from ..events import Event, emit
from ..peers.failures import PeerError
from .store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..clock import Clock
    from ..core.evacuation import Evacuations
    from ..types import DataCentre
    from .feeds import ConfigFeed
    from .lending import PeerLink
    from .store import StreamPage

#: Reads that fail for this time count as an outage, in which peers are asked.
_ASK_PEERS_AFTER_S = 1.0

#: Time for a peer's configuration to arrive: a large one needs a second on a thin link.
_CONFIG_TIMEOUT_S = 3.0

#: Seconds between two rounds of asking peers.
_ROUND_INTERVAL_S = 1.0

#: Peers that are asked in a round, at any size of the fleet; one that reads the store is enough.
_PEERS_ASKED = 4


class EvacuationTracker:
    """Applies operators' records to the known evacuations, and logs each change.

    Parameters
    ----------
    data_centre_of
        Returns the data centre that a key of the operators' stream evacuates; None for others.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        data_centre_of: Callable[[str], DataCentre | None],
        clock: Clock,
    ) -> None:
        self.evacuations = evacuations
        self._data_centre_of = data_centre_of
        self._clock = clock
        self._read_s: float | None = None

    def apply(self, records: Iterable[KeyedRecord]) -> None:
        """Apply later records of the operators' stream, in order."""
        now_s = self._clock.monotonic_s()
        for record in records:
            state = self._state(record)
            if state is not None and self.evacuations.apply(state, now_s):
                self._log(state, source="store", unread_s=self._unread_s(now_s))
        self._read_s = now_s

    def apply_listing(self, listing: StreamPage) -> None:
        """Apply the newest record of each key of the operators' stream."""
        now_s = self._clock.monotonic_s()
        states = [s for s in map(self._state, listing.records) if s is not None and s.is_evacuated]
        for state in self.evacuations.apply_listing(states, listing.next_offset, now_s):
            self._log(state, source="listing", unread_s=self._unread_s(now_s))
        self._read_s = now_s

    def apply_from_peer(self, states: Iterable[EvacuationState]) -> None:
        """Apply the states that a peer knows; older ones than those known here are ignored."""
        now_s = self._clock.monotonic_s()
        for state in states:
            if self.evacuations.apply(state, now_s):
                self._log(state, source="peer", unread_s=self._unread_s(now_s))

    def _state(self, record: KeyedRecord) -> EvacuationState | None:
        data_centre = self._data_centre_of(record.key)
        if data_centre is None:
            return None
        return EvacuationState(data_centre, record.value is not None, record.offset)

    def _unread_s(self, now_s: float) -> float | None:
        """Return the seconds since the previous read, the maximum age of what was read now."""
        return None if self._read_s is None else round(now_s - self._read_s, 3)

    def _log(self, state: EvacuationState, *, source: str, unread_s: float | None) -> None:
        emit(
            Event.EVACUATION_BEGAN if state.is_evacuated else Event.EVACUATION_ENDED,
            data_centre=state.data_centre,
            offset=state.offset,
            source=source,
            unread_s=unread_s,
        )


class OperatorNewsPolling:
    """Asks peers for evacuations and newer configurations while the store cannot be read.

    Notes
    -----
    The store may reject some instances for long while it serves operators and other instances.

    Parameters
    ----------
    config_feed
        Tells how long reads have failed, and receives the configurations of peers.
    peer_addresses
        Returns the addresses of all other instances.
    """

    def __init__(
        self,
        tracker: EvacuationTracker,
        link: PeerLink,
        config_feed: ConfigFeed,
        peer_addresses: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._link = link
        self._config_feed = config_feed
        self._peer_addresses = peer_addresses
        self._clock = clock

    async def run(self) -> None:
        """Ask some peers in each interval in which the stream cannot be read."""
        while True:
            await self._clock.sleep(_ROUND_INTERVAL_S)
            if self._config_feed.failing_s() >= _ASK_PEERS_AFTER_S:
                await self._ask_some_peers()

    async def _ask_some_peers(self) -> None:
        addresses = self._peer_addresses()
        versions: dict[str, int] = {}
        async with anyio.create_task_group() as tasks:
            for address in random.sample(addresses, min(_PEERS_ASKED, len(addresses))):
                tasks.start_soon(self._ask_peer, address, versions)
        if versions:
            newest = max(versions, key=lambda address: versions[address])
            await self._fetch_config(newest, versions[newest])

    async def _ask_peer(self, address: str, versions: dict[str, int]) -> None:
        try:
            news = await self._link.operator_news(address)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=address, error=str(error))
            return
        self._tracker.apply_from_peer(news.evacuations)
        versions[address] = news.config_version

    async def _fetch_config(self, address: str, version: int) -> None:
        """Apply the configuration of a peer if it is newer than the one in force."""
        config = self._config_feed.config
        if config is None or version <= config.version:
            # Before the first configuration, the bootstrap asks peers.
            return
        try:
            state = await self._link.bootstrap_state(address, timeout_s=_CONFIG_TIMEOUT_S)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=address, error=str(error))
            return
        self._config_feed.apply_record(KeyedRecord("", state.config))
