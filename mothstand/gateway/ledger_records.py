"""Encodes and decodes claims and renewals of instances as records of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from ..core.claims import Claim, Holder
from ..core.loans import Peer
from ..core.renewals import Renewal
from ..types import BudgetName
from .bounded import Quantity, Seconds, Tokens
from .store import KeyedRecord, Stream

if TYPE_CHECKING:
    from ..types import Shard

#: The fleet's own topic in the platform's store.
CLAIMS_TOPIC = "keyed.mothstand-claims"

_CLAIM_KEY = "claim/"
_INSTANCE_KEY = "instance/"


class _ClaimValue(BaseModel):
    """Value of a claim's record; the record's key only has to be unique."""

    budget: str
    instance: str
    incarnation: str
    claimed: Tokens
    base: Tokens
    window: Tokens
    spent: Tokens
    demand: Quantity
    held: Tokens = 0


class _InstanceValue(BaseModel):
    """Value of a renewal: an instance's latest start, its address and the time of writing."""

    instance: str
    incarnation: str
    address: str
    wall_s: Seconds


def claims_stream(shard: Shard) -> Stream:
    """Return the stream of a shard's claims."""
    return Stream(CLAIMS_TOPIC, shard)


def encode_claim(claim: Claim) -> KeyedRecord:
    """Return a claim as a record."""
    value = _ClaimValue(
        budget=claim.budget,
        instance=claim.holder.instance,
        incarnation=claim.holder.incarnation,
        claimed=claim.claimed_tokens,
        base=claim.base_tokens,
        window=claim.window_tokens,
        spent=claim.spent_tokens,
        demand=round(claim.demand_tokens_per_s, 1),
        held=claim.held_tokens,
    )
    key = f"{_CLAIM_KEY}{claim.budget}/{claim.holder.instance}/{claim.holder.incarnation}"
    return KeyedRecord(key, value.model_dump_json().encode())


def encode_renewal(renewal: Renewal) -> KeyedRecord:
    """Return an instance's renewal as a record."""
    peer = renewal.peer
    value = _InstanceValue(
        instance=peer.instance,
        incarnation=peer.incarnation,
        address=peer.address,
        wall_s=round(renewal.wall_s, 3),
    )
    return KeyedRecord(_INSTANCE_KEY + peer.instance, value.model_dump_json().encode())


def is_renewal(record: KeyedRecord) -> bool:
    """Return whether a record is an instance's renewal."""
    return record.key.startswith(_INSTANCE_KEY)


def decode(record: KeyedRecord) -> Claim | Renewal:
    """Return the claim or renewal of a record.

    Raises
    ------
    ValueError
        If the record is invalid; the message contains its key.
    """
    try:
        if is_renewal(record):
            return _renewal(_InstanceValue.model_validate_json(record.value or b""), record.offset)
        return _claim(_ClaimValue.model_validate_json(record.value or b""))
    except ValidationError as error:
        raise ValueError(f"{record.key!r}: {error.error_count()} faults") from error


def _renewal(value: _InstanceValue, offset: int) -> Renewal:
    peer = Peer(value.instance, value.incarnation, value.address)
    return Renewal(peer, value.wall_s, offset)


def _claim(value: _ClaimValue) -> Claim:
    return Claim(
        budget=BudgetName(value.budget),
        holder=Holder(value.instance, value.incarnation),
        claimed_tokens=value.claimed,
        base_tokens=value.base,
        window_tokens=value.window,
        spent_tokens=value.spent,
        demand_tokens_per_s=value.demand,
        held_tokens=value.held,
    )
