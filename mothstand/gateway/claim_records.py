"""Claims as records of the store: one key for each budget and holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from ..core.claims import Claim, Holder
from ..types import BudgetName
from .store import KeyedRecord, Stream

if TYPE_CHECKING:
    from ..types import Shard

#: The fleet's own topic in the platform's store.
CLAIMS_TOPIC = "keyed.mothstand-claims"


class _Value(BaseModel):
    """A claim's value; the key has no room for long names, so they stand here."""

    budget: str
    instance: str
    incarnation: str
    claimed: int
    spent: int
    demand: float


def claims_stream(shard: Shard) -> Stream:
    """Return where a shard's claims stand."""
    return Stream(CLAIMS_TOPIC, shard)


def encode_claim(claim: Claim) -> KeyedRecord:
    """Return a claim as a record."""
    value = _Value(
        budget=claim.budget,
        instance=claim.holder.instance,
        incarnation=claim.holder.incarnation,
        claimed=claim.claimed_tokens,
        spent=claim.spent_tokens,
        demand=round(claim.demand_tokens_per_s, 1),
    )
    key = f"{claim.budget}/{claim.holder.instance}/{claim.holder.incarnation}"
    return KeyedRecord(key, value.model_dump_json().encode())


def decode_claim(record: KeyedRecord) -> Claim:
    """Return a record's claim.

    Raises
    ------
    ValueError
        Naming the key and what is wrong.
    """
    try:
        value = _Value.model_validate_json(record.value or b"")
    except ValidationError as error:
        raise ValueError(f"{record.key!r} holds no claim: {error.error_count()} faults") from error
    return Claim(
        budget=BudgetName(value.budget),
        holder=Holder(value.instance, value.incarnation),
        claimed_tokens=value.claimed,
        spent_tokens=value.spent,
        demand_tokens_per_s=value.demand,
    )
