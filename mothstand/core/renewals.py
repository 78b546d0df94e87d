"""Upper bound of what a dead process spent, so that its successor can give back the rest.

While a process reaches the store, it spends at most the base of a claim. While the store is
unreachable, the window opens gradually, and after `UNLOCK_S` the whole claim. So the time from its
last renewal to its death bounds what a process has spent, and the rest of its claims can be given
back. The successor at the same address knows that the process is dead. It must prove the maximum
time from the last renewal of the dead process to its own start.

Renewals contain the time of day, which may jump by seconds on some machines, so the clocks of
several machines must agree. The order of the records in the store shows what another machine's
clock can prove: a renewal that another instance wrote before the last one of the dead process, and
one that it wrote after the first one of the successor, enclose the time in question.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .loans import Peer

#: Seconds without contact with the store after which a process may spend its whole claims. Long
#: enough that the successor on a machine that was unavailable for 3.5 s can prove a shorter gap, at
#: three renewals per second: 0.35 s since the last one, and as much before and after for the
#: renewals of others. Each additional second is one more in which an outage is served only from the
#: windows.
UNLOCK_S = 4.5

#: Seconds without contact with the store after which windows begin to open. Renewals are written
#: three times per second, and a slow store answers within 0.5 s; a longer gap is an outage.
OPENING_STARTS_S = 1.0

#: Margin added to a measured time before it is compared with `UNLOCK_S`, as clocks drift apart.
_CLOCK_MARGIN_S = 0.2

#: Number of other machines whose clocks must agree. With this machine's own clock that makes
#: three; of six machines, fewer than half have a jump of the time of day at once.
_MIN_WITNESSES = 2

#: Renewals retained of each instance: half a minute of them.
_MAX_RENEWALS = 100


@dataclass(frozen=True, slots=True)
class Opening:
    """The part of its claims that a process may spend.

    Parameters
    ----------
    window_share
        Usable part of the difference between window and base.
    is_full
        Whether the whole claim may be spent, beyond the window.
    """

    window_share: float
    is_full: bool

    def limit_tokens(self, *, claimed: int, window: int, base: int) -> int:
        """Return the tokens of a claim that may be spent."""
        if self.is_full:
            return claimed
        # The window is not reduced when the claim is lowered below it. Otherwise it would open less
        # with each poll of a successor, until nothing above the base was left.
        return min(claimed, base + int((window - base) * self.window_share))


#: Opening while the process reaches the store.
CLOSED = Opening(0.0, is_full=False)


def opening_after(out_of_touch_s: float) -> Opening:
    """Return the opening after a time without contact with the store."""
    share = (out_of_touch_s - OPENING_STARTS_S) / (UNLOCK_S - OPENING_STARTS_S)
    return Opening(min(1.0, max(0.0, share)), is_full=out_of_touch_s >= UNLOCK_S)


@dataclass(frozen=True, slots=True)
class Renewal:
    """A process's record that it reached the store.

    Parameters
    ----------
    wall_s
        Time of day when it was written, in seconds since 1970.
    offset
        Its offset in the stream.
    """

    peer: Peer
    wall_s: float
    offset: int = -1


@dataclass(slots=True)
class RenewalLog:
    """The latest renewals of all instances, in the order of the stream."""

    _by_instance: dict[str, list[Renewal]] = field(default_factory=lambda: defaultdict(list))

    def add(self, renewal: Renewal) -> None:
        """Add a renewal; one that was added before changes nothing."""
        renewals = self._by_instance[renewal.peer.instance]
        if renewals and renewals[-1].offset < renewal.offset:
            renewals.append(renewal)
        elif all(other.offset != renewal.offset for other in renewals):
            renewals.append(renewal)
            renewals.sort(key=lambda r: r.offset)
        del renewals[:-_MAX_RENEWALS]

    def enclosing_s(self, instance: str, from_offset: int, to_offset: int) -> float | None:
        """Return the time between renewals of an instance just before and after two offsets."""
        renewals = self._by_instance.get(instance, [])
        before = [r for r in renewals if r.offset < from_offset]
        after = [r for r in renewals if r.offset > to_offset]
        return after[0].wall_s - before[-1].wall_s if before and after else None

    def max_gap_s(
        self, last: Renewal, start: Renewal, started_wall_s: float, start_took_s: float
    ) -> float | None:
        """Return a proven maximum of the time without the store before a death, or None.

        Parameters
        ----------
        last
            The last renewal of the process that died.
        start
            The first renewal of its successor.
        started_wall_s
            Time of day on the successor's machine when it started.
        start_took_s
            Time from then until the successor sent its first renewal, on its monotonic clock.

        Notes
        -----
        The renewals of another machine enclose the time from the last renewal to the successor's
        first one. That time includes the successor's start, which is subtracted.
        """
        if last.peer.address != start.peer.address:
            return None
        own_gap_s = started_wall_s - last.wall_s
        other_gaps_s = []
        for instance in self._by_instance:
            enclosing_s = self.enclosing_s(instance, last.offset, start.offset)
            if instance != last.peer.instance and enclosing_s is not None:
                other_gaps_s.append(enclosing_s - start_took_s)
        valid_gaps_s = sorted(t for t in other_gaps_s if t + _CLOCK_MARGIN_S >= 0.0)
        if own_gap_s + _CLOCK_MARGIN_S < 0.0 or len(valid_gaps_s) < _MIN_WITNESSES:
            return None
        return max(0.0, own_gap_s, valid_gaps_s[_MIN_WITNESSES - 1]) + _CLOCK_MARGIN_S
