"""Announces this instance in the store, and follows the announcements of the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from ..core.fleet import Capacity, FleetView, Member
from ..core.loans import Peer
from ..events import Event, emit
from ..types import DataCentre
from .feeds import KeyedFeed
from .store import KeyedRecord, Store, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..log.health import LogHealth

#: The fleet's own topic for announcements.
MEMBERS_STREAM = Stream("keyed.mothstand-instances")

#: Seconds from the first look to the second: all instances of a new fleet start within 0.3 s, and
#: until they know each other each would claim as if it were alone.
_SECOND_LOOK_S = 0.6


#: Of an announcement that does not say.
_UNKNOWN_CAPACITY = Capacity()


class _MemberValue(BaseModel):
    """An announcement; its key is the instance's name."""

    incarnation: str
    address: str
    data_centre: str
    cores: float = _UNKNOWN_CAPACITY.cores
    link_mbit_per_s: float = _UNKNOWN_CAPACITY.link_mbit_per_s


def encode_member(member: Member) -> KeyedRecord:
    """Return an announcement as a record."""
    value = _MemberValue(
        incarnation=member.peer.incarnation,
        address=member.peer.address,
        data_centre=member.data_centre,
        cores=member.capacity.cores,
        link_mbit_per_s=member.capacity.link_mbit_per_s,
    )
    return KeyedRecord(member.peer.instance, value.model_dump_json().encode())


def decode_member(record: KeyedRecord) -> Member:
    """Return what an announcement says.

    Raises
    ------
    ValueError
        Naming the key and what is wrong.
    """
    try:
        value = _MemberValue.model_validate_json(record.value or b"")
    except ValidationError as error:
        raise ValueError(f"{record.key!r}: {error.error_count()} faults") from error
    peer = Peer(record.key, value.incarnation, value.address)
    capacity = Capacity(value.cores, value.link_mbit_per_s)
    return Member(peer, DataCentre(value.data_centre), capacity)


class MemberFeed(KeyedFeed):
    """The fleet's instances, by their announcements.

    Parameters
    ----------
    changed
        Called when instances came or went, and when the fleet is first known.
    """

    def __init__(
        self,
        store: Store,
        me: Member,
        clock: Clock,
        health: LogHealth,
        changed: Callable[[], None],
    ) -> None:
        super().__init__(store, MEMBERS_STREAM, clock, health)
        self.fleet = FleetView(me)
        self._changed = changed
        self._looks = 0
        self._settled = False

    @property
    def is_settled(self) -> bool:
        """Whether enough was read to tell who claims."""
        return self._settled

    @property
    def pause_s(self) -> float:
        """Seconds between two reads."""
        return self.fleet.announce_s if self._looks > 1 else _SECOND_LOOK_S

    @property
    def wait_s(self) -> float:
        """Seconds that a read waits at the store for a record."""
        return 0.0

    async def look(self) -> None:
        """Read once and announce this instance.

        In this order: an announcement replaces that of an earlier start, by which a restarted
        instance knows that the fleet is listed already.
        """
        await super().look()
        await self._store.append(self._stream, (encode_member(self.fleet.me),))
        self._looks += 1
        if self._looks > 1 and not self._settled:
            self._settle()

    def list(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest announcement of each instance."""
        mine = self.fleet.me.peer
        self.apply(records)
        if self._looks == 0 and any(r.key == mine.instance for r in records):
            # Announced by an earlier start: the fleet is listed already.
            self._settle()

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take later announcements, in order."""
        now_s = self._clock.monotonic_s()
        before = self.fleet.size
        for record in records:
            self._take(record, now_s)
        for instance in self.fleet.read(now_s):
            emit(Event.MEMBER_GONE, instance=instance)
        if self.fleet.size != before:
            self._changed()

    def offer(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take announcements that a peer knows, at a start while the store is out."""
        if not self.is_listed:
            for record in records:
                self._take(record, self._clock.monotonic_s())
        self._settle()

    def known(self) -> tuple[KeyedRecord, ...]:
        """Return the announcements of all instances that are known, this one's included."""
        return tuple(encode_member(m) for m in (*self.fleet.others(), self.fleet.me))

    def _take(self, record: KeyedRecord, now_s: float) -> None:
        if record.value is None:
            return
        try:
            member = decode_member(record)
        except ValueError as error:
            emit(Event.RECORD_SKIPPED, key=record.key, offset=record.offset, error=str(error))
            return
        if not self.fleet.knows(record.key):
            emit(Event.MEMBER_SEEN, instance=record.key, address=member.peer.address)
        self.fleet.note(member, now_s)

    def _settle(self) -> None:
        self._settled = True
        self._changed()
