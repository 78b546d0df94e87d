"""Calls between instances: loans of tokens, and what a fresh process needs to know."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from ..core.loans import Holding
from ..peers import lending_pb2 as pb
from ..peers.failures import PeerError, PeerUnreachableError
from ..peers.lending_grpc import LendingBase, LendingStub
from ..settings.instance import Address
from ..types import BudgetName
from .store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from grpclib.protocol import H2Protocol
    from grpclib.server import Stream

#: A peer in the same region answers within a few milliseconds; a waiting request can spare this.
LOAN_TIMEOUT_S = 0.25
BOOTSTRAP_TIMEOUT_S = 0.6

#: The reader of registrations takes nothing from the store while it asks; a peer that lives answers
#: within milliseconds.
WITNESS_TIMEOUT_S = 0.25

#: A connection to a peer is tried for this long: longer than packets wait on a full link, and less
#: than the second after which the first lost packet of a new connection is sent again.
MAX_CONNECT_S = 0.8


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """What an instance asks of another.

    Parameters
    ----------
    priority
        Of the requests that wait; the lender keeps what its own more urgent ones will need.
    needed_tokens
        For requests that wait.
    extra_tokens
        Welcome on top.
    loan_id
        Repeated calls with the same id move tokens once.
    borrows_only
        The borrower does not claim from the store; the lender is to do so for it.
    spent_tokens
        Spent by a borrower that claims nothing, since it last said so.
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
    """What a lender answers.

    Parameters
    ----------
    spent_tokens
        Surely spent of the budget by all; the truth is this or more.
    holdings
        Who else holds some of it, most first; None if the lender does not know.
    """

    given_tokens: int
    spent_tokens: int
    holdings: tuple[Holding, ...] | None = None


@dataclass(frozen=True, slots=True)
class Handover:
    """Tokens that an instance which stops leaves to another.

    Parameters
    ----------
    tokens
        Taken out of what it holds before it says so; should the call fail they are nobody's.
    loan_id
        Repeated calls with the same id move tokens once.
    """

    budget: BudgetName
    tokens: int
    loan_id: str


@dataclass(frozen=True, slots=True)
class BootstrapState:
    """What an instance knows, in the store's own form.

    Parameters
    ----------
    ends
        Of upstreams under requests.
    """

    config: bytes
    upstreams: tuple[KeyedRecord, ...]
    members: tuple[KeyedRecord, ...]
    quarantine_records: tuple[KeyedRecord, ...] = ()


class PeerLink(ABC):
    """Calls to other instances."""

    @abstractmethod
    async def borrow(self, address: str, request: LoanRequest) -> LoanReply:
        """Ask a peer for tokens.

        Raises
        ------
        PeerError
            If it did not answer; it may have given them.
        """

    @abstractmethod
    async def hand_over(self, address: str, handover: Handover) -> None:
        """Leave tokens to a peer.

        Raises
        ------
        PeerError
            If it did not answer; it may have taken them.
        """

    @abstractmethod
    async def bootstrap_state(self, address: str) -> BootstrapState:
        """Return what a peer knows.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    async def registrations_gapless_s(self, address: str) -> float:
        """Return for how long a peer has read the upstreams' registrations without a gap.

        Raises
        ------
        PeerError
            If it did not answer.
        """

    @abstractmethod
    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        """Tell a peer of upstreams that ended under requests.

        Raises
        ------
        PeerError
            If it did not answer; it may know them now.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class _BackgroundConnectChannel(Channel):
    """A channel that goes on connecting after a call has given up waiting for it.

    On a full link a connection takes longer than a call may: were it closed with the call, the
    next one would begin anew, and none would ever come about.
    """

    _connect_task: asyncio.Task[H2Protocol] | None = None

    #: Whether there ever was a connection; before, no call can have sent anything.
    has_connected = False

    async def __connect__(self) -> H2Protocol:
        """Return the connection, waiting for the attempt that is under way if there is one.

        An attempt ends by itself only. Cancelled by one call, it would cancel all that wait for it,
        and the whole program with them, which takes that for its own end.
        """
        if self._connect_task is None or self._connect_task.done():
            connecting = asyncio.wait_for(super().__connect__(), MAX_CONNECT_S)
            self._connect_task = asyncio.create_task(connecting)
            # Whoever waits is told; if nobody does any more, nobody needs to know.
            self._connect_task.add_done_callback(_consume_exception)
        protocol = await asyncio.shield(self._connect_task)
        self.has_connected = True
        return protocol

    @property
    def is_connecting(self) -> bool:
        """Whether it is connecting."""
        return self._connect_task is not None and not self._connect_task.done()

    def close(self) -> None:
        """Close the connection, also one that is still to come about."""
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
    An open connection may go silent for good without a reset while new ones work, so a channel
    on which a call had no answer is closed, and the next call opens another one.
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
        """Leave tokens to a peer."""
        message = pb.TakeOverRequest(
            budget=handover.budget, tokens=handover.tokens, loan_id=handover.loan_id
        )
        with self._call(address) as stub, anyio.fail_after(LOAN_TIMEOUT_S):
            await stub.TakeOver(message)

    async def bootstrap_state(self, address: str) -> BootstrapState:
        """Return what a peer knows."""
        with self._call(address) as stub, anyio.fail_after(BOOTSTRAP_TIMEOUT_S):
            reply = await stub.Knowledge(pb.KnowledgeRequest())
        return BootstrapState(
            config=reply.config,
            upstreams=tuple(KeyedRecord(r.key, r.value) for r in reply.upstreams),
            members=tuple(KeyedRecord(r.key, r.value) for r in reply.members),
            quarantine_records=tuple(KeyedRecord(r.key, r.value) for r in reply.ends),
        )

    async def registrations_gapless_s(self, address: str) -> float:
        """Return for how long a peer has read the upstreams' registrations without a gap."""
        with self._call(address) as stub, anyio.fail_after(WITNESS_TIMEOUT_S):
            reply = await stub.Registrations(pb.RegistrationsRequest())
        return reply.followed_s

    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        """Tell a peer of upstreams that ended under requests."""
        # A record without a value takes its key back.
        messages = [pb.StoredRecord(key=r.key, value=r.value or b"") for r in records]
        with self._call(address) as stub, anyio.fail_after(LOAN_TIMEOUT_S):
            await stub.TellEnds(pb.EndsRequest(ends=messages))

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._channels):
            self._close_channel(address)

    def _call(self, address: str) -> _Call:
        return _Call(self, address)

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
        """Note that a call had no answer: its channel is closed unless it still connects."""
        if self._channels.get(address) is channel and not channel.is_connecting:
            self._close_channel(address)


