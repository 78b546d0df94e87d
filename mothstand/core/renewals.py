"""What a dead process surely did not spend, so that its successor can give it back.

A process spends of a claim no more than its window until it has been out of touch with the store
for `UNLOCK_S`; only then may it go past it, to serve through an outage. So a process that died
before that spent at most its windows, and the rest of its claims is free again. The successor at
the same address knows that it is dead. What it must show is that less than `UNLOCK_S` passed
from the last renewal of the dead process to its own start.

Renewals carry the time of day, which may jump by seconds on some machines. So the clocks of
several machines must agree. The order of the records in the store says what another machine's
clock can vouch for: a renewal that another instance wrote before the dead one's, and one that it
wrote after the successor's, enclose the time in question.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .loans import Peer

#: Seconds out of touch after which a process may spend its whole claims. Long enough for a
#: process to be restarted within it, with a renewal each second: 1 s since the last one, up to
#: 2 s until the restart, 0.7 s for the start, and 0.8 s between the renewals of others. Each
#: second more is a second in which an outage is served from the windows.
UNLOCK_S = 4.5

#: Kept between a measured time and `UNLOCK_S`, for clocks that run apart.
_MARGIN_S = 0.2

#: Other machines whose clocks must agree. With one's own that makes three; the time of day jumps
#: on fewer at once than half of six.
_LEAST_WITNESSES = 2

#: Renewals kept of each instance: half a minute of them.
_MOST_KEPT = 30


@dataclass(frozen=True, slots=True)
class Renewal:
    """A process's word that it was in touch with the store.

    Parameters
    ----------
    wall_s
        Time of day when it was written, in seconds since 1970.
    offset
        Where it stands in the stream.
    """

    peer: Peer
    wall_s: float
    offset: int = -1


@dataclass(slots=True)
class RenewalLog:
    """The latest renewals of all instances, in the order of the stream."""

    _by_instance: dict[str, list[Renewal]] = field(default_factory=lambda: defaultdict(list))

    def note(self, renewal: Renewal) -> None:
        """Take a renewal; one that is known already changes nothing."""
        kept = self._by_instance[renewal.peer.instance]
        if any(other.offset == renewal.offset for other in kept):
            return
        kept.append(renewal)
        kept.sort(key=lambda r: r.offset)
        del kept[:-_MOST_KEPT]

    def last(self, instance: str) -> Renewal | None:
        """Return the latest renewal of an instance."""
        kept = self._by_instance.get(instance)
        return kept[-1] if kept else None

    def enclosing_s(self, instance: str, from_offset: int, to_offset: int) -> float | None:
        """Return the time between renewals of an instance just before and after two offsets."""
        kept = self._by_instance.get(instance, [])
        before = [r for r in kept if r.offset < from_offset]
        after = [r for r in kept if r.offset > to_offset]
        return after[0].wall_s - before[-1].wall_s if before and after else None

    def proves_locked(self, last: Renewal, start: Renewal, started_wall_s: float) -> bool:
        """Return whether a process surely never spent past its windows.

        Parameters
        ----------
        last
            The last renewal of the process that died.
        start
            The first renewal of its successor.
        started_wall_s
            Time of day on the successor's machine when it started.
        """
        if last.peer.address != start.peer.address:
            return False
        times = [started_wall_s - last.wall_s]
        for instance in self._by_instance:
            enclosing_s = self.enclosing_s(instance, last.offset, start.offset)
            if instance != last.peer.instance and enclosing_s is not None:
                times.append(enclosing_s)
        short = [0.0 <= t + _MARGIN_S <= UNLOCK_S for t in times]
        return short[0] and sum(short[1:]) >= _LEAST_WITNESSES
