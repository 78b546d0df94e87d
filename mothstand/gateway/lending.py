"""Calls between instances: loans of tokens and the bootstrap state of a starting process."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from ..core.evacuation import EvacuationState
from ..core.loans import Holding
from ..core.relaying import RelayOffer
from ..core.stream_origins import OriginRecord, SeenVersion, StreamKey, StreamOrigin
from ..peers import lending_pb2 as pb
from ..peers.failures import PeerError, PeerUnreachableError
from ..peers.lending_grpc import LendingBase, LendingStub
from ..settings.instance import Address
from ..types import BudgetName, DataCentre
from .store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from grpclib._typing import IServable
    from grpclib.protocol import H2Protocol
    from grpclib.server import Stream

#: A peer in the same region answers within a few milliseconds; a waiting request can afford this.
LOAN_TIMEOUT_S = 0.25
BOOTSTRAP_TIMEOUT_S = 0.6

#: Registrations are not read from the store during this call; a live peer answers within
#: milliseconds.
WITNESS_TIMEOUT_S = 0.25

EVACUATIONS_TIMEOUT_S = 0.25

RELAY_OFFER_TIMEOUT_S = 0.25

KEEP_ORIGINS_TIMEOUT_S = 0.5

#: A caller waits meanwhile.
FIND_ORIGIN_TIMEOUT_S = 0.25

#: Maximum duration of a connection attempt: longer than packets wait on a full link, and shorter
#: than the 1 s after which the first lost packet of a new connection is sent again.
MAX_CONNECT_S = 0.8


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Request for a loan of tokens.

    Parameters
    ----------
    priority
        Priority of the waiting requests; the lender withholds tokens for higher priorities.
    needed_tokens
        Tokens for waiting requests.
    extra_tokens
        Tokens that are useful but not needed yet.
    loan_id
        Repeated calls with the same id move tokens once.
    borrows_only
        Whether the borrower does not claim from the store, so that the lender claims for it.
    spent_tokens
        Spend that a borrower without claims has not reported yet.
    """

    budget: BudgetName
    priority: int
    needed_tokens: int
    extra_tokens: int
    loan_id: str
    borrows_only: bool = False
    spent_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LoanReply:
    """Answer of a lender to a loan request.

    Parameters
    ----------
    spent_tokens
        Confirmed spend of the budget by all instances: a lower bound of what was spent.
    holdings
        Holdings of other instances, largest first; None if the lender does not know them.
    """

    given_tokens: int
    spent_tokens: int
    holdings: tuple[Holding, ...] | None = None


@dataclass(frozen=True, slots=True)
class Handover:
    """Tokens that an instance moves to a peer, at a stop or to return a loan.

    Parameters
    ----------
    tokens
        Deducted by the sender before the call; if the call has no answer, they may be lost.
    loan_id
        Repeated calls with the same id move tokens once.
    """

    budget: BudgetName
    tokens: int
    loan_id: str


@dataclass(frozen=True, slots=True)
class BootstrapState:
    """State that a starting instance gets from a peer, in the format of the store.

    Parameters
    ----------
    quarantine_records
        Records of upstream crashes during requests.
    config_version
        Version of `config`; 0 if the peer has none. Only known to the peer that sends the state.
    """

    config: bytes
    upstreams: tuple[KeyedRecord, ...]
    members: tuple[KeyedRecord, ...]
    quarantine_records: tuple[KeyedRecord, ...] = ()
    evacuations: tuple[EvacuationState, ...] = ()
    config_version: int = 0


@dataclass(frozen=True, slots=True)
class OperatorNews:
    """What a peer has read of the operators' stream."""

    evacuations: tuple[EvacuationState, ...]
    config_version: int


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """What a peer knows of the origin of a stream.

    Parameters
    ----------
    origin
        None if it knows none.
    versions
        Software versions of the requested service that it has seen recently.
    knows_all_versions
        Whether there were no others within the retention time.
    """

    origin: StreamOrigin | None
    versions: tuple[SeenVersion, ...] = ()
    knows_all_versions: bool = False


