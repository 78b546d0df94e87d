"""Between the ledger's data classes and the peer protocol's messages."""

from __future__ import annotations

from ..core.accounts import Lane, MirrorBatch, Reservation, Settlement
from ..errors import ErrorKind, Refusal
from ..ledger.calls import KnownKey, NotHolder, ReserveCall, ReserveReply, Ticket
from ..types import BudgetName, Epoch, Member, Shard
from . import ledger_pb2 as pb


def identity_to_pb(member: Member) -> pb.Identity:
    """Return a member as a message."""
    return pb.Identity(
        name=member.name,
        incarnation=member.incarnation,
        address=member.address,
        callers_address=member.callers_address,
    )


def identity_from_pb(message: pb.Identity) -> Member:
    """Return a message as a member."""
    return Member(message.name, message.incarnation, message.address, message.callers_address)


def ticket_to_pb(ticket: Ticket) -> pb.Ticket:
    """Return a ticket as a message."""
    return pb.Ticket(
        shard=ticket.shard,
        epoch=ticket.epoch,
        number=ticket.number,
        holder=ticket.holder,
        witness=ticket.witness,
        home=ticket.key_holder,
    )


def ticket_from_pb(message: pb.Ticket) -> Ticket:
    """Return a message as a ticket."""
    return Ticket(
        shard=Shard(message.shard),
        epoch=Epoch(message.epoch),
        number=message.number,
        holder=message.holder,
        witness=message.witness,
        key_holder=message.home,
    )


def call_to_pb(call: ReserveCall) -> pb.ReserveRequest:
    """Return a reserve call as a message."""
    return pb.ReserveRequest(
        shard=call.shard,
        request_id=call.request_id,
        budget=call.budget,
        bound_tokens=call.bound_tokens,
        owner=call.owner,
        keyed=call.is_keyed,
        away=call.is_from_remote,
    )


def call_from_pb(message: pb.ReserveRequest) -> ReserveCall:
    """Return a message as a reserve call."""
    return ReserveCall(
        shard=Shard(message.shard),
        request_id=message.request_id,
        budget=BudgetName(message.budget),
        bound_tokens=message.bound_tokens,
        owner=message.owner,
        is_keyed=message.keyed,
        is_from_remote=message.away,
    )


def reply_to_pb(reply: ReserveReply) -> pb.ReserveAnswer:
    """Return a reserve reply as a message."""
    match reply:
        case Ticket():
            return pb.ReserveAnswer(ticket=ticket_to_pb(reply))
        case Refusal():
            return pb.ReserveAnswer(refused_kind=reply.kind.value, detail=reply.detail)
        case NotHolder():
            return pb.ReserveAnswer(not_holder_hint=reply.hint)
        case KnownKey(owner=owner, is_finished=True):
            return pb.ReserveAnswer(finished_at=owner)
        case KnownKey(owner=owner):
            return pb.ReserveAnswer(running_at=owner)


def reply_from_pb(message: pb.ReserveAnswer) -> ReserveReply:
    """Return a message as a reserve reply."""
    match message.WhichOneof("result"):
        case "ticket":
            return ticket_from_pb(message.ticket)
        case "refused_kind":
            return Refusal(ErrorKind(message.refused_kind), message.detail)
        case "finished_at":
            return KnownKey(message.finished_at, is_finished=True)
        case "running_at":
            return KnownKey(message.running_at, is_finished=False)
        case _:
            return NotHolder(message.not_holder_hint)


def batch_to_pb(witness: Member, shard: Shard, batch: MirrorBatch) -> pb.MirrorRequest:
    """Return a batch for a witness as a message."""
    return pb.MirrorRequest(
        shard=shard,
        epoch=batch.epoch,
        batch=batch.number,
        reservations=[
            pb.Reservation(
                number=r.number,
                request_id=r.request_id,
                budget=r.budget,
                bound_tokens=r.bound_tokens,
                owner=r.owner,
            )
            for r in batch.reservations
        ],
        settlements=[
            pb.Settlement(number=s.number, used_tokens=s.used_tokens) for s in batch.settlements
        ],
        posted=batch.posted,
        witness_incarnation=witness.incarnation,
    )


def batch_from_pb(message: pb.MirrorRequest) -> MirrorBatch:
    """Return a message as a batch."""
    return MirrorBatch(
        epoch=Epoch(message.epoch),
        number=message.batch,
        reservations=tuple(
            Reservation(
                number=r.number,
                request_id=r.request_id,
                budget=BudgetName(r.budget),
                bound_tokens=r.bound_tokens,
                lane=Lane.WITNESSED,
                owner=r.owner,
            )
            for r in message.reservations
        ),
        settlements=tuple(Settlement(s.number, s.used_tokens) for s in message.settlements),
        posted=tuple(message.posted),
    )
