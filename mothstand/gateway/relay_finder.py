"""Finds peers that relay requests, while this instance cannot reach upstreams itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..events import Event, emit
from ..peers.failures import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.fleet import FleetView, Member
    from ..core.relaying import RelayPeer, RelayPeers
    from ..types import DataCentre
    from .lending import PeerLink
    from .metrics import GatewayMetrics
    from .reachability_probes import ReachabilityProbes

#: Seconds between two checks whether relays are needed.
_POLL_INTERVAL_S = 0.1

#: Maximum seconds for which a request waits for a peer to be found.
_MAX_WAIT_S = 0.3

#: Seconds for which it is known that no peer relays, once several were asked.
_UNAVAILABLE_VALID_S = 1.0


class RelayFinder:
    """Asks peers what they relay while an upstream's service is out of reach.

    Attributes
    ----------
    peers
        The peers in use.
    """

    def __init__(
        self,
        peers: RelayPeers,
        fleet: FleetView,
        link: PeerLink,
        probes: ReachabilityProbes,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self.peers = peers
        self._fleet = fleet
        self._link = link
        self._probes = probes
        self._clock = clock
        self._metrics = metrics
        self._is_wanted = anyio.Event()
        self._round_ended = anyio.Event()
        self._searched_s: dict[str, float] = {}
        self._logged_peers: list[str] = []

    async def find(
        self, service: str, permits: Callable[[DataCentre], bool], *, may_wait: bool
    ) -> RelayPeer | None:
        """Return the peer for a request; None if there is none.

        Parameters
        ----------
        permits
            Whether the request's body may be sent to a data centre.
        may_wait
            Whether to wait until peers have been asked.
        """
        self.peers.note_needed(service, self._clock.monotonic_s())
        if service not in self._searched_s:
            self._is_wanted.set()
        with anyio.move_on_after(_MAX_WAIT_S):
            while True:
                peer = self.peers.choose(service, permits, self._clock.monotonic_s())
                if peer is not None or not may_wait or self._has_searched(service):
                    return peer
                await self._round_ended.wait()
        return None

    def is_unavailable(self, service: str, permits: Callable[[DataCentre], bool]) -> bool:
        """Return whether peers were asked recently and none can take a request."""
        now_s = self._clock.monotonic_s()
        return self._has_searched(service) and self.peers.choose(service, permits, now_s) is None

    def note_cannot_serve(self, peer: RelayPeer, service: str) -> None:
        """Record that a peer could not take a request of a service."""
        self.peers.note_cannot_serve(peer, service, self._clock.monotonic_s())

    def _has_searched(self, service: str) -> bool:
        searched_s = self._searched_s.get(service)
        return searched_s is not None and (
            self._clock.monotonic_s() - searched_s <= _UNAVAILABLE_VALID_S
        )

    async def run(self) -> None:
        """Ask peers while relays are needed, until cancelled."""
        pause_s = _POLL_INTERVAL_S
        while True:
            with anyio.move_on_after(pause_s):
                await self._is_wanted.wait()
            self._is_wanted = anyio.Event()
            now_s = self._clock.monotonic_s()
            for service in self._probes.lost_services:
                self.peers.note_needed(service, now_s)
            services = self.peers.needed_services(now_s)
            for service in self._searched_s.keys() - services:
                del self._searched_s[service]
            if services:
                await self._search(services)
                pause_s = self.peers.policy.round_interval_s
            else:
                self._log_peers([])
                pause_s = _POLL_INTERVAL_S

    async def _search(self, services: set[str]) -> None:
        is_new = bool(services - self._searched_s.keys())
        await self._ask_until_found(self.peers.policy.search_rounds if is_new else 1)
        self._searched_s |= dict.fromkeys(services, self._clock.monotonic_s())
        self._end_round()

    async def _ask_until_found(self, max_rounds: int) -> None:
        """Ask some peers after the others until each needed service has one."""
        for _ in range(max_rounds):
            members = self._fleet.other_members()
            async with anyio.create_task_group() as tasks:
                for member in self.peers.peers_to_ask(members, self._clock.monotonic_s()):
                    tasks.start_soon(self._ask, member)
            now_s = self._clock.monotonic_s()
            self._log_peers(self.peers.usable_peers(now_s))
            self._end_round()
            if self.peers.has_peers_for_all(now_s):
                return

    def _end_round(self) -> None:
        """Wake the requests that wait for a peer."""
        self._round_ended.set()
        self._round_ended = anyio.Event()

    async def _ask(self, member: Member) -> None:
        self._metrics.counts["relay_offers_asked"] += 1
        try:
            offer = await self._link.relay_offer(member.peer.address)
        except PeerError as error:
            emit(Event.PEER_SUSPECTED, peer=member.peer.address, error=str(error))
            return
        self.peers.note_offer(member, offer, self._clock.monotonic_s())

    def _log_peers(self, usable: list[str]) -> None:
        if usable != self._logged_peers:
            self._logged_peers = usable
            emit(Event.RELAYS_CHANGED, peers=usable)
