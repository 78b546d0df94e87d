"""Fakes of the clock, peers, membership, log and log writer."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

from ..clock import Clock, SystemClock
from ..core.membership import Membership
from ..core.records import Record, RecordId
from ..core.retry_budget import RetryBudgetSettings
from ..gateway.lending import (
    BOOTSTRAP_TIMEOUT_S,
    BootstrapState,
    FoundOrigin,
    Handover,
    LoanReply,
    LoanRequest,
    OperatorNews,
    PeerLink,
)
from ..gateway.process_check import ProcessCheck, ProcessIdentity
from ..gateway.relays import Relays
from ..gateway.store_witness import StoreWitness
from ..ledger.calls import PeerCalls, ReserveCall, ReserveReply, Ticket
from ..log.client import LogClient, LogError, LogPage
from ..peers.failures import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.accounts import MirrorAnswer, MirrorBatch
    from ..core.relaying import RelayOffer, RelayPeer
    from ..core.stream_origins import OriginRecord, StreamKey
    from ..core.upstreams import RegisteredUpstream
    from ..gateway.call import Call
    from ..gateway.headers import RawHeaders
    from ..gateway.store import KeyedRecord
    from ..gateway.upstream_client import UpstreamAnswer
    from ..types import DataCentre, Member, Shard

_R = TypeVar("_R", bound=Record)

_START = datetime(2026, 1, 1, tzinfo=UTC)

#: Retry budget of the users' first deployments.
RETRIES = RetryBudgetSettings(ratio=0.2, burst=52.0, window_s=10.0, delivery_s=1.0)


class NoWitness(StoreWitness):
    """A store witness that can never confirm that the store was up."""

    async def has_read_without_gap(self, gap_s: float) -> bool:
        """Return False: the store may have been unreachable."""
        return False


class AnyProcess(ProcessCheck):
    """Check that takes each process for the registered one."""

    async def check(self, upstream: RegisteredUpstream) -> ProcessIdentity:
        """Return that it is the registered process."""
        return ProcessIdentity.REGISTERED


class UnreachablePeers(PeerLink):
    """Peers that fail every call; tests override the calls that they need."""

    async def borrow(self, address: str, request: LoanRequest) -> LoanReply:
        """Fail."""
        raise PeerError(address)

    async def hand_over(self, address: str, handover: Handover) -> None:
        """Fail."""
        raise PeerError(address)

    async def bootstrap_state(
        self, address: str, *, timeout_s: float = BOOTSTRAP_TIMEOUT_S
    ) -> BootstrapState:
        """Fail."""
        raise PeerError(address)

    async def registrations_gapless_read_s(self, address: str) -> float:
        """Fail."""
        raise PeerError(address)

    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        """Fail."""
        raise PeerError(address)

    async def operator_news(self, address: str) -> OperatorNews:
        """Fail."""
        raise PeerError(address)

    async def relay_offer(self, address: str) -> RelayOffer:
        """Fail."""
        raise PeerError(address)

    async def keep_origins(self, address: str, records: Sequence[OriginRecord]) -> None:
        """Fail."""
        raise PeerError(address)

    async def find_origin(self, address: str, key: StreamKey, service: str) -> FoundOrigin:
        """Fail."""
        raise PeerError(address)

    def close(self) -> None:
        """Close nothing."""


class NoRelays(Relays):
    """A fleet in which no peer relays."""

    async def find(
        self, service: str, permits: Callable[[DataCentre], bool], *, may_wait: bool
    ) -> RelayPeer | None:
        """Return None."""
        return None

    def is_unavailable(self, service: str, permits: Callable[[DataCentre], bool]) -> bool:
        """Return True."""
        return True

    def note_cannot_serve(self, peer: RelayPeer, service: str) -> None:
        """Do nothing."""

    async def send(
        self, peer: RelayPeer, upstream: RegisteredUpstream, call: Call, headers: RawHeaders
    ) -> UpstreamAnswer:
        """Fail: there is no peer."""
        raise NotImplementedError


class OnePeerRelays(NoRelays):
    """One peer, which answers each request as scripted.

    Parameters
    ----------
    answer
        Returns the answer of an upstream, or raises.
    """

    def __init__(
        self, peer: RelayPeer, answer: Callable[[RegisteredUpstream], UpstreamAnswer]
    ) -> None:
        self._peer = peer
        self._answer = answer

    async def find(
        self, service: str, permits: Callable[[DataCentre], bool], *, may_wait: bool
    ) -> RelayPeer | None:
        """Return the peer."""
        return self._peer

    def is_unavailable(self, service: str, permits: Callable[[DataCentre], bool]) -> bool:
        """Return False."""
        return False

    async def send(
        self, peer: RelayPeer, upstream: RegisteredUpstream, call: Call, headers: RawHeaders
    ) -> UpstreamAnswer:
        """Return the scripted answer."""
        return self._answer(upstream)


class FakeClock(Clock):
    """A clock that only `advance` moves."""

    def __init__(self) -> None:
        self._now_s = 1000.0
        self._sleepers: list[tuple[float, anyio.Event]] = []

    def now(self) -> datetime:
        """Return a time of day that moves with the monotonic time."""
        return _START + timedelta(seconds=self._now_s)

    def monotonic_s(self) -> float:
        """Return the fake time."""
        return self._now_s

    async def sleep(self, delay_s: float) -> None:
        """Wait until a test has advanced the time by `delay_s`."""
        woken = anyio.Event()
        self._sleepers.append((self._now_s + delay_s, woken))
        await woken.wait()

    def advance(self, delay_s: float) -> None:
        """Advance the time and wake the sleepers that are due."""
        self._now_s += delay_s
        due = [sleeper for sleeper in self._sleepers if sleeper[0] <= self._now_s]
        self._sleepers = [sleeper for sleeper in self._sleepers if sleeper[0] > self._now_s]
        for _, woken in due:
            woken.set()


class SkippingClock(SystemClock):
    """Clock of the machine, ahead by a time that a test sets."""

    advance_s = 0.0

    def monotonic_s(self) -> float:
        """Return the time of the machine plus `advance_s`."""
        return super().monotonic_s() + self.advance_s


class FakeWriter(Generic[_R]):
    """Queues records like `LogWriter`; a test appends them itself."""

    def __init__(self, author: str) -> None:
        self.queue: list[_R] = []
        self._author = author
        self._sequence = 0

    def submit(self, make: Callable[[RecordId], _R]) -> _R:
        """Queue the record that `make` returns for the next record id, and return it."""
        self._sequence += 1
        record = make(RecordId(self._author, self._sequence))
        self.queue.append(record)
        return record


class FakeMembership(Membership):
    """Membership whose view a test sets, rightly or wrongly."""

    def __init__(self, local_member: Member, data_centre: DataCentre) -> None:
        super().__init__(local_member, data_centre, suspect_after_s=1.0)
        self.alive_peers: dict[str, Member] = {}
        self.alive_remote_members: dict[str, Member] = {}

    def is_alive(self, member: Member, now_s: float) -> bool:
        """Return what the test has set."""
        return member == self.local_member or self.alive_peers.get(member.name) == member

    def is_alive_and_not_stopping(self, member: Member, now_s: float) -> bool:
        """Return what the test has set."""
        return self.is_alive(member, now_s)

    def find(self, incarnation: str, now_s: float) -> Member | None:
        """Return the member with an incarnation, if the test has set it alive."""
        alive_members = [
            self.local_member,
            *self.alive_peers.values(),
            *self.alive_remote_members.values(),
        ]
        return next((m for m in alive_members if m.incarnation == incarnation), None)

    def local_alive(self, now_s: float) -> dict[str, Member]:
        """Return the peers that the test has set alive, and the local member."""
        return {**self.alive_peers, self.local_member.name: self.local_member}


class NoPeers(PeerCalls):
    """Peers that fail every call of the ledger."""

    async def mirror(
        self, witness: Member, shard: Shard, batch: MirrorBatch, *, timeout_s: float
    ) -> MirrorAnswer:
        """Fail."""
        raise PeerError("no peers")

    async def reserve(self, address: str, call: ReserveCall, *, timeout_s: float) -> ReserveReply:
        """Fail."""
        raise PeerError("no peers")

    async def settle(
        self, address: str, ticket: Ticket, used_tokens: int, request_id: str, *, timeout_s: float
    ) -> bool:
        """Fail."""
        raise PeerError("no peers")

    async def report_posted(
        self, address: str, tickets: tuple[Ticket, ...], *, timeout_s: float
    ) -> None:
        """Fail."""
        raise PeerError("no peers")


class FakeLog(LogClient):
    """A log in memory that can be down, or lose the answers of appends that took effect.

    Parameters
    ----------
    clock
        If given, a read without records waits, as on the platform; otherwise reads never wait.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.records: dict[str, list[str]] = {}
        self._clock = clock
        self.is_down = False
        self.answers_to_lose = 0

    async def append(self, stream: str, payload: bytes) -> int:
        """Append unless down; the next `answers_to_lose` appends succeed without an answer."""
        if self.is_down:
            raise LogError("down")
        stored = self.records.setdefault(stream, [])
        stored.append(payload.decode())
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise LogError("answer lost")
        return len(stored)

    async def read(self, stream: str, from_offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset; with a clock, wait if there are none."""
        if self.is_down:
            raise LogError("down")
        if self._clock is not None and len(self.records.get(stream, [])) < from_offset and wait_s:
            await self._clock.sleep(wait_s)
        stored = self.records.get(stream, [])
        page = tuple(enumerate(stored[from_offset - 1 :], start=from_offset))
        return LogPage(page, 1, max(from_offset, len(stored) + 1))
