"""Announces this instance in the store and follows the announcements of other instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from ..core.burst_shares import BurstShares, SharerNotice
from ..core.fleet import Capacity, FleetView, Member
from ..core.ingress import BusyInstances
from ..core.loans import Peer
from ..core.pace import UpstreamPaces
from ..core.rate_limits import LimitNotice, RateLimits
from ..core.upstreams import UpstreamKey
from ..events import Event, emit
from ..types import DataCentre
from .bounded import Offset, Quantity, Seconds, UnixMilliseconds
from .feeds import KeyedFeed
from .store import KeyedRecord, Store, StoreConflictError, Stream, StreamPage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.retry_budget import RetryBudgetSettings
    from ..log.health import PlatformHealth

#: The fleet's own topic for announcements.
MEMBERS_STREAM = Stream("keyed.mothstand-instances")

#: Seconds from the first poll to the second. All instances of a new fleet start within 0.3 s, and
#: until they know each other, each would claim as if it were alone.
_SECOND_POLL_S = 0.6


#: Capacity for announcements without these fields.
_UNKNOWN_CAPACITY = Capacity()

#: Notice for announcements of an earlier version, which uses a share of the burst while it runs.
_UNKNOWN_NOTICE = SharerNotice(read_to=-1, lease_s=60.0, may_have_used=True)


class _LimitValue(BaseModel):
    """A rate limit that an upstream names, or none if it named one before."""

    upstream: str
    born_ms: UnixMilliseconds = 0
    rate_per_s: Quantity | None = None
    age_s: Quantity


class _MemberValue(BaseModel):
    """Value of an announcement; the record's key is the instance's name."""

    incarnation: str
    address: str
    data_centre: str
    cores: Quantity = _UNKNOWN_CAPACITY.cores
    link_mbit_per_s: Quantity = _UNKNOWN_CAPACITY.link_mbit_per_s
    read_to: Offset = _UNKNOWN_NOTICE.read_to
    lease_s: Seconds = _UNKNOWN_NOTICE.lease_s
    may_have_used: bool = _UNKNOWN_NOTICE.may_have_used
    slow_upstreams: tuple[str, ...] = ()
    rate_limits: tuple[_LimitValue, ...] = ()
    busy: bool = False


def encode_member(
    member: Member,
    notice: SharerNotice = _UNKNOWN_NOTICE,
    slow_upstreams: tuple[str, ...] = (),
    limit_notices: tuple[LimitNotice, ...] = (),
    *,
    is_busy: bool = False,
) -> KeyedRecord:
    """Return an announcement as a record."""
    value = _MemberValue(
        incarnation=member.peer.incarnation,
        address=member.peer.address,
        data_centre=member.data_centre,
        cores=member.capacity.cores,
        link_mbit_per_s=member.capacity.link_mbit_per_s,
        read_to=notice.read_to,
        lease_s=round(notice.lease_s, 1),
        may_have_used=notice.may_have_used,
        slow_upstreams=slow_upstreams,
        rate_limits=tuple(
            _LimitValue(
                upstream=notice.upstream.upstream_id,
                born_ms=notice.upstream.born_ms,
                rate_per_s=notice.rate_per_s,
                age_s=round(notice.age_s, 3),
            )
            for notice in limit_notices
        ),
        busy=is_busy,
    )
    unsaid = None if is_busy else {"busy"}
    return KeyedRecord(member.peer.instance, value.model_dump_json(exclude=unsaid).encode())


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of an instance: its member data, its notice as a sharer, and what it measured.

    Parameters
    ----------
    slow_upstreams
        Ids of upstreams that it has measured as slower than the others of their service.
    limit_notices
        Rate limits of upstreams that it has learnt from answers.
    is_busy
        Whether it redirects callers to other instances.
    """

    member: Member
    notice: SharerNotice
    slow_upstreams: tuple[str, ...] = ()
    limit_notices: tuple[LimitNotice, ...] = ()
    is_busy: bool = False


def decode_member(record: KeyedRecord) -> Announcement:
    """Return the announcement of a record.

    Raises
    ------
    ValueError
        If the record is invalid; the message contains its key.
    """
    try:
        value = _MemberValue.model_validate_json(record.value or b"")
    except ValidationError as error:
        raise ValueError(f"{record.key!r}: {error.error_count()} faults") from error
    peer = Peer(record.key, value.incarnation, value.address)
    capacity = Capacity(value.cores, value.link_mbit_per_s)
    member = Member(peer, DataCentre(value.data_centre), capacity)
    notice = SharerNotice(value.read_to, value.lease_s, value.may_have_used)
    limit_notices = tuple(
        LimitNotice(UpstreamKey(limit.upstream, limit.born_ms), limit.rate_per_s, limit.age_s)
        for limit in value.rate_limits
    )
    return Announcement(member, notice, value.slow_upstreams, limit_notices, value.busy)


