"""Which part of the fleet's burst of retries an instance may use.

The load that this answers: instances that start, end, and lose sight of each other while all of
them retry as often as they may. The parts of those that use one must never add up to more than the
burst, also within a window, whatever each of them believes; and nobody is asked before a retry.

Instances read each other's announcements in the order of one stream. Each uses one part in as many
as it has read to be announced, and only while

- all that may use a part have read its own announcement, and the window is over in which they used
  the larger parts of before: `SharerNotice.read_to` says what was read;
- a window has passed since its start, if an earlier start of it may have used its part;
- its lease lasts, which its latest announcement began.

A name leaves the fleet by a record of the same stream, once nobody can use its part any more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Intervals between announcements that a lease lasts.
_LEASE_ANNOUNCEMENTS = 4.0


@dataclass(frozen=True, slots=True)
class SharerNotice:
    """What an announcement says about its writer's part of the burst.

    Parameters
    ----------
    read_to
        Offset before which its writer had read all announcements.
    lease_s
        For how long after it its writer may use its part.
    may_have_used
        Whether its writer may have used its part before it read the last of these; so all that use
        a part know its name.
    """

    read_to: int
    lease_s: float
    may_have_used: bool


@dataclass(slots=True)
class _Sharer:
    """Another instance, as it was seen last.

    Parameters
    ----------
    counts_me_from_s
        From when on no window has a larger part that it used before it knew of this instance; None
        before it has read this instance's announcement.
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
        This instance, and this start of it.
    span_s
        Window of the retry budget, and the time that a retry may need to arrive.
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
        """Take an announcement."""
        if name == self.name:
            self._apply_own_announcement(incarnation, notice, offset)
            return
        sharer = self._other_sharers.setdefault(name, _Sharer(now_s, notice))
        sharer.last_seen_s = now_s
        sharer.notice = notice
        self._update_counted_from(sharer, now_s)

    def retire(self, name: str) -> None:
        """Take the record by which a name leaves the fleet."""
        self._other_sharers.pop(name, None)
        if name == self.name:
            # The others no longer count this instance; it begins anew with its next announcement.
            self._own_offset = None
            self._is_counted_by_all = False
            for sharer in self._other_sharers.values():
                sharer.counts_local_from_s = None

    def keep_only(self, names: set[str]) -> None:
        """Take a listing of all names in place of what was read one by one."""
        for name in {*self._other_sharers, self.name} - names:
            self.retire(name)

    def note_read(self, read_to: int, now_s: float, announce_interval_s: float) -> None:
        """Note that all records before an offset have been read.

        Notes
        -----
        After a gap in reading, others may have been unable to announce themselves as well.
        """
        if now_s - self._last_read_s > 2 * announce_interval_s:
            for sharer in self._other_sharers.values():
                sharer.last_seen_s = now_s
        self._read_to = read_to
        self._last_read_s = now_s

    def next_notice(self, announce_interval_s: float) -> SharerNotice:
        """Return what the next announcement says."""
        return SharerNotice(
            self._read_to, _LEASE_ANNOUNCEMENTS * announce_interval_s, self._is_counted_by_all
        )

    def must_append_after_read(self, now_s: float) -> bool:
        """Return whether the next announcement must come right after the last record read.

        With its lease this instance may have lost its place, by a record that it has not read yet.
        """
        return self._own_offset is not None and now_s >= self._leased_until_s

    def note_announced(self, notice: SharerNotice, began_s: float) -> None:
        """Note that the store has taken an announcement, whose append began then."""
        self._leased_until_s = began_s + notice.lease_s

    def expired_names(self, now_s: float) -> list[str]:
        """Return the names whose leases, and the windows after these, are over."""
        return [
            name
            for name, sharer in self._other_sharers.items()
            if now_s - sharer.last_seen_s > sharer.notice.lease_s + self.span_s
        ]

    def sharers(self, now_s: float) -> int:
        """Return in how many parts the burst is divided, 0 while none may be used here."""
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
            # Whoever knew the earlier start counts this one; its retries may still be on their way.
            self._is_counted_by_all = self._is_counted_by_all or notice.may_have_used
            self._wait_until_s = self.started_s + self.span_s

    def _update_counted_from(self, sharer: _Sharer, now_s: float) -> None:
        has_read = self._own_offset is not None and sharer.notice.read_to > self._own_offset
        if has_read and sharer.counts_local_from_s is None:
            # What has no part yet has used none that was larger.
            wait_s = self.span_s if sharer.notice.may_have_used else 0.0
            sharer.counts_local_from_s = now_s + wait_s

    def _update_counted_by_all(self, now_s: float) -> None:
        if self._is_counted_by_all or self._own_offset is None:
            return
        self._is_counted_by_all = all(
            sharer.counts_local_from_s is not None and sharer.counts_local_from_s <= now_s
            for sharer in self._other_sharers.values()
        )
