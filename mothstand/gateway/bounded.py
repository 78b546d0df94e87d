"""Types of numbers in records that other writers choose, within what sums and messages hold."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

_MAX_INT32 = 2**31 - 1
_MAX_INT64 = 2**63 - 1

#: Below the limit of 64 bits, so that sums hold.
_MAX_SUMMAND = 2**60

#: Milliseconds that a duration holds.
_MAX_MILLISECONDS = 2**53

#: Seconds of some thousands of years.
_MAX_SECONDS = 1e11

Offset = Annotated[int, Field(ge=-1, le=_MAX_INT64)]
Count = Annotated[int, Field(ge=0, le=_MAX_SUMMAND)]
Priority = Annotated[int, Field(ge=-_MAX_INT32, le=_MAX_INT32)]
WholeNumber = Annotated[int, Field(ge=-_MAX_SUMMAND, le=_MAX_SUMMAND)]
Tokens = WholeNumber
UnixMilliseconds = Annotated[int, Field(ge=0, le=_MAX_MILLISECONDS)]
Seconds = Annotated[float, Field(ge=-_MAX_SECONDS, le=_MAX_SECONDS)]
Quantity = Annotated[float, Field(ge=0, le=1e15)]
