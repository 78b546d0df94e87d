"""Membership of the fleet, and the choice of the instances that claim tokens for the others.

If each of 70 instances held a part of each budget, the parts would be smaller than a request, each
conditional append would compete with 70 others, and each instance would read what all others
write. So a few instances of each data centre claim, and the others borrow from them, with one call
within the data centre per request. Claimants are the machines with the most capacity; a rendezvous
hash decides between equal ones. So all instances make the same choice without communication, and
the death of a claimant replaces only that claimant.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight

if TYPE_CHECKING:
    from ..types import DataCentre, Shard
    from .loans import Peer

#: Minimum seconds between two announcements of an instance.
ANNOUNCE_INTERVAL_S = 4.0

#: Maximum announcements per second of the whole fleet; all instances read all of them.
MAX_ANNOUNCEMENTS_PER_S = 20.0

#: Number of missed announcements after which an instance expires. The store rejects some instances
#: for up to 12 s while it serves others; if these expired, claims would move. Borrowers skip an
#: unresponsive claimant at once, without waiting for this.
EXPIRE_AFTER_MISSED = 6

#: Claimants of a shard in each data centre. Two may be down at once. A small data centre has no
#: more instances than this, so all of them claim and no request needs another instance.
CLAIMANTS_PER_DATA_CENTRE = 3

#: Claimants of a data centre that are chosen whatever their capacity: one may be down.
_MIN_CLAIMANTS = 2

#: Further claimants have at least this part of the cores of the most capable one. A slow claimant
#: cannot write its claims as fast as its borrowers need the tokens that it holds.
_MIN_RELATIVE_CORES = 0.5


@dataclass(frozen=True, slots=True, order=True)
class Capacity:
    """Capacity of an instance's machine, by its settings; compared in the order of the fields.

    Parameters
    ----------
    cores
        Processor time that it gets, in cores of the usual speed.
    link_mbit_per_s
        Bandwidth of its own link; 0 where unknown.
    """

    cores: float = 1.0
    link_mbit_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Member:
    """An instance of the fleet, as it announced itself."""

    peer: Peer
    data_centre: DataCentre
    capacity: Capacity = Capacity()


@dataclass(slots=True)
class FleetView:
    """The fleet as one instance knows it from announcements.

    Parameters
    ----------
    local_member
        This instance.
    claimants_per_data_centre
        Number of claimants of a shard in each data centre; the same in the whole fleet.
    generation
        Number of changes to the members.
    """

    local_member: Member
    claimants_per_data_centre: int = CLAIMANTS_PER_DATA_CENTRE
    generation: int = 0
    _members: dict[str, Member] = field(default_factory=dict)
    _last_seen_s: dict[str, float] = field(default_factory=dict)
    _last_read_s: float | None = None
    _claimants: dict[Shard, list[Member]] = field(default_factory=dict)
    _designation_ranks: dict[str, int] = field(default_factory=dict)

    def apply_announcement(self, member: Member, now_s: float) -> None:
        """Add the instance that announced itself, or update it."""
        name = member.peer.instance
        self._last_seen_s[name] = now_s
        if self._members.get(name) != member:
            self._members[name] = member
            self._forget_choices()

    def expire_members(self, now_s: float) -> list[str]:
        """Note that announcements were read up to now; drop and return expired members.

        After a gap in reading, all members count as seen now. Otherwise the whole fleet would
        expire, and no instance would claim or lend.
        """
        if not self.is_current(now_s):
            self._last_seen_s = dict.fromkeys(self._last_seen_s, now_s)
        self._last_read_s = now_s
        expire_after_s = EXPIRE_AFTER_MISSED * self.announce_interval_s
        expired = [
            name for name, seen_s in self._last_seen_s.items() if now_s - seen_s > expire_after_s
        ]
        for name in expired:
            del self._members[name], self._last_seen_s[name]
            self._forget_choices()
        return expired

    def is_current(self, now_s: float) -> bool:
        """Return whether announcements were read recently enough to know the fleet as it is."""
        last_read_s = self._last_read_s
        return last_read_s is not None and now_s - last_read_s <= 2 * self.announce_interval_s

    def is_designated(self, subject: str, count: int) -> bool:
        """Return whether this instance is one of the `count` that are designated for a subject.

        All instances with the same view of the fleet designate the same ones.
        """
        if subject not in self._designation_ranks:
            own_weight = rendezvous_weight(subject, self.local_member.peer.instance)
            self._designation_ranks[subject] = sum(
                rendezvous_weight(subject, name) > own_weight for name in self._members
            )
        return self._designation_ranks[subject] < count

    def _forget_choices(self) -> None:
        self.generation += 1
        self._claimants.clear()
        self._designation_ranks.clear()

    @property
    def announce_interval_s(self) -> float:
        """Seconds between two announcements in a fleet of this size."""
        return max(ANNOUNCE_INTERVAL_S, self.size / MAX_ANNOUNCEMENTS_PER_S)

    @property
    def size(self) -> int:
        """Number of instances, including this one."""
        return len({*self._members, self.local_member.peer.instance})

    def has_announced(self, instance: str) -> bool:
        """Return whether an instance has announced itself."""
        return instance in self._members

    def other_members(self) -> list[Member]:
        """Return all other instances."""
        local_name = self.local_member.peer.instance
        return [member for name, member in self._members.items() if name != local_name]

    def claimants(self, shard: Shard) -> list[Member]:
        """Return the instances that claim the budgets of a shard, possibly with this one."""
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
        """Return the other claimants of a shard to ask for loans, in order.

        Claimants of this data centre come before remote ones. Within both groups the order differs
        between instances, so that they do not all ask the same claimant first.
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
    """Return the claimants of a shard: the machines with most capacity of each data centre.

    A claimant reads what all others write, and its append fails when another one comes first. A
    slow machine would write less often than its borrowers need, so their requests would find no
    tokens although the budget has enough.
    """
    by_data_centre: dict[DataCentre, list[Member]] = defaultdict(list)
    for member in members:
        by_data_centre[member.data_centre].append(member)
    chosen: list[Member] = []
    for candidates in by_data_centre.values():
        candidates.sort(key=lambda m: rendezvous_weight(f"shard {shard}", m.peer.instance))
        candidates.sort(key=lambda m: m.capacity, reverse=True)
        min_cores = candidates[0].capacity.cores * _MIN_RELATIVE_CORES
        chosen += [
            member
            for place, member in enumerate(candidates[:per_data_centre])
            if place < _MIN_CLAIMANTS or member.capacity.cores >= min_cores
        ]
    return chosen
