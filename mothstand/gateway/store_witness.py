"""Whether the store was up while it did not answer here."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio

from ..events import Event, emit
from ..peers.failures import PeerError

if TYPE_CHECKING:
    from ..core.loans import Peer
    from .lending import PeerLink
    from .member_feed import MemberFeed

#: Peers that are asked at once, however large the fleet. One that followed the store is enough;
#: with half of the fleet cut off alike, one in sixteen instances finds none, and takes it for an
#: outage.
_PEERS_ASKED = 4


class StoreWitness(ABC):
    """Knows whether the store was up while it did not answer here."""

    @abstractmethod
    async def has_read_without_gap(self, gap_s: float) -> bool:
        """Return whether the registrations could be read elsewhere all through the last seconds.

        False also where nobody can tell.
        """


class PeerWitness(StoreWitness):
    """Asks some peers for how long they have followed the registrations without a gap."""

    def __init__(self, link: PeerLink, members: MemberFeed) -> None:
        self._link = link
        self._members = members

    async def has_read_without_gap(self, gap_s: float) -> bool:
        """Return whether a peer followed the registrations all through the last seconds."""
        peers = [member.peer for member in self._members.fleet.other_members()]
        found = False

        async def ask(peer: Peer) -> None:
            nonlocal found
            if await self._gapless_s(peer) >= gap_s:
                found = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for peer in random.sample(peers, min(_PEERS_ASKED, len(peers))):
                tasks.start_soon(ask, peer)
        return found

    async def _gapless_s(self, peer: Peer) -> float:
        try:
            return await self._link.registrations_gapless_s(peer.address)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=peer.instance, error=str(error))
            return 0.0
