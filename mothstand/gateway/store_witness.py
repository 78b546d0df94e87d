"""Determines whether the store was up while this instance could not reach it."""

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

#: Peers that are asked at once, at any size of the fleet. One that could read the store is enough.
_PEERS_ASKED = 4


class StoreWitness(ABC):
    """Determines whether the store was up while this instance could not reach it."""

    @abstractmethod
    async def has_read_without_gap(self, gap_s: float) -> bool:
        """Return whether a peer could read the registrations throughout the last `gap_s` seconds.

        Also False if it is not known.
        """


class PeerWitness(StoreWitness):
    """Asks some peers for how long they have read the registrations without a gap."""

    def __init__(self, link: PeerLink, members: MemberFeed) -> None:
        self._link = link
        self._members = members

    async def has_read_without_gap(self, gap_s: float) -> bool:
        """Return whether an asked peer read the registrations for the last `gap_s` seconds."""
        peers = [member.peer for member in self._members.fleet.other_members()]
        found = False

        async def ask(peer: Peer) -> None:
            nonlocal found
            if await self._gapless_read_s(peer) >= gap_s:
                found = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for peer in random.sample(peers, min(_PEERS_ASKED, len(peers))):
                tasks.start_soon(ask, peer)
        return found

    async def _gapless_read_s(self, peer: Peer) -> float:
        try:
            return await self._link.registrations_gapless_read_s(peer.address)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=peer.instance, error=str(error))
            return 0.0
