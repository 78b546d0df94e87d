"""Keeps membership current from the platform's list and from direct heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.membership import PeerState, ProbeRates
from ..events import Event, emit
from ..log.instances import InstanceList, ListError
from ..peers.failures import PeerError
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.membership import Membership
    from ..core.routing import Router
    from ..peers.client import GrpcPeers
    from ..settings.instance import TimingSection

_LIST_INTERVAL_S = 1.0


class Heartbeats:
    """Reads the platform's list of instances and probes peers.

    Parameters
    ----------
    on_config_offset
        Called with a peer's address and the offset of its configuration.
    partners
        Returns the names of the peers that share a ledger epoch with this instance.
    seeds
        Addresses of peers to probe while no peer is known, since an instance that starts during
        an outage of the platform cannot read the list.
    """

    def __init__(
        self,
        membership: Membership,
        router: Router,
        listing: InstanceList,
        peers: GrpcPeers,
        clock: Clock,
        timing: TimingSection,
        on_config_offset: Callable[[str, int], None],
        partners: Callable[[], set[str]],
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.has_probed = False
        self._membership = membership
        self._router = router
        self._listing = listing
        self._peers = peers
        self._clock = clock
        self._timing = timing
        self._on_config_offset = on_config_offset
        self._suspected: set[str] = set()
        self._partners = partners
        self._seeds = seeds

    async def run_list(self) -> None:
        """Read the platform's list at regular intervals, until cancelled."""
        while True:
            await self.read_list()
            await self._clock.sleep(_LIST_INTERVAL_S)

    async def read_list(self) -> None:
        """Read the platform's list once; membership is unchanged if the list is unreachable."""
        try:
            listed = await self._listing.read()
        except ListError:
            return
        self._router.draining = frozenset(i.name for i in listed if i.leaving)
        self._membership.apply_listing(
            (
                PeerState(
                    name=i.name,
                    address=i.address,
                    data_centre=DataCentre(i.data_centre),
                    seen_at_s=0.0,
                    is_stopping=i.leaving,
                )
                for i in listed
                if i.address
            ),
            self._clock.monotonic_s(),
        )

    async def run_probes(self) -> None:
        """Probe the peers that are due in each heartbeat interval, until cancelled."""
        rates = ProbeRates(self._timing.heartbeat_s, self._timing.probes_per_s)
        while True:
            now_s = self._clock.monotonic_s()
            peers = self._membership.due_probes(self._partners(), rates, now_s)
            async with anyio.create_task_group() as tasks:
                if not self._membership.peers:
                    for address in self._seeds:
                        tasks.start_soon(self._probe_seed, address)
                for peer in peers:
                    tasks.start_soon(self._probe, peer)
                tasks.start_soon(self._clock.sleep, self._timing.heartbeat_s)
            self.has_probed = True

    async def _probe_seed(self, address: str) -> None:
        try:
            result = await self._peers.probe(
                address, self._membership.local_member, timeout_s=self._timing.suspect_after_s / 2
            )
        except PeerError:
            return
        now_s = self._clock.monotonic_s()
        self._membership.add_seed_peer(result.member, result.data_centre, now_s)

    async def _probe(self, peer: PeerState) -> None:
        try:
            result = await self._peers.probe(
                peer.address,
                self._membership.local_member,
                timeout_s=self._timing.suspect_after_s / 2,
            )
        except PeerError:
            self._note_no_response(peer)
            return
        now_s = self._clock.monotonic_s()
        new = self._membership.note_response(
            result.member, is_stopping=result.is_stopping, now_s=now_s
        )
        if new:
            self._suspected.discard(peer.name)
            emit(Event.PEER_SEEN, peer=peer.name, incarnation=result.member.incarnation)
        self._on_config_offset(peer.address, result.config_offset)

    def _note_no_response(self, peer: PeerState) -> None:
        if peer.member is None or peer.name in self._suspected:
            return
        if not self._membership.is_alive(peer.member, self._clock.monotonic_s()):
            self._suspected.add(peer.name)
            emit(Event.PEER_SUSPECTED, peer=peer.name, incarnation=peer.member.incarnation)