class PeerLink(ABC):
    """Calls to other instances."""

    @abstractmethod
    async def borrow(self, address: str, request: LoanRequest) -> LoanReply:
        """Ask a peer for tokens.

        Raises
        ------
        PeerError
            If it did not answer; it may have lent them.
        """

    @abstractmethod
    async def hand_over(self, address: str, handover: Handover) -> None:
        """Move tokens to a peer.

        Raises
        ------
        PeerError
            If it did not answer; it may have added them.
        """

    @abstractmethod
    async def bootstrap_state(
        self, address: str, *, timeout_s: float = BOOTSTRAP_TIMEOUT_S
    ) -> BootstrapState:
        """Return the state that a peer has of configuration, upstreams, members and quarantine.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    async def registrations_gapless_read_s(self, address: str) -> float:
        """Return the seconds for which a peer has read the registrations without a gap.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        """Send records of the quarantine to a peer.

        Raises
        ------
        PeerError
            If it did not answer; it may have applied them.
        """

    @abstractmethod
    async def operator_news(self, address: str) -> OperatorNews:
        """Return the evacuations that a peer knows, and the version of its configuration.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    async def relay_offer(self, address: str) -> RelayOffer:
        """Return what a peer offers to relay.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    async def keep_origins(self, address: str, records: Sequence[OriginRecord]) -> None:
        """Send copies of origins of streams to a peer.

        Raises
        ------
        PeerError
            If it did not answer; it may have kept them.
        """

    @abstractmethod
    async def find_origin(self, address: str, key: StreamKey, service: str) -> FoundOrigin:
        """Return what a peer knows of the origin of a stream.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class _BackgroundConnectChannel(Channel):
    """Channel whose connection attempt continues after a call has timed out.

    On a full link connecting takes longer than the timeout of a call. If each call cancelled its
    attempt, no connection would ever be established.
    """

    _connect_task: asyncio.Task[H2Protocol] | None = None

    #: Whether a connection was ever established; before that, no call can have sent anything.
    has_connected = False

    async def __connect__(self) -> H2Protocol:
        """Return the connection, waiting for the running attempt if there is one.

        No call may cancel the attempt: that would cancel all calls that wait for it, and with them
        the whole program, which treats such a cancellation as its own.
        """
        if self._connect_task is None or self._connect_task.done():
            connecting = asyncio.wait_for(super().__connect__(), MAX_CONNECT_S)
            self._connect_task = asyncio.create_task(connecting)
            # Waiting calls get the exception; if no call waits any more, it can be ignored.
            self._connect_task.add_done_callback(_consume_exception)
        protocol = await asyncio.shield(self._connect_task)
        self.has_connected = True
        if protocol.connection.is_closing():
            raise ConnectionResetError("the connection was closed as soon as it was established")
        return protocol

    @property
    def is_connecting(self) -> bool:
        """Whether a connection attempt is running."""
        return self._connect_task is not None and not self._connect_task.done()

    def close(self) -> None:
        """Close the connection; that of a running attempt is closed when the attempt ends."""
        if self._connect_task is not None and not self._connect_task.done():
            self._connect_task.add_done_callback(lambda _: Channel.close(self))
        super().close()


def _consume_exception(connect_task: asyncio.Task[H2Protocol]) -> None:
    if not connect_task.cancelled():
        connect_task.exception()


class GrpcPeerLink(PeerLink):
    """Calls over grpclib, on one channel for each address.

    Notes
    -----
    An open connection may stop responding for good, without a reset, while new ones work. So a
    channel on which a call had no answer is closed, and the next call opens another one.
    """

    def __init__(self) -> None:
        self._channels: dict[str, _BackgroundConnectChannel] = {}

    async def borrow(self, address: str, request: LoanRequest) -> LoanReply:
        """Ask a peer for tokens."""
        message = pb.LoanRequest(
            budget=request.budget,
            priority=request.priority,
            needed_tokens=request.needed_tokens,
            extra_tokens=request.extra_tokens,
            loan_id=request.loan_id,
            borrows_only=request.borrows_only,
            spent_tokens=request.spent_tokens,
        )
        with self._call(address) as stub, anyio.fail_after(LOAN_TIMEOUT_S):
            reply = await stub.Lend(message)
        named_holdings = tuple(Holding(h.instance, h.tokens) for h in reply.holdings)
        holdings = named_holdings if reply.knows_holdings else None
        return LoanReply(reply.given_tokens, reply.spent_tokens, holdings)

    async def hand_over(self, address: str, handover: Handover) -> None:
        """Move tokens to a peer."""
        message = pb.TakeOverRequest(
            budget=handover.budget, tokens=handover.tokens, loan_id=handover.loan_id
        )
        with self._call(address) as stub, anyio.fail_after(LOAN_TIMEOUT_S):
            await stub.TakeOver(message)

    async def bootstrap_state(
        self, address: str, *, timeout_s: float = BOOTSTRAP_TIMEOUT_S
    ) -> BootstrapState:
        """Return the state that a peer has of configuration, upstreams, members and quarantine."""
        with self._call(address) as stub, anyio.fail_after(timeout_s):
            reply = await stub.Knowledge(pb.KnowledgeRequest())
        return BootstrapState(
            config=reply.config,
            upstreams=tuple(KeyedRecord(r.key, r.value) for r in reply.upstreams),
            members=tuple(KeyedRecord(r.key, r.value) for r in reply.members),
            quarantine_records=tuple(KeyedRecord(r.key, r.value) for r in reply.ends),
            evacuations=_from_messages(reply.evacuations),
        )

    async def registrations_gapless_read_s(self, address: str) -> float:
        """Return the seconds for which a peer has read the registrations without a gap."""
        with self._call(address) as stub, anyio.fail_after(WITNESS_TIMEOUT_S):
            reply = await stub.Registrations(pb.RegistrationsRequest())
        return reply.followed_s

    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        """Send records of the quarantine to a peer."""
        # A record without a value deletes its key.
        messages = [pb.StoredRecord(key=r.key, value=r.value or b"") for r in records]
        with self._call(address) as stub, anyio.fail_after(LOAN_TIMEOUT_S):
            await stub.TellEnds(pb.EndsRequest(ends=messages))

    async def operator_news(self, address: str) -> OperatorNews:
        """Return the evacuations that a peer knows, and the version of its configuration."""
        with self._call(address) as stub, anyio.fail_after(EVACUATIONS_TIMEOUT_S):
            reply = await stub.Evacuations(pb.EvacuationsRequest())
        return OperatorNews(_from_messages(reply.evacuations), reply.config_version)

    async def relay_offer(self, address: str) -> RelayOffer:
        """Return what a peer offers to relay."""
        with self._call(address) as stub, anyio.fail_after(RELAY_OFFER_TIMEOUT_S):
            reply = await stub.Relaying(pb.RelayingRequest())
        ages_s = {s.service: s.age_s for s in reply.services}
        return RelayOffer(reply.address, ages_s, frozenset(reply.unreachable_ids))

    async def keep_origins(self, address: str, records: Sequence[OriginRecord]) -> None:
        """Send copies of origins of streams to a peer."""
        messages = [
            pb.OriginRecord(
                key=r.key,
                origin=pb.StreamOrigin(service=r.origin.service, version=r.origin.version),
            )
            for r in records
        ]
        with self._call(address) as stub, anyio.fail_after(KEEP_ORIGINS_TIMEOUT_S):
            await stub.KeepOrigins(pb.KeepOriginsRequest(records=messages))

    async def find_origin(self, address: str, key: StreamKey, service: str) -> FoundOrigin:
        """Return what a peer knows of the origin of a stream."""
        with self._call(address) as stub, anyio.fail_after(FIND_ORIGIN_TIMEOUT_S):
            reply = await stub.FindOrigin(pb.FindOriginRequest(key=key, service=service))
        origin = None
        if reply.HasField("origin"):
            origin = StreamOrigin(reply.origin.service, reply.origin.version)
        versions = tuple(SeenVersion(service, v.version, v.age_s) for v in reply.versions)
        return FoundOrigin(origin, versions, reply.knows_all_versions)

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._channels):
            self._close_channel(address)

    def _call(self, address: str) -> _Call:
        return _Call(self, address)

    def call(self, address: str) -> _ChannelCall:
        """Return the context of a call of another service to a peer, which gives its channel."""
        return _ChannelCall(self, address)

    def channel(self, address: str) -> _BackgroundConnectChannel:
        """Return the channel to a peer."""
        if address not in self._channels:
            target = Address.parse(address)
            self._channels[address] = _BackgroundConnectChannel(target.host, target.port)
        return self._channels[address]

    def _close_channel(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def note_failure(self, address: str, channel: _BackgroundConnectChannel) -> None:
        """Close the channel of a call without an answer, unless it is still connecting."""
        if self._channels.get(address) is channel and not channel.is_connecting:
            self._close_channel(address)


class _ChannelCall:
    """Turns failures of one call into `PeerError` and closes the channel that had them.

    Notes
    -----
    The call keeps its channel to know whether anything was sent. Another call may have replaced
    the link's channel by then, and tokens that the peer got would be considered unsent.
    """

    def __init__(self, link: GrpcPeerLink, address: str) -> None:
        self._link = link
        self._address = address
        self._channel = link.channel(address)

    def __enter__(self) -> Channel:
        return self._channel

    def __exit__(self, kind: object, error: BaseException | None, _: object) -> None:
        if isinstance(error, (TimeoutError, GRPCError, StreamTerminatedError, OSError)):
            self._link.note_failure(self._address, self._channel)
            may_have_been_sent = self._channel.has_connected
            failure = PeerError if may_have_been_sent else PeerUnreachableError
            raise failure(f"{self._address}: {error!r}") from error


class _Call:
    """A call of the lending service."""

    def __init__(self, link: GrpcPeerLink, address: str) -> None:
        self._call = _ChannelCall(link, address)

    def __enter__(self) -> LendingStub:
        return LendingStub(self._call.__enter__())

    def __exit__(self, kind: object, error: BaseException | None, trace: object) -> None:
        self._call.__exit__(kind, error, trace)


def _from_messages(messages: Iterable[pb.EvacuationState]) -> tuple[EvacuationState, ...]:
    return tuple(
        EvacuationState(DataCentre(m.data_centre), m.is_evacuated, m.offset) for m in messages
    )


def _to_messages(states: Iterable[EvacuationState]) -> list[pb.EvacuationState]:
    return [
        pb.EvacuationState(data_centre=s.data_centre, is_evacuated=s.is_evacuated, offset=s.offset)
        for s in states
    ]


class LendingService(LendingBase):
    """Serves the calls of other instances."""

    def __init__(
        self,
        lend: Callable[[LoanRequest], Awaitable[LoanReply]],
        take_over: Callable[[Handover], None],
        bootstrap_state: Callable[[], BootstrapState],
        registrations_gapless_read_s: Callable[[], float],
        apply_quarantine_records: Callable[[Iterable[KeyedRecord]], None],
        relay_offer: Callable[[], RelayOffer],
        keep_origins: Callable[[Iterable[OriginRecord]], None],
        find_origin: Callable[[StreamKey, str], FoundOrigin],
    ) -> None:
        self._keep_origins = keep_origins
        self._find_origin = find_origin
        self._relay_offer = relay_offer
        self._apply_quarantine_records = apply_quarantine_records
        self._lend = lend
        self._take_over = take_over
        self._bootstrap_state = bootstrap_state
        self._registrations_gapless_read_s = registrations_gapless_read_s

    async def Lend(self, stream: Stream[pb.LoanRequest, pb.LoanReply]) -> None:  # noqa: N802
        """Lend tokens to the caller."""
        message = await stream.recv_message()
        if message is None:
            return
        request = LoanRequest(
            BudgetName(message.budget),
            message.priority,
            message.needed_tokens,
            message.extra_tokens,
            message.loan_id,
            message.borrows_only,
            message.spent_tokens,
        )
        reply = await self._lend(request)
        await stream.send_message(
            pb.LoanReply(
                given_tokens=reply.given_tokens,
                spent_tokens=reply.spent_tokens,
                holdings=[
                    pb.Holding(instance=h.instance, tokens=h.tokens) for h in reply.holdings or ()
                ],
                knows_holdings=reply.holdings is not None,
            )
        )

    async def TakeOver(  # noqa: N802
        self, stream: Stream[pb.TakeOverRequest, pb.TakeOverReply]
    ) -> None:
        """Add tokens that the caller hands over."""
        message = await stream.recv_message()
        if message is None:
            return
        self._take_over(Handover(BudgetName(message.budget), message.tokens, message.loan_id))
        await stream.send_message(pb.TakeOverReply())

    async def Knowledge(  # noqa: N802
        self, stream: Stream[pb.KnowledgeRequest, pb.KnowledgeReply]
    ) -> None:
        """Send the bootstrap state to the caller."""
        await stream.recv_message()
        state = self._bootstrap_state()
        reply = pb.KnowledgeReply(
            config=state.config,
            upstreams=[pb.StoredRecord(key=r.key, value=r.value) for r in state.upstreams],
            members=[pb.StoredRecord(key=r.key, value=r.value) for r in state.members],
            ends=[pb.StoredRecord(key=r.key, value=r.value) for r in state.quarantine_records],
            evacuations=_to_messages(state.evacuations),
        )
        await stream.send_message(reply)

    async def Registrations(  # noqa: N802
        self, stream: Stream[pb.RegistrationsRequest, pb.RegistrationsReply]
    ) -> None:
        """Send the seconds for which this instance has read the registrations without a gap."""
        await stream.recv_message()
        await stream.send_message(
            pb.RegistrationsReply(followed_s=self._registrations_gapless_read_s())
        )

    async def TellEnds(  # noqa: N802
        self, stream: Stream[pb.EndsRequest, pb.EndsReply]
    ) -> None:
        """Apply quarantine records that the caller could not write to the store."""
        message = await stream.recv_message()
        if message is None:
            return
        self._apply_quarantine_records(KeyedRecord(r.key, r.value or None) for r in message.ends)
        await stream.send_message(pb.EndsReply())

    async def Evacuations(  # noqa: N802
        self, stream: Stream[pb.EvacuationsRequest, pb.EvacuationsReply]
    ) -> None:
        """Send the evacuations that this instance knows, and the version of its configuration."""
        await stream.recv_message()
        state = self._bootstrap_state()
        await stream.send_message(
            pb.EvacuationsReply(
                evacuations=_to_messages(state.evacuations), config_version=state.config_version
            )
        )

    async def Relaying(  # noqa: N802
        self, stream: Stream[pb.RelayingRequest, pb.RelayingReply]
    ) -> None:
        """Send what this instance can relay."""
        await stream.recv_message()
        offer = self._relay_offer()
        services = [
            pb.ReachedService(service=service, age_s=age_s)
            for service, age_s in offer.reached_ages_s.items()
        ]
        await stream.send_message(
            pb.RelayingReply(
                address=offer.address,
                services=services,
                unreachable_ids=sorted(offer.unreachable_ids),
            )
        )

    async def KeepOrigins(  # noqa: N802
        self, stream: Stream[pb.KeepOriginsRequest, pb.KeepOriginsReply]
    ) -> None:
        """Keep copies of origins of streams."""
        message = await stream.recv_message()
        if message is None:
            return
        self._keep_origins(
            OriginRecord(StreamKey(r.key), StreamOrigin(r.origin.service, r.origin.version))
            for r in message.records
        )
        await stream.send_message(pb.KeepOriginsReply())

    async def FindOrigin(  # noqa: N802
        self, stream: Stream[pb.FindOriginRequest, pb.FindOriginReply]
    ) -> None:
        """Send what this instance knows of the origin of a stream."""
        message = await stream.recv_message()
        if message is None:
            return
        found = self._find_origin(StreamKey(message.key), message.service)
        reply = pb.FindOriginReply(
            versions=[pb.SeenVersion(version=v.version, age_s=v.age_s) for v in found.versions],
            knows_all_versions=found.knows_all_versions,
        )
        if found.origin is not None:
            reply.origin.service = found.origin.service
            reply.origin.version = found.origin.version
        await stream.send_message(reply)


async def serve_peers(
    service: LendingService, address: str, *further_services: IServable
) -> Server:
    """Start a server for the calls of other instances."""
    server = Server([service, *further_services])
    target = Address.parse(address)
    await server.start(target.host, target.port)
    return server
