"""JSON encoding of log records; one append holds an array of records of one author."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, TypeAdapter, ValidationError

from ..core.records import Record

_BATCH: TypeAdapter[tuple[Record, ...]] = TypeAdapter(
    tuple[Annotated[Record, Field(discriminator="kind")], ...]
)


def encode(records: tuple[Record, ...]) -> bytes:
    """Encode records as the payload of one append."""
    return _BATCH.dump_json(records)


def decode(payload: bytes) -> tuple[Record, ...]:
    """Decode the records of one append.

    Raises
    ------
    ValueError
        If the payload is not an array of known records. All readers skip such a payload.
    """
    try:
        return _BATCH.validate_json(payload)
    except ValidationError as error:
        raise ValueError(f"not records of this log: {error.error_count()} errors") from error
