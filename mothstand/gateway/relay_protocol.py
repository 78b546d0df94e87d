"""Headers between an instance that cannot reach an upstream and the peer that relays for it.

A relayed request is the request as it would be sent to the upstream, with the headers of a
`RelayedAttempt`. The answer is the upstream's, with the header of a `RelayOutcome`; without an
answer of the upstream, that header says what is known of the attempt.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

from ..core.suspects import SuspectId
from ..core.upstreams import UpstreamKey
from .headers import without_headers

if TYPE_CHECKING:
    from .headers import RawHeaders

_UPSTREAM = "Mothstand-Relay-Upstream"
_BORN_MS = "Mothstand-Relay-Born"
_DIGEST = "Mothstand-Relay-Digest"
_KNOWN_CRASHES = "Mothstand-Relay-Crashes"
_VERSION = "Mothstand-Relay-Version"
_SENDER = "Mothstand-Relay-Sender"
_OUTCOME = "Mothstand-Relay-Outcome"

_ATTEMPT_HEADERS = frozenset(
    name.lower() for name in (_UPSTREAM, _BORN_MS, _VERSION, _DIGEST, _KNOWN_CRASHES, _SENDER)
)


class RelayOutcome(Enum):
    """What the relaying peer knows of an attempt; the values are those of the header."""

    ANSWERED = "answered"
    #: The upstream's answer has no length and ends with its connection.
    ANSWERED_UNFRAMED = "answered unframed"
    #: The peer takes no further request, or does not use this upstream; nothing was sent.
    REJECTED = "rejected"
    #: The peer could not connect to this upstream.
    NOT_CONNECTED = "not connected"
    #: The peer cannot connect to any upstream of the service.
    PARTITIONED = "partitioned"
    #: The upstream refused the request without running it.
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    #: The connection to the upstream broke; the request may have run.
    BROKEN = "broken"
    #: The request may have run.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RelayedAttempt:
    """An attempt that a peer makes for another instance.

    Parameters
    ----------
    sender
        Name of the instance that has the request.
    digest, known_crashes
        Digest of the request, and the number of upstreams known to have crashed during it.
    version
        Software version of the upstream as the sender knows it; None from a sender that does not
        say.
    """

    upstream: UpstreamKey
    sender: str
    digest: SuspectId
    known_crashes: int
    version: str | None = None

    def headers(self) -> RawHeaders:
        """Return the headers that describe the attempt."""
        headers: RawHeaders = (
            (_UPSTREAM, self.upstream.upstream_id),
            (_BORN_MS, str(self.upstream.born_ms)),
            (_DIGEST, self.digest),
            (_KNOWN_CRASHES, str(self.known_crashes)),
            (_SENDER, self.sender),
        )
        if self.version is None:
            return headers
        # Encoded, as any text may be a version.
        return (*headers, (_VERSION, quote(self.version)))


def read_attempt(headers: RawHeaders) -> RelayedAttempt:
    """Return the attempt that a peer's headers describe.

    Raises
    ------
    ValueError
        If a header is missing or invalid; the message names it.
    """
    values = {name.lower(): value for name, value in headers}
    try:
        key = UpstreamKey(values[_UPSTREAM.lower()], int(values[_BORN_MS.lower()]))
        return RelayedAttempt(
            key,
            values[_SENDER.lower()],
            SuspectId(values[_DIGEST.lower()]),
            int(values[_KNOWN_CRASHES.lower()]),
            unquote(values[_VERSION.lower()]) if _VERSION.lower() in values else None,
        )
    except KeyError as error:
        raise ValueError(f"header {error} is missing: send all headers of the attempt") from error


def without_attempt(headers: RawHeaders) -> RawHeaders:
    """Return the headers without those of an attempt."""
    return tuple(without_headers(headers, _ATTEMPT_HEADERS))


def with_outcome(headers: RawHeaders, outcome: RelayOutcome) -> RawHeaders:
    """Return the headers of an answer with the outcome; one that an upstream sent is replaced."""
    return (*without_outcome(headers), (_OUTCOME, outcome.value))


def without_outcome(headers: RawHeaders) -> RawHeaders:
    """Return the headers of an answer without the outcome."""
    return tuple(without_headers(headers, frozenset({_OUTCOME.lower()})))


def read_outcome(headers: RawHeaders) -> RelayOutcome:
    """Return the outcome in the headers of an answer; unknown if there is none."""
    value = next((v for name, v in headers if name.lower() == _OUTCOME.lower()), "")
    try:
        return RelayOutcome(value)
    except ValueError:
        return RelayOutcome.UNKNOWN
