"""Learns of evacuations from the store, and from peers while the store cannot be read."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from ..core.evacuation import EvacuationState
from ..events import Event, emit
from ..peers.failures import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..clock import Clock
    from ..core.evacuation import Evacuations
    from ..types import DataCentre
    from .lending import PeerLink
    from .store import KeyedRecord, StreamPage

#: Reads that fail for this time count as an outage, in which peers are asked.
_ASK_PEERS_AFTER_S = 1.0

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


class EvacuationPolling:
    """Asks peers for evacuations while the operators' stream cannot be read.

    Notes
    -----
    The store may reject some instances for long while it serves operators and other instances.

    Parameters
    ----------
    failing_s
        Returns for how many seconds reads of the operators' stream have failed.
    peer_addresses
        Returns the addresses of all other instances.
    """

    def __init__(
        self,
        tracker: EvacuationTracker,
        link: PeerLink,
        failing_s: Callable[[], float],
        peer_addresses: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._link = link
        self._failing_s = failing_s
        self._peer_addresses = peer_addresses
        self._clock = clock

    async def run(self) -> None:
        """Ask some peers in each interval in which the stream cannot be read."""
        while True:
            await self._clock.sleep(_ROUND_INTERVAL_S)
            if self._failing_s() >= _ASK_PEERS_AFTER_S:
                await self._ask_some_peers()

    async def _ask_some_peers(self) -> None:
        addresses = self._peer_addresses()
        async with anyio.create_task_group() as tasks:
            for address in random.sample(addresses, min(_PEERS_ASKED, len(addresses))):
                tasks.start_soon(self._ask_peer, address)

    async def _ask_peer(self, address: str) -> None:
        try:
            states = await self._link.evacuations(address)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=address, error=str(error))
            return
        self._tracker.apply_from_peer(states)
