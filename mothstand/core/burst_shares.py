"""The part of the fleet's retry burst that one instance may use.

Instances start, stop and lose contact while all of them retry at their limits. The parts in use
must never add up to more than the burst within any window, whatever each instance's view of the
fleet, and a retry must not wait for a call to another instance.

Instances read each other's announcements in the order of one stream. Each divides the burst by the
number of announced instances, and uses its part only while

- all instances that may use a part have read its announcement (`SharerNotice.read_to`), and the
  window has ended in which they used their earlier, larger parts;
- a window has passed since its start, if an earlier start of it has possibly used its part;
- its lease, which began with its latest announcement, has not expired.

A record of the same stream removes a name once no process can use its part any more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Length of a lease, in intervals between announcements.
_LEASE_ANNOUNCEMENTS = 4.0


@dataclass(frozen=True, slots=True)
class SharerNotice:
    """The fields of an announcement that concern its writer's part of the burst.

    Parameters
    ----------
    read_to
        Offset before which its writer had read all announcements.
    lease_s
        Time after the announcement during which its writer may use its part.
    may_have_used
        Whether its writer possibly used its part before it had read up to `read_to`. If so, all
        instances that use a part have read its name.
    """

    read_to: int
    lease_s: float
    may_have_used: bool


@dataclass(slots=True)
class _Sharer:
    """Another instance, by its latest announcement.

    Parameters
    ----------
    counts_local_from_s
        Time from which no window contains a larger part that it used before it counted this
        instance; None until it has read this instance's announcement.
    """

    last_seen_s: float
    notice: SharerNotice
    counts_local_from_s: float | None = None


@dataclass(slots=True)
class BurstShares:
    """The instances that share the burst, in the order of their announcements.

    Parameters
    ----------
    name, incarnation
        Name of this instance, and id of this start of it.
    span_s
        Window of the retry budget plus the longest delivery time of a retry.
    started_s
        When this process began.
    """

    name: str
    incarnation: str
    span_s: float
    started_s: float
    _other_sharers: dict[str, _Sharer] = field(default_factory=dict)
    _own_offset: int | None = None
    _read_to: int = 0
    _last_read_s: float = -math.inf
    _leased_until_s: float = -math.inf
    _wait_until_s: float = -math.inf
    _is_counted_by_all: bool = False

    def apply_announcement(
        self, name: str, incarnation: str, notice: SharerNotice, offset: int, now_s: float
    ) -> None:
        """Apply an announcement of any instance, this one included."""
        if name == self.name:
            self._apply_own_announcement(incarnation, notice, offset)
            return
        sharer = self._other_sharers.setdefault(name, _Sharer(now_s, notice))
        sharer.last_seen_s = now_s
        sharer.notice = notice
        self._update_counted_from(sharer, now_s)

    def retire(self, name: str) -> None:
        """Apply the record that removes a name from the fleet."""
        self._other_sharers.pop(name, None)
        if name == self.name:
            # The other instances no longer count this one; its next announcement counts as its
            # first.
            self._own_offset = None
            self._is_counted_by_all = False
            for sharer in self._other_sharers.values():
                sharer.counts_local_from_s = None

    def keep_only(self, names: set[str]) -> None:
        """Retire all names that are missing from a complete listing."""
        for name in {*self._other_sharers, self.name} - names:
            self.retire(name)

    def note_read(self, read_to: int, now_s: float, announce_interval_s: float) -> None:
        """Note that all records before an offset have been read.

        After a gap in reading, all names count as seen now: other instances have possibly been
        unable to announce themselves during the gap.
        """
        if now_s - self._last_read_s > 2 * announce_interval_s:
            for sharer in self._other_sharers.values():
                sharer.last_seen_s = now_s
        self._read_to = read_to
        self._last_read_s = now_s

    def next_notice(self, announce_interval_s: float) -> SharerNotice:
        """Return the notice for the next announcement."""
        return SharerNotice(
            self._read_to, _LEASE_ANNOUNCEMENTS * announce_interval_s, self._is_counted_by_all
        )

    def must_append_after_read(self, now_s: float) -> bool:
        """Return whether the next announcement must directly follow the last record read.

        Once the lease has expired, an unread record has possibly removed this instance's name.
        """
        return self._own_offset is not None and now_s >= self._leased_until_s

    def note_announced(self, notice: SharerNotice, began_s: float) -> None:
        """Note that the store accepted an announcement whose append began at `began_s`."""
        self._leased_until_s = began_s + notice.lease_s

    def expired_names(self, now_s: float) -> list[str]:
        """Return the names whose lease and the window after it have ended."""
        return [
            name
            for name, sharer in self._other_sharers.items()
            if now_s - sharer.last_seen_s > sharer.notice.lease_s + self.span_s
        ]

    def sharers(self, now_s: float) -> int:
        """Return the number of parts of the burst, or 0 while this instance may use none."""
        self._update_counted_by_all(now_s)
        if (
            not self._is_counted_by_all
            or now_s < self._wait_until_s
            or now_s >= self._leased_until_s
        ):
            return 0
        return 1 + len(self._other_sharers)

    def _apply_own_announcement(self, incarnation: str, notice: SharerNotice, offset: int) -> None:
        if incarnation == self.incarnation:
            if self._own_offset is None:
                self._own_offset = offset
        elif self._own_offset is None:
            # Instances that counted the earlier start count this one too. Retries of the earlier
            # start are possibly still in flight.
            self._is_counted_by_all = self._is_counted_by_all or notice.may_have_used
            self._wait_until_s = self.started_s + self.span_s

    def _update_counted_from(self, sharer: _Sharer, now_s: float) -> None:
        has_read = self._own_offset is not None and sharer.notice.read_to > self._own_offset
        if has_read and sharer.counts_local_from_s is None:
            # A sharer that has not used a part yet has used no larger one.
            wait_s = self.span_s if sharer.notice.may_have_used else 0.0
            sharer.counts_local_from_s = now_s + wait_s

    def _update_counted_by_all(self, now_s: float) -> None:
        if self._is_counted_by_all or self._own_offset is None:
            return
        self._is_counted_by_all = all(
            sharer.counts_local_from_s is not None and sharer.counts_local_from_s <= now_s
            for sharer in self._other_sharers.values()
        )
