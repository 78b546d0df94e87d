"""Choice of the instances that keep copies of a record which must outlive the one that wrote it.

Whoever looks for a record knows its key only. A rendezvous hash designates some instances in a few
data centres; one that writes a record, and one that looks for it, each add the next ones of their
own data centre, where a network partition does not separate them.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight, shard_index

if TYPE_CHECKING:
    from ..types import DataCentre
    from .fleet import FleetView, Member

#: Copies of each record; two instances may be down at once.
_COPIES = 3

#: Groups of keys with the same holders. They bound the peers that an instance is connected to,
#: whatever the size of the fleet.
_GROUPS = 64


@dataclass(frozen=True, slots=True)
class Holders:
    """Holders of a group of keys, without this instance.

    Parameters
    ----------
    to_write, to_ask
        Instances that get a copy, and those to ask; those of this data centre first.
    """

    to_write: tuple[Member, ...]
    to_ask: tuple[Member, ...]


@dataclass(slots=True)
class RecordHolders:
    """The holders of each key, as one instance sees the fleet."""

    fleet: FleetView
    copies: int = _COPIES
    _generation: int = -1
    _chosen: dict[int, Holders] = field(default_factory=dict)

    def of(self, key: bytes) -> Holders:
        """Return the holders of a key."""
        if self._generation != self.fleet.generation:
            self._generation = self.fleet.generation
            self._chosen.clear()
        group = shard_index(key.hex(), _GROUPS)
        if group not in self._chosen:
            self._chosen[group] = self._choose(f"records {group}")
        return self._chosen[group]

    def _choose(self, subject: str) -> Holders:
        local = self.fleet.local_member
        ranked: dict[DataCentre, list[Member]] = defaultdict(list)
        for member in sorted(
            [*self.fleet.other_members(), local],
            key=lambda m: rendezvous_weight(subject, m.peer.instance),
        ):
            ranked[member.data_centre].append(member)
        data_centres = sorted(ranked, key=lambda name: rendezvous_weight(subject, name))
        chosen = data_centres[: self.copies]
        in_each = -(-self.copies // len(chosen))
        others = [m for m in ranked[local.data_centre] if m is not local]
        near_to_ask = [m for m in ranked[local.data_centre][: in_each + 1] if m is not local]
        remote = [m for name in chosen if name != local.data_centre for m in ranked[name][:in_each]]
        return Holders((*others[:in_each], *remote), (*near_to_ask, *remote))
