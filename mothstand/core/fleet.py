"""Who belongs to the fleet, and which few of them claim from the store for all.

The load that this answers: if each of 70 instances held a part of each budget, the parts would be
smaller than a request, each claim would race 70 others for its condition, and each instance would
read what all others write. So in each data centre a few instances claim, and the rest borrow from
them, one call within the data centre for a request. Claimants are the most capable machines, of
equal ones those that a rendezvous hash names, so all instances agree without a word, and a death
moves no more than its own place.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight

if TYPE_CHECKING:
    from ..types import DataCentre, Shard
    from .loans import Peer

#: Least seconds between two announcements of an instance.
ANNOUNCE_INTERVAL_S = 4.0

#: Announcements of the whole fleet a second; all instances read all of them.
MAX_ANNOUNCEMENTS_PER_S = 20.0

#: An instance that has missed so many announcements has gone. The store turns some instances away
#: for up to 12 s while it serves the others; were they taken for gone, claims would move. A
#: claimant that is merely silent is passed over by its borrowers at once.
EXPIRE_AFTER_MISSED = 6

#: The claimants of a shard in each data centre. Two may be down at once; and a small data centre
#: has no more instances than this, so that all claim and no request needs another instance.
CLAIMANTS_PER_DATA_CENTRE = 3


@dataclass(frozen=True, slots=True, order=True)
class Capacity:
    """What an instance's machine can do, by its settings; compared in the order of the fields.

    Parameters
    ----------
    cores
        Processor time that it gets, in cores of the usual speed.
    link_mbit_per_s
        Of its own link; 0 where that is not known.
    """

    cores: float = 1.0
    link_mbit_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Member:
    """One instance of the fleet, by its own announcement."""

    peer: Peer
    data_centre: DataCentre
    capacity: Capacity = Capacity()


@dataclass(slots=True)
class FleetView:
    """The fleet as this instance knows it from announcements.

    Parameters
    ----------
    me
        This instance.
    claimants_per_data_centre
        How many claim in each data centre, the same in the whole fleet.
    """

    local_member: Member
    claimants_per_data_centre: int = CLAIMANTS_PER_DATA_CENTRE
    _members: dict[str, Member] = field(default_factory=dict)
    _last_seen_s: dict[str, float] = field(default_factory=dict)
    _last_read_s: float | None = None
    _claimants: dict[Shard, list[Member]] = field(default_factory=dict)

    def apply_announcement(self, member: Member, now_s: float) -> None:
        """Take an announcement."""
        name = member.peer.instance
        self._last_seen_s[name] = now_s
        if self._members.get(name) != member:
            self._members[name] = member
            self._claimants.clear()

    def expire_members(self, now_s: float) -> list[str]:
        """Note that announcements were read up to now; drop and return who is silent for long.

        Notes
        -----
        While announcements cannot be read nobody's silence means anything. Without a new start
        of their times after such a gap, the whole fleet would count as gone, and nobody would
        claim or lend.
        """
        if self._last_read_s is None or now_s - self._last_read_s > 2 * self.announce_interval_s:
            self._last_seen_s = dict.fromkeys(self._last_seen_s, now_s)
        self._last_read_s = now_s
        expire_after_s = EXPIRE_AFTER_MISSED * self.announce_interval_s
        expired = [
            name for name, seen_s in self._last_seen_s.items() if now_s - seen_s > expire_after_s
        ]
        for name in expired:
            del self._members[name], self._last_seen_s[name]
            self._claimants.clear()
        return expired

    @property
    def announce_interval_s(self) -> float:
        """Seconds between two announcements in a fleet of this size."""
        return max(ANNOUNCE_INTERVAL_S, self.size / MAX_ANNOUNCEMENTS_PER_S)

    @property
    def size(self) -> int:
        """How many instances there are, this one included."""
        return len({*self._members, self.local_member.peer.instance})

    def has_announced(self, instance: str) -> bool:
        """Return whether an instance has announced itself."""
        return instance in self._members

    def other_members(self) -> list[Member]:
        """Return all other instances."""
        local_name = self.local_member.peer.instance
        return [member for name, member in self._members.items() if name != local_name]

    def claimants(self, shard: Shard) -> list[Member]:
        """Return the instances that claim the budgets of a shard; this one may be among them."""
        if shard not in self._claimants:
            all_members = [*self.other_members(), self.local_member]
            self._claimants[shard] = _choose_claimants(
                all_members, shard, self.claimants_per_data_centre
            )
        return self._claimants[shard]

    def is_claimant(self, shard: Shard) -> bool:
        """Return whether this instance claims the budgets of a shard."""
        return any(
            m.peer.instance == self.local_member.peer.instance for m in self.claimants(shard)
        )

    def lenders(self, shard: Shard) -> list[Peer]:
        """Return whom to ask for loans: near ones first, in an order of this instance's own.

        Each instance has its own order, or all would ask the same claimant first.
        """
        local_name = self.local_member.peer.instance
        others = [m for m in self.claimants(shard) if m.peer.instance != local_name]
        others.sort(
            key=lambda m: (self._is_remote(m), rendezvous_weight(local_name, m.peer.instance))
        )
        return [member.peer for member in others]

    def _is_remote(self, member: Member) -> bool:
        return member.data_centre != self.local_member.data_centre


def _choose_claimants(members: list[Member], shard: Shard, per_data_centre: int) -> list[Member]:
    """Return the claimants of a shard: of each data centre the most capable machines.

    A claimant reads what all others write, and its append fails whenever another one came first.
    A slow machine writes less often than borrowers wait for, and their requests find no tokens
    within reach though the budget has plenty.
    """
    by_data_centre: dict[DataCentre, list[Member]] = defaultdict(list)
    for member in members:
        by_data_centre[member.data_centre].append(member)
    chosen: list[Member] = []
    for candidates in by_data_centre.values():
        candidates.sort(key=lambda m: rendezvous_weight(f"shard {shard}", m.peer.instance))
        candidates.sort(key=lambda m: m.capacity, reverse=True)
        chosen += candidates[:per_data_centre]
    return chosen
