"""Decoder of what upstreams report of themselves."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, ValidationError

from ..gateway.bounded import UnixMilliseconds

#: Path at which an upstream reports its state without using a slot.
REPORT_PATH = "/report"


class _Report(BaseModel):
    """The reported fields that the gateway reads."""

    model_config = ConfigDict(strict=True)

    # Unix time of the start in milliseconds; some upstreams omit it.
    born: UnixMilliseconds | None = None


def decode_born_ms(data: bytes) -> int | None:
    """Return the Unix time of an upstream's start in milliseconds, or None if it is not reported.

    Raises
    ------
    ValueError
        If the report cannot be read.
    """
    try:
        return _Report.model_validate_json(data).born
    except ValidationError as error:
        raise ValueError(f"not a report: {error.error_count()} faults") from error