class MemberFeed(KeyedFeed):
    """Feed of the instances in the fleet.

    Parameters
    ----------
    on_change
        Called when the number of instances changes, and when the fleet is first known.
    started_s
        Start of this process on the monotonic clock.
    paces
        Receives the slow upstreams that other instances announce, and names those to announce.
    is_busy
        Returns whether this instance redirects callers to others.
    """

    def __init__(
        self,
        store: Store,
        local_member: Member,
        clock: Clock,
        health: PlatformHealth,
        on_change: Callable[[], None],
        retries: RetryBudgetSettings,
        *,
        started_s: float,
        paces: UpstreamPaces | None = None,
        is_busy: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(store, MEMBERS_STREAM, clock, health)
        self._paces = UpstreamPaces() if paces is None else paces
        self.fleet = FleetView(local_member)
        self.limits = RateLimits(self.fleet)
        self.busy_instances = BusyInstances()
        self._is_busy = is_busy
        self.burst_shares = BurstShares(
            local_member.peer.instance,
            local_member.peer.incarnation,
            span_s=retries.span_s,
            started_s=started_s,
        )
        self._logged_sharers = 0
        self._on_change = on_change
        self._poll_count = 0
        self._is_settled = False

    @property
    def is_settled(self) -> bool:
        """Whether enough announcements have been read to determine the claimants."""
        return self._is_settled

    @property
    def pause_s(self) -> float:
        """Seconds between two reads."""
        return self.fleet.announce_interval_s if self._poll_count > 1 else _SECOND_POLL_S

    @property
    def wait_s(self) -> float:
        """Seconds for which the store holds a read until there is a record."""
        return 0.0

    async def poll(self) -> None:
        """Read once, then announce this instance.

        The order matters: a restarted instance knows from the announcement of its earlier start
        that the whole fleet is listed, and announcing itself replaces that announcement.
        """
        await super().poll()
        await self._announce()
        self._log_sharers(self._clock.monotonic_s())
        self._poll_count += 1
        if self._poll_count > 1 and not self._is_settled:
            self._mark_settled()

    async def _announce(self) -> None:
        """Announce this instance, and delete the announcements of expired instances."""
        now_s = self._clock.monotonic_s()
        read_to = self._next_offset or 0
        self.burst_shares.note_read(read_to, now_s, self.fleet.announce_interval_s)
        notice = self.burst_shares.next_notice(self.fleet.announce_interval_s)
        own_record = encode_member(
            self.fleet.local_member,
            notice,
            self._paces.own_slow_ids,
            self.limits.notices(now_s),
            is_busy=self._is_busy(),
        )
        expired_records = tuple(
            KeyedRecord(name, None) for name in self.burst_shares.expired_names(now_s)
        )
        is_ordered = bool(expired_records) or self.burst_shares.must_append_after_read(now_s)
        try:
            at_offset = read_to if is_ordered else None
            await self._store.append(
                self._stream, (own_record, *expired_records), at_offset=at_offset
            )
        except StoreConflictError:
            # Another instance appended in the meantime. Deletions, and the notice if it must be
            # ordered, wait for the next announcement.
            await self._store.append(self._stream, (own_record,))
            if self.burst_shares.must_append_after_read(now_s):
                return
        self.burst_shares.note_announced(notice, now_s)

    def _log_sharers(self, now_s: float) -> None:
        sharers = self.burst_shares.sharers(now_s)
        if sharers != self._logged_sharers:
            self._logged_sharers = sharers
            emit(Event.BURST_SHARED, sharers=sharers, fleet=self.fleet.size)

    def apply_listing(self, listing: StreamPage) -> None:
        """Apply the newest announcement of each instance."""
        records = listing.records
        local_peer = self.fleet.local_member.peer
        self.burst_shares.keep_only({record.key for record in records if record.value is not None})
        self.apply(records)
        if self._poll_count == 0 and any(r.key == local_peer.instance for r in records):
            # An earlier start of this instance announced itself, so the whole fleet is listed.
            self._mark_settled()

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later announcements, in order."""
        now_s = self._clock.monotonic_s()
        size_before = self.fleet.size
        for record in records:
            announcement = self._apply_record(record, now_s)
            if record.value is None:
                self.burst_shares.retire(record.key)
            if announcement is not None:
                incarnation = announcement.member.peer.incarnation
                notice = announcement.notice
                self.burst_shares.apply_announcement(
                    record.key, incarnation, notice, record.offset, now_s
                )
                if record.key != self.fleet.local_member.peer.instance:
                    self._paces.apply_report(record.key, announcement.slow_upstreams, now_s)
                    self.limits.apply_notices(announcement.limit_notices, now_s)
                    self.busy_instances.note(record.key, is_busy=announcement.is_busy, now_s=now_s)
        for instance in self.fleet.expire_members(now_s):
            self.busy_instances.forget(instance)
            emit(Event.MEMBER_GONE, instance=instance)
        if self.fleet.size != size_before:
            self._on_change()

    def apply_second_hand(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a peer's announcements, unless the store was listed: they may be older."""
        if not self.is_listed:
            for record in records:
                self._apply_record(record, self._clock.monotonic_s())
        self._mark_settled()

    def known_records(self) -> tuple[KeyedRecord, ...]:
        """Return the announcements of all known instances, this one included."""
        return tuple(
            encode_member(m) for m in (*self.fleet.other_members(), self.fleet.local_member)
        )

    def _apply_record(self, record: KeyedRecord, now_s: float) -> Announcement | None:
        if record.value is None:
            return None
        try:
            announcement = decode_member(record)
        except Exception as error:
            # Whatever another writer left, the others are read.
            emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            return None
        if not self.fleet.has_announced(record.key):
            address = announcement.member.peer.address
            emit(Event.MEMBER_SEEN, instance=record.key, address=address)
        self.fleet.apply_announcement(announcement.member, now_s)
        return announcement

    def _mark_settled(self) -> None:
        self._is_settled = True
        self._on_change()
