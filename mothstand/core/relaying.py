"""Choice of the peer that passes requests on to upstreams which this instance cannot reach.

While a network partition separates an instance from all upstreams of a request, a peer that reaches
them relays it. A peer only ever sends directly, so there is no second hop, whatever an instance
believes of the partition. Each instance uses a few peers, so the calls grow with the number of
partitioned instances and not with its square.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..types import DataCentre
    from .fleet import Capacity, Member


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """Times and limits of relaying.

    Parameters
    ----------
    max_peers
        Maximum peers that an instance uses at once for a service.
    asked_per_round
        Maximum peers that are asked at once whether they relay.
    search_rounds
        Rounds without a pause in a search that begins; later ones are `round_interval_s` apart, so
        that the calls of a fleet without any upstreams stay few.
    round_interval_s
        Time between two rounds while relays are needed.
    needed_s
        Time for which relays count as needed after the latest request that needed one.
    offer_valid_s
        Time for which a peer's offer is used without a newer one.
    avoided_s
        Time for which a peer is not used after it could not serve a request of a service.
    requests_per_core
        Requests that an instance relays at once, per core of its machine.
    min_requests
        The same on any machine.
    recently_reached_s
        A peer that has reached a service within this time is preferred.
    """

    max_peers: int = 4
    asked_per_round: int = 4
    search_rounds: int = 4
    round_interval_s: float = 0.5
    needed_s: float = 2.0
    offer_valid_s: float = 1.6
    avoided_s: float = 1.0
    requests_per_core: float = 128.0
    min_requests: int = 16
    recently_reached_s: float = 2.0

    def max_relayed(self, capacity: Capacity) -> int:
        """Return the requests that a machine relays at once."""
        return max(self.min_requests, int(capacity.cores * self.requests_per_core))


@dataclass(frozen=True, slots=True)
class RelayOffer:
    """What a peer offers to relay.

    Parameters
    ----------
    address
        ``IP:PORT`` on which it takes requests to relay.
    reached_ages_s
        Services with an upstream that it can connect to, and the seconds since it last reached one;
        infinite if it never did.
    unreachable_ids
        Ids of upstreams that it cannot connect to.
    """

    address: str
    reached_ages_s: dict[str, float]
    unreachable_ids: frozenset[str] = frozenset()


@dataclass(slots=True)
class RelayPeer:
    """A peer that relays, with the requests that this instance sends through it."""

    member: Member
    offer: RelayOffer
    offered_s: float
    running: int = 0
    avoided_until_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class RelayPeers:
    """The peers through which this instance sends requests, and those to ask next."""

    local_name: str
    data_centre: DataCentre
    policy: RelayPolicy = field(default_factory=RelayPolicy)
    _peers: dict[str, RelayPeer] = field(default_factory=dict)
    _asked_s: dict[str, float] = field(default_factory=dict)
    _needed_until_s: dict[str, float] = field(default_factory=dict)

    def note_needed(self, service: str, now_s: float) -> None:
        """Record that a request of a service needs a relay."""
        self._needed_until_s[service] = now_s + self.policy.needed_s

    def needed_services(self, now_s: float) -> set[str]:
        """Return the services of which a request needed a relay recently."""
        return {service for service, until_s in self._needed_until_s.items() if now_s < until_s}

    def peers_to_ask(self, members: Iterable[Member], now_s: float) -> list[Member]:
        """Return the peers to ask in the next round: those in use, and others up to the limit.

        The others are taken in turn, the least recently asked first, and by turns of this data
        centre and of others: a partition may affect a whole data centre. All instances have
        different orders, so that they do not all choose the same peers.
        """
        known = {member.peer.instance: member for member in members}
        for name in [n for n in self._peers if n not in known]:
            del self._peers[name]
        for name in [n for n in self._asked_s if n not in known]:
            del self._asked_s[name]
        in_use = self.usable_peers(now_s)
        others = self._in_turn(member for name, member in known.items() if name not in in_use)
        services = self.needed_services(now_s)
        is_complete = all(self._has_enough(service, now_s) for service in services)
        chosen = [*in_use, *([] if is_complete else others[: self.policy.asked_per_round])]
        for name in chosen:
            self._asked_s[name] = now_s
        return [known[name] for name in chosen]

    def _in_turn(self, members: Iterable[Member]) -> list[str]:
        """Return the names of members in the order in which they are asked."""
        ordered = sorted(
            members,
            key=lambda m: (
                self._asked_s.get(m.peer.instance, float("-inf")),
                -rendezvous_weight(self.local_name, m.peer.instance),
            ),
        )
        places: Counter[bool] = Counter()
        turns: dict[str, int] = {}
        for member in ordered:
            is_local = member.data_centre == self.data_centre
            turns[member.peer.instance] = places[is_local]
            places[is_local] += 1
        return sorted(turns, key=lambda name: (self._asked_s.get(name, float("-inf")), turns[name]))

    def usable_peers(self, now_s: float) -> list[str]:
        """Return the names of the peers with a valid offer."""
        return sorted(peer.member.peer.instance for peer in self._valid_peers(now_s))

    def has_peers_for_all(self, now_s: float) -> bool:
        """Return whether there is a peer for each needed service."""
        return all(self._offering(service, now_s) for service in self.needed_services(now_s))

    def note_offer(self, member: Member, offer: RelayOffer, now_s: float) -> None:
        """Record the offer of a peer; one that reaches no needed service is not used.

        An offer that does not arrive is not recorded: the former one is used while it is valid.
        """
        name = member.peer.instance
        peer = self._peers.get(name)
        useful = self.needed_services(now_s) & offer.reached_ages_s.keys()
        if not useful:
            self._peers.pop(name, None)
        elif peer is not None and peer.offer.address == offer.address:
            peer.offer, peer.offered_s = offer, now_s
        elif not all(self._has_enough(service, now_s) for service in useful):
            self._peers[name] = RelayPeer(member, offer, now_s)

    def note_cannot_serve(self, peer: RelayPeer, service: str, now_s: float) -> None:
        """Record that a peer could not take a request of a service."""
        peer.avoided_until_s[service] = now_s + self.policy.avoided_s

    def choose(
        self, service: str, permits: Callable[[DataCentre], bool], now_s: float
    ) -> RelayPeer | None:
        """Return the peer for a request, or None if there is none.

        Parameters
        ----------
        permits
            Whether the request's body may be sent to a data centre.
        """
        candidates = [
            peer
            for peer in self._offering(service, now_s)
            if peer.avoided_until_s.get(service, 0.0) <= now_s and permits(peer.member.data_centre)
        ]
        return min(candidates, key=lambda peer: self._cost(peer, service), default=None)

    def _offering(self, service: str, now_s: float) -> list[RelayPeer]:
        return [p for p in self._valid_peers(now_s) if service in p.offer.reached_ages_s]

    def _has_enough(self, service: str, now_s: float) -> bool:
        return len(self._offering(service, now_s)) >= self.policy.max_peers

    def _cost(self, peer: RelayPeer, service: str) -> tuple[bool, float, bool, int]:
        is_stale = peer.offer.reached_ages_s[service] > self.policy.recently_reached_s
        capacity = self.policy.max_relayed(peer.member.capacity)
        is_remote = peer.member.data_centre != self.data_centre
        weight = rendezvous_weight(self.local_name, peer.member.peer.instance)
        return is_stale, peer.running / capacity, is_remote, -weight

    def _valid_peers(self, now_s: float) -> list[RelayPeer]:
        return [peer for peer in self._peers.values() if self._is_valid(peer, now_s)]

    def _is_valid(self, peer: RelayPeer, now_s: float) -> bool:
        return now_s - peer.offered_s <= self.policy.offer_valid_s
