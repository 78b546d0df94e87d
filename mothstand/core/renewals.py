"""What a dead process surely did not spend, so that its successor can give it back.

A process in touch with the store spends no more of a claim than its base. While it is out of touch
its window opens bit by bit, and after `UNLOCK_S` all of the claim. So what a process can have
spent at its death is bounded by the time from its last renewal to its death, and the rest of its
claims is free again. The successor at the same address knows that it is dead. What it must show is
how much time passed, at most, from the last renewal of the dead process to its own start.

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

#: Seconds out of touch after which a process may spend its whole claims. Long enough for a machine
#: that is dark for 3.5 s, with three renewals a second: 0.35 s since the last one, and as much
#: before and after for the renewals of others. Each second more is a second in which an outage is
#: served from the windows.
UNLOCK_S = 4.5

#: Seconds out of touch from which on windows open. Renewals come three times in a second, and a
#: slow store answers within half of one; a silence that is longer is an outage.
OPENING_STARTS_S = 1.0

#: Kept between a measured time and `UNLOCK_S`, for clocks that run apart.
_CLOCK_MARGIN_S = 0.2

#: Other machines whose clocks must agree. With one's own that makes three; the time of day jumps
#: on fewer at once than half of six.
_MIN_WITNESSES = 2

#: Renewals kept of each instance: half a minute of them.
_MAX_RENEWALS = 100


@dataclass(frozen=True, slots=True)
class Opening:
    """How much of its claims a process may spend.

    Parameters
    ----------
    window_share
        Part of what the window exceeds the base by.
    all_claimed
        Whether past the window, too.
    """

    window_share: float
    is_full: bool

    def limit_tokens(self, *, claimed: int, window: int, base: int) -> int:
        """Return what may be spent of a claim."""
        if self.is_full:
            return claimed
        # The window stays as it was written when the claim is lowered below it: cut to the claim,
        # it would open less at each look of a successor, until nothing past the base was left.
        return min(claimed, base + int((window - base) * self.window_share))


#: In touch with the store.
CLOSED = Opening(0.0, is_full=False)


def opening_after(out_of_touch_s: float) -> Opening:
    """Return what may be spent after a time out of touch with the store."""
    share = (out_of_touch_s - OPENING_STARTS_S) / (UNLOCK_S - OPENING_STARTS_S)
    return Opening(min(1.0, max(0.0, share)), is_full=out_of_touch_s >= UNLOCK_S)


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

    def add(self, renewal: Renewal) -> None:
        """Take a renewal; one that is known already changes nothing."""
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
        """Return the time that a process was out of touch at its death at most, if that is known.

        Parameters
        ----------
        last
            The last renewal of the process that died.
        start
            The first renewal of its successor.
        started_wall_s
            Time of day on the successor's machine when it started.
        start_took_s
            From then until the successor sent its first renewal, on its steady clock.

        Notes
        -----
        The renewals of another machine enclose the time from the last renewal to the successor's
        first one, and the successor's own start lies within it, so that much is taken off.
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
