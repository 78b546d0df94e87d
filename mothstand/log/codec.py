"""Log records as JSON: one append carries an array of records of one author."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, TypeAdapter, ValidationError

from ..core.records import Record

_BATCH: TypeAdapter[tuple[Record, ...]] = TypeAdapter(
    tuple[Annotated[Record, Field(discriminator="kind")], ...]
)


def encode(records: tuple[Record, ...]) -> bytes:
    """Return records as the payload of one append."""
    return _BATCH.dump_json(records)


def decode(payload: bytes) -> tuple[Record, ...]:
    """Return the records of one append.

    Raises
    ------
    ValueError
        If the payload is not an array of known records. Every reader skips it alike.
    """
    try:
        return _BATCH.validate_json(payload)
    except ValidationError as error:
        raise ValueError(f"not records of this log: {error.error_count()} faults") from error
