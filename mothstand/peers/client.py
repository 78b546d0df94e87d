"""Calls to other instances over grpclib."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..core.accounts import MirrorAnswer, MirrorBatch
from ..ledger.calls import PeerCalls, ReserveCall, ReserveReply, Ticket
from ..settings.instance import Address
from ..types import DataCentre
from . import ledger_pb2 as pb
from .failures import PeerError
from .ledger_grpc import PeerStub
from .messages import (
    batch_to_pb,
    call_to_pb,
    identity_from_pb,
    identity_to_pb,
    reply_from_pb,
    ticket_to_pb,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from ..core.config import Sections
    from ..types import Member, Shard

_T = TypeVar("_T")

#: Name of the header that proves a caller to belong to the fleet.
KEY_HEADER = "x-fleet-key"


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A heartbeat's answer."""

    member: Member
    is_stopping: bool
    config_offset: int
    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """A configuration as a peer knows it."""

    offset: int
    sections: Sections


class GrpcPeers(PeerCalls):
    """Channels to peers, one for each address, opened on first use.

    Parameters
    ----------
    fleet_key
        Sent with each call; peers refuse a call without it.
    """

    def __init__(self, fleet_key: str) -> None:
        self._metadata = {KEY_HEADER: fleet_key}
        self._channels: dict[str, Channel] = {}

    async def probe(self, address: str, local_member: Member, *, timeout_s: float) -> ProbeResult:
        """Send a heartbeat and return the peer's identity."""
        request = pb.ProbeRequest(**{"from": identity_to_pb(local_member)})
        answer = await self._call(
            self._stub(address).Probe(request, timeout=timeout_s, metadata=self._metadata)
        )
        return ProbeResult(
            identity_from_pb(answer.me),
            answer.leaving,
            answer.config_offset,
            DataCentre(answer.data_centre),
        )

    async def mirror(
        self, witness: Member, shard: Shard, batch: MirrorBatch, *, timeout_s: float
    ) -> MirrorAnswer:
        """Ask the witness to acknowledge a batch."""
        answer = await self._call(
            self._stub(witness.address).Mirror(
                batch_to_pb(witness, shard, batch), timeout=timeout_s, metadata=self._metadata
            )
        )
        if not answer.taken:
            raise PeerError(f"{witness.name} does not vouch for epoch {batch.epoch}")
        return MirrorAnswer(is_sealed=answer.sealed, rejected=frozenset(answer.rejected))

    async def reserve(self, address: str, call: ReserveCall, *, timeout_s: float) -> ReserveReply:
        """Ask the instance at `address` for a reservation."""
        answer = await self._call(
            self._stub(address).Reserve(
                call_to_pb(call), timeout=timeout_s, metadata=self._metadata
            )
        )
        return reply_from_pb(answer)

    async def settle(
        self, address: str, ticket: Ticket, used_tokens: int, request_id: str, *, timeout_s: float
    ) -> bool:
        """Hand over a usage; return whether the instance took it."""
        request = pb.SettleRequest(
            ticket=ticket_to_pb(ticket), used_tokens=used_tokens, request_id=request_id
        )
        answer = await self._call(
            self._stub(address).Settle(request, timeout=timeout_s, metadata=self._metadata)
        )
        return bool(answer.known)

    async def report_posted(
        self, address: str, tickets: tuple[Ticket, ...], *, timeout_s: float
    ) -> None:
        """Say that the bills of these reservations are in the log."""
        request = pb.PostedRequest(tickets=[ticket_to_pb(ticket) for ticket in tickets])
        await self._call(
            self._stub(address).Posted(request, timeout=timeout_s, metadata=self._metadata)
        )

    async def config(
        self, address: str, known_offset: int, *, timeout_s: float
    ) -> PeerConfig | None:
        """Return the peer's configuration if it is newer than `known_offset`."""
        request = pb.ConfigRequest(known_offset=known_offset)
        answer = await self._call(
            self._stub(address).Config(request, timeout=timeout_s, metadata=self._metadata)
        )
        if not answer.sections:
            return None
        return PeerConfig(answer.offset, json.loads(answer.sections))

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _stub(self, address: str) -> PeerStub:
        channel = self._channels.get(address)
        if channel is None:
            target = Address.parse(address)
            channel = Channel(target.host, target.port)
            self._channels[address] = channel
        return PeerStub(channel)

    @staticmethod
    async def _call(call: Awaitable[_T]) -> _T:
        try:
            return await call
        except (TimeoutError, GRPCError, StreamTerminatedError, OSError) as error:
            raise PeerError(repr(error)) from error