class _Call:
    """Turns failures of one call into `PeerError`, and drops the channel that had them.

    Notes
    -----
    Whether anything was sent is asked of the very channel of the call. By now another call may have
    replaced it, and tokens that arrived through the old one would be taken for kept.
    """

    def __init__(self, link: GrpcPeerLink, address: str) -> None:
        self._link = link
        self._address = address
        self._channel = link.channel(address)

    def __enter__(self) -> LendingStub:
        return LendingStub(self._channel)

    def __exit__(self, kind: object, error: BaseException | None, _: object) -> None:
        if isinstance(error, (TimeoutError, GRPCError, StreamTerminatedError, OSError)):
            self._link.note_failure(self._address, self._channel)
            may_have_been_sent = self._channel.has_connected
            failure = PeerError if may_have_been_sent else PeerUnreachableError
            raise failure(f"{self._address}: {error!r}") from error


class LendingService(LendingBase):
    """What an instance serves to others."""

    def __init__(
        self,
        lend: Callable[[LoanRequest], Awaitable[LoanReply]],
        take_over: Callable[[Handover], None],
        bootstrap_state: Callable[[], Knowledge],
        registrations_gapless_s: Callable[[], float],
        apply_quarantine_records: Callable[[Iterable[KeyedRecord]], None],
    ) -> None:
        self._apply_quarantine_records = apply_quarantine_records
        self._lend = lend
        self._take_over = take_over
        self._bootstrap_state = bootstrap_state
        self._registrations_gapless_s = registrations_gapless_s

    async def Lend(self, stream: Stream[pb.LoanRequest, pb.LoanReply]) -> None:  # noqa: N802
        """Move tokens to the caller."""
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
        """Take the tokens of a caller that stops."""
        message = await stream.recv_message()
        if message is None:
            return
        self._take_over(Handover(BudgetName(message.budget), message.tokens, message.loan_id))
        await stream.send_message(pb.TakeOverReply())

    async def Knowledge(  # noqa: N802
        self, stream: Stream[pb.KnowledgeRequest, pb.KnowledgeReply]
    ) -> None:
        """Tell what this instance knows."""
        await stream.recv_message()
        state = self._bootstrap_state()
        reply = pb.KnowledgeReply(
            config=state.config,
            upstreams=[pb.StoredRecord(key=r.key, value=r.value) for r in state.upstreams],
            members=[pb.StoredRecord(key=r.key, value=r.value) for r in state.members],
            ends=[pb.StoredRecord(key=r.key, value=r.value) for r in state.quarantine_records],
        )
        await stream.send_message(reply)

    async def Registrations(  # noqa: N802
        self, stream: Stream[pb.RegistrationsRequest, pb.RegistrationsReply]
    ) -> None:
        """Tell for how long this instance has read the registrations without a gap."""
        await stream.recv_message()
        await stream.send_message(pb.RegistrationsReply(followed_s=self._registrations_gapless_s()))

    async def TellEnds(  # noqa: N802
        self, stream: Stream[pb.EndsRequest, pb.EndsReply]
    ) -> None:
        """Take the ends of upstreams that a caller could not tell the store."""
        message = await stream.recv_message()
        if message is None:
            return
        self._apply_quarantine_records(KeyedRecord(r.key, r.value or None) for r in message.ends)
        await stream.send_message(pb.EndsReply())


async def serve_peers(service: LendingService, address: str) -> Server:
    """Listen for other instances."""
    server = Server([service])
    target = Address.parse(address)
    await server.start(target.host, target.port)
    return server
