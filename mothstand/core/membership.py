"""Who is alive, and who should lead what.

Beliefs about liveness only steer work. Safety never rests on them: see ``ledger_fold``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight, shard_index

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import BudgetName, DataCentre, Member, Shard


def shard_of(budget: BudgetName, shard_count: int) -> int:
    """Return the ledger shard of a budget.

    Examples
    --------
    >>> shard_of("lund-2026", 8) == shard_of("lund-2026", 8)
    True
    """
    return shard_index(budget, shard_count)


def rank(names: Iterable[str], subject: str) -> list[str]:
    """Return names by rendezvous hash: each subject gets its own, stable order."""
    return sorted(names, key=lambda name: rendezvous_weight(subject, name))


def rank_for_shard(names: Iterable[str], data_centre: DataCentre, shard: Shard) -> list[str]:
    """Return the instances of a data centre in the order in which they should lead a shard."""
    return rank(names, f"{data_centre}/{shard}")


@dataclass(frozen=True, slots=True)
class ProbeRates:
    """How often peers are probed.

    Parameters
    ----------
    partner_s
        Interval for each partner.
    others_per_s
        Probes a second that all other peers share.
    """

    partner_interval_s: float
    other_probes_per_s: float


#: A probe may go out this early, lest it waits for another whole round.
_PROBE_TOLERANCE_S = 0.02


@dataclass(slots=True)
class PeerState:
    """What one instance knows of another.

    Parameters
    ----------
    member
        Its last seen identity, or None before its first answer.
    seen_at_s
        Monotonic time of the last answer, or of the first mention in the platform's list.
    leaving
        Said by the list or by the peer itself.
    interval_s
        How often it is probed. One that is probed rarely is suspected late.
    """

    name: str
    address: str
    data_centre: DataCentre
    seen_at_s: float
    member: Member | None = None
    is_stopping: bool = False
    interval_s: float = 0.0
    probed_at_s: float | None = None


#: Probes without an answer after which a peer is suspected, whatever their interval.
_MAX_MISSED_PROBES = 4


class Membership:
    """Direct heartbeats over the platform's lagging list.

    Parameters
    ----------
    data_centre
        The data centre of this instance: only peers there lead its shards.
    suspect_after_s
        Silence after which a peer is suspected. Short, since a false suspicion costs a takeover
        and never tokens.
    """

    def __init__(
        self, local_member: Member, data_centre: DataCentre, suspect_after_s: float
    ) -> None:
        self.local_member = local_member
        self.data_centre = data_centre
        self.suspect_after_s = suspect_after_s
        self.peers: dict[str, PeerState] = {}
        self.is_stopping = False

    def apply_listing(self, listing: Iterable[PeerState], now_s: float) -> None:
        """Take the platform's list: it names peers; only their own answers make them alive."""
        names = set()
        for entry in listing:
            if entry.name == self.local_member.name:
                continue
            names.add(entry.name)
            existing = self.peers.get(entry.name)
            if existing is None or existing.address != entry.address:
                entry.seen_at_s = now_s - self.suspect_after_s
                self.peers[entry.name] = entry
            else:
                existing.is_stopping = existing.is_stopping or entry.is_stopping
        # A lagging list may drop a peer that still answers; it is forgotten once it is silent too.
        for name in set(self.peers) - names:
            if not self._has_responded_recently(self.peers[name], now_s):
                del self.peers[name]

    def add_seed_peer(self, member: Member, data_centre: DataCentre, now_s: float) -> None:
        """Take a peer that answered at an address from the settings, while there is no list."""
        if member.name != self.local_member.name and member.name not in self.peers:
            self.peers[member.name] = PeerState(
                name=member.name, address=member.address, data_centre=data_centre, seen_at_s=now_s
            )

    def note_response(self, member: Member, *, is_stopping: bool, now_s: float) -> bool:
        """Take a heartbeat answer; return whether the peer was not alive before."""
        peer = self.peers.get(member.name)
        if peer is None:
            return False
        was_alive = self._has_responded_recently(peer, now_s) and peer.member == member
        peer.member = member
        peer.seen_at_s = now_s
        peer.is_stopping = is_stopping
        return not was_alive

    def is_alive(self, member: Member, now_s: float) -> bool:
        """Return whether this very incarnation answered within the suspicion time."""
        if member.name == self.local_member.name:
            return member.incarnation == self.local_member.incarnation
        peer = self.peers.get(member.name)
        return (
            peer is not None and peer.member == member and self._has_responded_recently(peer, now_s)
        )

    def is_alive_and_not_stopping(self, member: Member, now_s: float) -> bool:
        """Return whether this very incarnation is alive and not leaving."""
        if member.name == self.local_member.name:
            return member.incarnation == self.local_member.incarnation and not self.is_stopping
        return self.is_alive(member, now_s) and not self.peers[member.name].is_stopping

    def find(self, incarnation: str, now_s: float) -> Member | None:
        """Return the live member with this incarnation, or None."""
        if incarnation == self.local_member.incarnation:
            return self.local_member
        for peer in self.peers.values():
            if peer.member and peer.member.incarnation == incarnation:
                return peer.member if self._has_responded_recently(peer, now_s) else None
        return None

    def local_alive(self, now_s: float) -> dict[str, Member]:
        """Return the data centre's live members, this one too, without those that leave."""
        alive = {} if self.is_stopping else {self.local_member.name: self.local_member}
        for peer in self.peers.values():
            is_local = peer.data_centre == self.data_centre
            if (
                is_local
                and peer.member
                and not peer.is_stopping
                and self._has_responded_recently(peer, now_s)
            ):
                alive[peer.name] = peer.member
        return alive

    def _has_responded_recently(self, peer: PeerState, now_s: float) -> bool:
        timeout_s = max(self.suspect_after_s, _MAX_MISSED_PROBES * peer.interval_s)
        return peer.member is not None and now_s - peer.seen_at_s < timeout_s

    def due_probes(self, partners: set[str], rates: ProbeRates, now_s: float) -> list[PeerState]:
        """Return the peers to probe now, and note that they are.

        Parameters
        ----------
        partners
            Names of the peers that share a ledger epoch with this instance.

        Notes
        -----
        Only a partner's death asks this instance for a takeover, so partners are probed often and
        the rest share a fixed rate: what probing costs does not grow with the fleet.
        """
        other_count = len(self.peers) - len(partners & self.peers.keys())
        other_interval_s = max(rates.partner_interval_s, other_count / rates.other_probes_per_s)
        due_peers = []
        for peer in self.peers.values():
            peer.interval_s = (
                rates.partner_interval_s if peer.name in partners else other_interval_s
            )
            if (
                peer.probed_at_s is None
                or now_s - peer.probed_at_s >= peer.interval_s - _PROBE_TOLERANCE_S
            ):
                peer.probed_at_s = now_s
                due_peers.append(peer)
        return due_peers
