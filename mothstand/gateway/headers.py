"""What the gateway reads from and writes to headers, apart from the names they have on the wire."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.prompt import Prompt

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Header fields as they stand on the wire.
RawHeaders = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What a caller's headers say.

    Parameters
    ----------
    deadline_s
        How long the caller waits; None if it does not say.
    last_event_id
        The stream's last event that the caller has; empty for a new stream.
    """

    request_id: str
    host: str
    key: str
    deadline_s: float | None
    last_event_id: str
    prompt: Prompt = field(default_factory=Prompt)


@dataclass(frozen=True, slots=True)
class ForwardFields:
    """What the gateway tells an upstream with a request."""

    upstream_id: str
    workspace: str
    remaining_s: float
    priority: int
    last_event_id: str


@dataclass(frozen=True, slots=True)
class UpstreamFields:
    """What an upstream's headers say of its answer.

    Parameters
    ----------
    not_run
        The upstream's word that it did not run the request.
    misdirected
        Another process answered than the one that was meant.
    last
        Whether the upstream closes the connection after the answer.
    """

    request_id: str
    has_not_run: bool
    is_misdirected: bool
    closes_connection: bool


class HeaderTranslator(ABC):
    """Turns wire headers into typed fields and back."""

    @abstractmethod
    def read_caller(self, headers: RawHeaders) -> CallerFields:
        """Return what a caller says.

        Raises
        ------
        ValueError
            Naming the header and its bad value.
        """

    @abstractmethod
    def to_upstream(self, headers: RawHeaders, fields: ForwardFields) -> RawHeaders:
        """Return a caller's headers as an upstream gets them."""

    @abstractmethod
    def read_upstream(self, status: int, headers: RawHeaders) -> UpstreamFields:
        """Return what an upstream says of its answer."""

    @abstractmethod
    def to_caller(self, headers: RawHeaders) -> RawHeaders:
        """Return an upstream's headers as a caller gets them."""

    @abstractmethod
    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer of the gateway's own."""


def without_headers(
    headers: Iterable[tuple[str, str]], names: frozenset[str]
) -> list[tuple[str, str]]:
    """Return headers but for some, named in lower case."""
    return [(name, value) for name, value in headers if name.lower() not in names]
