"""A caller's request while an instance handles it, and the connection for its answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.claims import NO_USAGE, Usage
from ..core.event_stream import StreamProgress
from ..core.request_digest import request_digest
from ..core.suspects import Suspect, SuspectId, part_suspects

if TYPE_CHECKING:
    from ..core.quarantine import Probe
    from ..core.routes import GatewayService, Route
    from ..core.stream_origins import StreamOrigin
    from ..types import Region
    from .headers import CallerFields, RawHeaders
    from .prefill_scheduling import PrefillLease
    from .upstream_client import OutgoingRequest

#: Maximum parts of a prompt in a log line, and maximum characters of each: callers may send any.
_MAX_LOGGED_PARTS = 16
_MAX_LOGGED_PART_ID = 32


class CallerGoneError(Exception):
    """The caller closed its connection before the answer was complete."""


class CallerConnection(ABC):
    """Connection that an answer is sent on.

    Each method may raise `CallerGoneError` after the caller has disconnected.
    """

    is_started = False

    @abstractmethod
    async def start(self, status: int, reason: str, headers: RawHeaders) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""

    @abstractmethod
    async def finish(self) -> None:
        """End a streamed answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """End a streamed answer so that it does not look complete."""

    @abstractmethod
    async def send_complete(
        self, status: int, reason: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Send an answer in one piece."""


@dataclass(slots=True)
class Call:
    """State of a caller's request while it is handled.

    Parameters
    ----------
    deadline_s
        Time on the monotonic clock at which the caller or the route times out.
    sent_attempts
        Attempts that reached or may have reached an upstream.
    tried_upstreams, unconnected_upstreams
        Upstreams of the attempts up to now, and those of them that a peer may still reach.
    unconnected_attempts
        Attempts that reached no upstream, not even one that refused.
    relay
        Peer through which the latest attempt was made; empty for a direct one.
    has_awaited_relay
        Whether the request has already waited for a peer to be found.
    has_retry
        Whether the retry budget has already been charged for the next attempt.
    reserved_after_s, started_after_s
        Time from arrival until the tokens were reserved, and until the answer began.
    longest_gap_s
        Longest time between two events of the answer.
    prefill_hold_s
        Time for which it was held until its engine could read its prompt.
    prefill_lease
        Reservation of its engine's time; None for a prompt that is not long.
    attempt_began_s
        Start of the latest attempt on the monotonic clock.
    answering_since_s
        Time of the first bytes of the latest attempt's body on the monotonic clock; None before.
    upstream_id, upstream_version, registrations_age_s
        Upstream of the latest attempt, the version of its software, and the age of the
        registrations at that time; None if the store had never been read.
    known_crashes
        Number of upstreams that were known to have crashed under each suspect of the request when
        the latest attempt began; suspects without any are not contained.
    has_survived
        Whether the latest attempt has shown that the parts of its prompt crash no upstream.
    is_connection_broken
        Whether the connection broke in the latest attempt.
    is_upstream_full
        Whether the upstream of the latest attempt had no capacity.
    probes
        The probes as which a quarantined request is sent, one for each quarantined suspect.
    permitted_regions
        Regions in which the request may run; None for any.
    origin
        Where the stream began; None before its first event.
    exclusions
        Upstreams that could not be chosen for the latest attempt, by reason; for the log.
    rate_limit_retry_s
        Seconds until an upstream that is excluded by its rate limit alone may get a request again;
        None if there is none.
    """

    fields: CallerFields
    headers: RawHeaders
    route: Route
    service: GatewayService
    workspace: str
    priority: int
    request: OutgoingRequest
    arrived_s: float
    deadline_s: float
    sent_attempts: int = 0
    refusals: int = 0
    has_retry: bool = False
    tried_upstreams: set[str] = field(default_factory=set)
    unconnected_upstreams: set[str] = field(default_factory=set)
    unconnected_attempts: int = 0
    relay: str = ""
    has_awaited_relay: bool = False
    progress: StreamProgress = field(default_factory=StreamProgress)
    failed_answer: CompleteAnswer | None = None
    reserved_after_s: float = 0.0
    started_after_s: float = 0.0
    longest_gap_s: float = 0.0
    prefill_hold_s: float = 0.0
    prefill_lease: PrefillLease | None = None
    attempt_began_s: float = 0.0
    answering_since_s: float | None = None
    upstream_id: str = ""
    upstream_version: str = ""
    registrations_age_s: float | None = None
    known_crashes: dict[SuspectId, int] = field(default_factory=dict)
    has_survived: bool = False
    is_connection_broken: bool = False
    is_upstream_full: bool = False
    probes: tuple[Probe, ...] = ()
    permitted_regions: frozenset[Region] | None = None
    origin: StreamOrigin | None = None
    exclusions: str = ""
    rate_limit_retry_s: float | None = None
    _digest: SuspectId | None = None
    _part_suspects: tuple[Suspect, ...] | None = None

    def __post_init__(self) -> None:
        """Begin a resumption after the event that its caller has."""
        if self.is_resumption:
            self.progress.last_event_id = self.fields.last_event_id

    @property
    def is_resumption(self) -> bool:
        """Whether the caller continues a stream of which it has events."""
        return self.route.is_resumable and bool(self.fields.last_event_id)

    @property
    def digest(self) -> SuspectId:
        """Digest that is the same for repetitions of a request."""
        if self._digest is None:
            self._digest = request_digest(
                workspace=self.workspace,
                host=self.fields.host,
                method=self.request.method,
                target=self.request.target,
                body=self.request.body,
            )
        return self._digest

    @property
    def part_suspects(self) -> tuple[Suspect, ...]:
        """Parts of the prompt that may crash upstreams."""
        if self._part_suspects is None:
            self._part_suspects = part_suspects(self.fields.prompt)
        return self._part_suspects

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """What may crash upstreams: first the request itself."""
        return (Suspect(self.digest), *self.part_suspects)

    @property
    def logged_parts(self) -> list[str]:
        """Ids of the parts of the prompt that other requests may have, shortened for the log."""
        parts = self.fields.prompt.shareable_parts[:_MAX_LOGGED_PARTS]
        return [part.part_id[:_MAX_LOGGED_PART_ID] for part in parts]

    @property
    def attempts_summary(self) -> str:
        """Summary of the attempts, for the log line of a refusal."""
        tried = (
            f"{len(self.tried_upstreams)} tried, {self.sent_attempts} sent, {self.refusals} refused"
        )
        excluded = f"; excluded: {self.exclusions}" if self.exclusions else ""
        return f"{self.service.name}: {tried}{excluded}"

    def usage(self, event_tokens: int, *, is_answered: bool) -> Usage:
        """Return the tokens used: the prompt once, and the output passed on.

        Parameters
        ----------
        is_answered
            Whether any part of an upstream's answer was passed on, which confirms that it ran.
            Otherwise the tokens are uncertain if it was sent: it may have run and its answer
            been lost.
        """
        if not self.sent_attempts:
            return NO_USAGE
        tokens = self.fields.prompt.input_tokens + self.progress.sent_events * event_tokens
        return Usage(tokens, tokens if is_answered else 0)


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """Upstream answer that was read to its end."""

    status: int
    reason: str
    headers: RawHeaders
    body: bytes
