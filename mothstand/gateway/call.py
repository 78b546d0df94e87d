"""A caller's request on its way through an instance, and where its answer goes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.claims import NO_USAGE, Usage
from ..core.event_stream import StreamProgress
from ..core.request_digest import RequestDigest, request_digest

if TYPE_CHECKING:
    from ..core.quarantine import Probe
    from ..core.routes import Route
    from .headers import CallerFields, RawHeaders
    from .upstream_client import OutgoingRequest


class CallerGoneError(Exception):
    """The caller has closed its connection; nobody reads the rest of the answer."""


class CallerConnection(ABC):
    """Where an answer goes; each call raises `CallerGoneError` once nobody is there."""

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
    """A caller's request on its way.

    Parameters
    ----------
    deadline_s
        On the monotonic clock: when caller or route gives up.
    sent
        Attempts that reached an upstream or may have.
    has_retry
        Whether its next attempt has been taken from the retry budget already.
    reserved_after_s, started_after_s
        From the arrival until its tokens were set aside, and until its answer began.
    attempt_began_s
        When the latest attempt was begun, on the monotonic clock.
    upstream_id, registrations_age_s
        Where it was sent last, and how old what was known of the upstreams was then; None if the
        store had never been heard.
    known_ends
        Upstreams that were known to have ended under the same request when the latest attempt
        began.
    is_broken
        Whether the latest attempt ended with its connection.
    is_full
        Whether the upstream of the latest attempt had no room for it.
    trial
        By which it is sent though it is quarantined; None as a rule.
    """

    fields: CallerFields
    headers: RawHeaders
    route: Route
    service: str
    workspace: str
    priority: int
    request: OutgoingRequest
    arrived_s: float
    deadline_s: float
    sent_attempts: int = 0
    refusals: int = 0
    has_retry: bool = False
    tried_upstreams: set[str] = field(default_factory=set)
    progress: StreamProgress = field(default_factory=StreamProgress)
    failed_answer: CompleteAnswer | None = None
    reserved_after_s: float = 0.0
    started_after_s: float = 0.0
    attempt_began_s: float = 0.0
    upstream_id: str = ""
    registrations_age_s: float | None = None
    known_crashes: int = 0
    is_connection_broken: bool = False
    is_upstream_full: bool = False
    probe: Probe | None = None
    _digest: RequestDigest | None = None

    @property
    def digest(self) -> RequestDigest:
        """What is equal of this request and another one if they are the same, sent again."""
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
    def attempts_summary(self) -> str:
        """What became of its attempts, for its refusal's log line."""
        tried = (
            f"{len(self.tried_upstreams)} tried, {self.sent_attempts} sent, {self.refusals} refused"
        )
        return f"{self.service}: {tried}"

    def usage(self, event_tokens: int, *, is_answered: bool) -> Usage:
        """Return what the request consumed: its prompt once, and the output passed on.

        Parameters
        ----------
        is_answered
            Whether anything of an upstream's answer was passed on: only then it surely ran. A run
            may begin, and its answer be lost, so what was sent and gave nothing stays in doubt.
        """
        if not self.sent_attempts:
            return NO_USAGE
        tokens = self.fields.prompt.input_tokens + self.progress.sent_events * event_tokens
        return Usage(tokens, tokens if is_answered else 0)


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An upstream's answer that was read to its end."""

    status: int
    reason: str
    headers: RawHeaders
    body: bytes
