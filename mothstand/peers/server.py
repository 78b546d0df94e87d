"""Serves other instances of the fleet over grpclib."""

from __future__ import annotations

import hmac
import json
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from ..types import Shard
from . import ledger_pb2 as pb
from .client import KEY_HEADER
from .ledger_grpc import PeerBase
from .messages import (
    batch_from_pb,
    call_from_pb,
    identity_to_pb,
    reply_to_pb,
    ticket_from_pb,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib.server import Stream

    from ..core.config import ConfigState
    from ..core.membership import Membership
    from ..ledger.service import LedgerService
    from ..settings.instance import SecretsSection


class PeerService(PeerBase):
    """The calls that an instance serves to its peers.

    Parameters
    ----------
    config
        Returns the configuration in force.
    """

    def __init__(
        self,
        ledger: LedgerService,
        membership: Membership,
        config: Callable[[], ConfigState],
    ) -> None:
        self._ledger = ledger
        self._membership = membership
        self._config = config

    async def Probe(self, stream: Stream[pb.ProbeRequest, pb.ProbeAnswer]) -> None:  # noqa: N802
        """Answer a heartbeat."""
        await stream.recv_message()
        await stream.send_message(
            pb.ProbeAnswer(
                me=identity_to_pb(self._membership.local_member),
                leaving=self._membership.is_stopping,
                config_offset=self._config().offset,
                data_centre=self._membership.data_centre,
            )
        )

    async def Reserve(  # noqa: N802
        self, stream: Stream[pb.ReserveRequest, pb.ReserveAnswer]
    ) -> None:
        """Reserve tokens if this instance leads the shard."""
        request = await _receive(stream)
        reply = await self._ledger.reserve_local(call_from_pb(request))
        await stream.send_message(reply_to_pb(reply))

    async def Settle(  # noqa: N802
        self, stream: Stream[pb.SettleRequest, pb.SettleAnswer]
    ) -> None:
        """Settle a reservation."""
        request = await _receive(stream)
        known = self._ledger.settle_local(
            ticket_from_pb(request.ticket), request.used_tokens, request.request_id
        )
        await stream.send_message(pb.SettleAnswer(known=known))

    async def Posted(  # noqa: N802
        self, stream: Stream[pb.PostedRequest, pb.PostedAnswer]
    ) -> None:
        """Note that bills are in the log."""
        request = await _receive(stream)
        for ticket in request.tickets:
            self._ledger.note_posted_local(ticket_from_pb(ticket))
        await stream.send_message(pb.PostedAnswer())

    async def Mirror(self, stream: Stream[pb.MirrorRequest, pb.MirrorReply]) -> None:  # noqa: N802
        """Acknowledge reservations as a witness."""
        request = await _receive(stream)
        if request.witness_incarnation != self._membership.local_member.incarnation:
            await stream.send_message(pb.MirrorReply(taken=False))
            return
        answer = self._ledger.mirror_local(Shard(request.shard), batch_from_pb(request))
        if answer is None:
            await stream.send_message(pb.MirrorReply(taken=False))
            return
        await stream.send_message(
            pb.MirrorReply(taken=True, sealed=answer.is_sealed, rejected=sorted(answer.rejected))
        )

    async def Config(  # noqa: N802
        self, stream: Stream[pb.ConfigRequest, pb.ConfigAnswer]
    ) -> None:
        """Hand out the configuration in force."""
        request = await _receive(stream)
        state = self._config()
        if state.offset <= request.known_offset:
            await stream.send_message(pb.ConfigAnswer(offset=state.offset))
            return
        sections = json.dumps(state.sections).encode()
        await stream.send_message(pb.ConfigAnswer(offset=state.offset, sections=sections))


def make_server(service: PeerService, secrets: SecretsSection) -> Server:
    """Return a server that refuses calls without the fleet's key."""
    server = Server([service])
    accepted_keys = [key for key in (secrets.fleet_key, secrets.previous_fleet_key) if key]

    async def check_key(event: RecvRequest) -> None:
        sent = str(event.metadata.get(KEY_HEADER, ""))
        if not any(hmac.compare_digest(sent.encode(), key.encode()) for key in accepted_keys):
            raise GRPCError(Status.UNAUTHENTICATED, "no fleet key")

    listen(server, RecvRequest, check_key)
    return server


async def _receive(stream: Any) -> Any:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "no message")
    return message
