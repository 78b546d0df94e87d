"""Gets the state of a starting instance from peers while the store is unreachable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event, emit
from ..peers.failures import PeerError
from .member_feed import decode_member
from .store import KeyedRecord

if TYPE_CHECKING:
    from ..clock import Clock
    from .evacuations import EvacuationTracker
    from .feeds import ConfigFeed
    from .lending import PeerLink
    from .member_feed import MemberFeed
    from .quarantine.feed import QuarantineFeed
    from .upstream_feed import UpstreamFeed

#: Seconds to wait for the first configuration from the store before peers are asked.
_ASK_PEERS_AFTER_S = 0.8

#: Seconds between two rounds of requests to all known addresses.
_ROUND_INTERVAL_S = 0.5


class Bootstrap:
    """Asks seeds, and the peers that they report, until there is a configuration.

    Notes
    -----
    Otherwise an instance that restarts in a store outage would refuse all requests until the
    outage ends, although its peers serve theirs.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        own_address: str,
        link: PeerLink,
        config: ConfigFeed,
        upstreams: UpstreamFeed,
        members: MemberFeed,
        quarantine: QuarantineFeed,
        evacuations: EvacuationTracker,
        clock: Clock,
    ) -> None:
        self._addresses = [address for address in seeds if address != own_address]
        self._own_address = own_address
        self._link = link
        self._config = config
        self._upstreams = upstreams
        self._members = members
        self._quarantine = quarantine
        self._evacuations = evacuations
        self._clock = clock

    async def run(self) -> None:
        """Ask peers until there is a configuration."""
        await self._clock.sleep(_ASK_PEERS_AFTER_S)
        while self._config.config is None:
            for address in tuple(self._addresses):
                if self._config.config is None:
                    await self._ask_peer(address)
            await self._clock.sleep(_ROUND_INTERVAL_S)

    async def _ask_peer(self, address: str) -> None:
        try:
            state = await self._link.bootstrap_state(address)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=address, error=str(error))
            return
        for record in state.members:
            try:
                peer_address = decode_member(record).member.peer.address
            except ValueError as error:
                emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
                continue
            if peer_address not in (*self._addresses, self._own_address):
                self._addresses.append(peer_address)
        if not state.config:
            return
        emit(Event.KNOWLEDGE_TAKEN, peer=address, upstreams=len(state.upstreams))
        self._members.apply_second_hand(state.members)
        self._upstreams.apply_second_hand(state.upstreams)
        self._quarantine.apply_second_hand(state.quarantine_records)
        self._evacuations.apply_from_peer(state.evacuations)
        self._config.apply_record(KeyedRecord("", state.config))
