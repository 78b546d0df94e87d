"""Typed fields of request and answer headers, independent of their names on the wire."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.prompt import Prompt

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Header names and values as sent on the wire.
RawHeaders = tuple[tuple[str, str], ...]

#: Maximum characters of a caller's id that are logged.
_MAX_LOGGED_ID = 64


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Fields of a caller's headers.

    Parameters
    ----------
    deadline_s
        Time that the caller waits; None if not given.
    last_event_id
        Last event that the caller has received of the stream; empty for a new stream.
    resumes
        Id of the request with which the caller got the first event of the stream; empty for a new
        stream, or if the caller does not name it.
    """

    request_id: str
    host: str
    key: str
    deadline_s: float | None
    last_event_id: str
    prompt: Prompt = field(default_factory=Prompt)
    resumes: str = ""

    @property
    def logged_resumes(self) -> str:
        """The resumed request's id, shortened for log lines: callers may send any text."""
        return self.resumes[:_MAX_LOGGED_ID]


@dataclass(frozen=True, slots=True)
class ForwardFields:
    """Fields of the headers that the gateway adds to a request for an upstream."""

    upstream_id: str
    workspace: str
    remaining_s: float
    priority: int
    last_event_id: str


@dataclass(frozen=True, slots=True)
class UpstreamFields:
    """Fields of the headers of an upstream's answer.

    Parameters
    ----------
    request_id
        Id of the request that the answer belongs to; empty if it has none, all of them if it names
        several.
    has_not_run
        Whether the upstream reports that it did not run the request.
    is_misdirected
        Whether a process other than the addressed upstream answered.
    has_status_of_refusal
        Whether a caller takes the status alone for a promise that the request has not run.
    closes_connection
        Whether the upstream closes the connection after the answer.
    rate_limit_per_s
        Requests a second that the upstream accepts from all instances; None if it names no limit.
    invalid_rate_limit
        A limit that is not a number of requests a second, as received; empty for none.
    """

    request_id: str
    has_not_run: bool
    is_misdirected: bool
    closes_connection: bool
    rate_limit_per_s: float | None = None
    invalid_rate_limit: str = ""
    has_status_of_refusal: bool = False

    def answers(self, request_id: str) -> bool:
        """Return whether the answer belongs to a request.

        Without ids, only an answer that promises nothing can be taken for the request's own.
        """
        if self.request_id != request_id:
            return False
        return bool(request_id) or not (self.has_not_run or self.is_misdirected)


class HeaderTranslator(ABC):
    """Converts between wire headers and typed fields."""

    @abstractmethod
    def read_caller(self, headers: RawHeaders) -> CallerFields:
        """Return the fields of a caller's headers.

        Raises
        ------
        ValueError
            If a value is invalid; the message names the header and the value.
        """

    @abstractmethod
    def to_upstream(self, headers: RawHeaders, fields: ForwardFields) -> RawHeaders:
        """Return the headers to send to an upstream."""

    @abstractmethod
    def relayed_to_upstream(self, headers: RawHeaders, elapsed_s: float) -> RawHeaders:
        """Return the headers to send to an upstream with a request of another instance.

        Parameters
        ----------
        headers
            Headers that `to_upstream` of the other instance returned, as received.
        elapsed_s
            Time for which this instance has had the request, subtracted from its deadline.
        """

    @abstractmethod
    def read_upstream(self, status: int, headers: RawHeaders) -> UpstreamFields:
        """Return the fields of the headers of an upstream's answer."""

    @abstractmethod
    def to_caller(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers to send to a caller with an upstream's answer."""

    @abstractmethod
    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a refusal by the gateway."""


def without_headers(
    headers: Iterable[tuple[str, str]], names: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers without those of the given lower-case names."""
    return [(name, value) for name, value in headers if name.lower() not in names]
