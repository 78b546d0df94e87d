"""What a dead process surely did not spend, so that its successor can give it back.

A process spends of a claim no more than its window until it has been out of touch with the store
for `UNLOCK_S`; only then may it go past it, to serve through an outage. So a process that died
before that spent at most its windows, and the rest of its claims is free again. The successor at
the same address knows that it is dead. What it must show is that the time from the last record
of the dead process to its own start is below `UNLOCK_S`.

Each record carries two clocks for that: the time of day, and the numbers of the upstreams'
heartbeats. The time of day is exact but may jump by seconds. Heartbeats come about once a second
from many machines and are numbered also while the store is away, but are coarse, and some stop
when their upstream does. Both must agree; neither alone is believed.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .loans import Peer

#: Seconds out of touch after which a process may spend its whole claims. Long enough for a
#: process to be restarted within it, with a record each second: 1 s since the last one, up to 2 s
#: until the restart, 0.7 s for the start. Each second more is a second of windows in an outage.
UNLOCK_S = 4.5

#: The longest time by the time of day that counts as below `UNLOCK_S`; the clocks of a fleet
#: differ by parts of a second.
_MOST_WALL_S = 4.0

#: The least: a start cannot come before the last record, but for small corrections of the clock.
_LEAST_WALL_S = -0.2

#: Median of the heartbeats seen since, at most. With one each 1.2 s, three mean less than 4.8 s
#: since the last record, and at least 0.5 s of that passed while the successor was starting.
_MOST_HEARTBEATS = 3

#: Upstreams that must be known to both; fewer could all have stopped.
_LEAST_UPSTREAMS = 3


@dataclass(frozen=True, slots=True)
class Renewal:
    """A process's word that it was in touch with the store.

    Parameters
    ----------
    wall_s
        Time of day when it was written, in seconds since 1970.
    heartbeats
        Number of the latest heartbeat of upstreams that it knew of, by their ids.
    """

    peer: Peer
    wall_s: float
    heartbeats: Mapping[str, int]


def proves_locked(last: Renewal, start: Renewal) -> bool:
    """Return whether a process surely never spent past its windows.

    Parameters
    ----------
    last
        The last record of the process that died.
    start
        Of its successor, as of its start, and the heartbeats that it read first.
    """
    if last.peer.address != start.peer.address:
        return False
    elapsed_s = start.wall_s - last.wall_s
    if not _LEAST_WALL_S <= elapsed_s <= _MOST_WALL_S:
        return False
    seen = [
        start.heartbeats[upstream] - number
        for upstream, number in last.heartbeats.items()
        if upstream in start.heartbeats
    ]
    if len(seen) < _LEAST_UPSTREAMS:
        return False
    return statistics.median_high(seen) <= _MOST_HEARTBEATS
