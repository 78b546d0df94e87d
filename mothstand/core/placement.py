"""Choice of the upstream of a request: where its prompt is cached, unless the queue costs more.

Prompts have thousands of tokens; a few large leading parts are shared by all requests and the next
part by a session. Reading a prompt again delays the request itself and the next token of every
request that runs at the same upstream.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..types import DataCentre
    from .prompt import Prompt
    from .upstreams import RegisteredUpstream, UpstreamKey


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Weights and times of the placement decision.

    Parameters
    ----------
    cache_lifetime_s
        Time for which a part that was sent to an upstream is assumed to be cached there.
    running_request_tokens
        Cost of one running request in tokens to read: its decoding slows down the steps of other
        requests a little.
    remote_tokens
        Cost of using another data centre in the same unit: three running requests. A cached prompt
        of thousands of tokens outweighs it, but a short question, which no other upstream may
        continue, stays local, where a network cut between data centres cannot break it. Of a day's
        requests 3.7 to 5.7 % failed when distance only broke ties, 3.2 to 4.9 % with this cost
        (five days with cuts).
    full_pause_s
        Pause of an upstream that had no room; a few of its requests end in that time.
    suspend_first_s, suspend_max_s
        First and longest pause of an upstream that failed; doubles with each consecutive failure.
    """

    cached_s: float = 8.0
    running_tokens: float = 300.0
    far_tokens: float = 1000.0
    full_s: float = 0.1
    suspend_first_s: float = 0.5
    suspend_most_s: float = 4.0


@dataclass(slots=True)
class _Known:
    """Observations of one upstream by this instance."""

    running: int = 0
    unread_tokens: float = 0.0
    failures: int = 0
    suspended_until_s: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Placed:
    """A request sent to an upstream, with its prompt tokens that count as unread there."""

    upstream: RegisteredUpstream
    unread_tokens: float
    reading: bool = True


#: Maximum number of prompt parts remembered per upstream; the oldest are dropped.
_MOST_PARTS = 2000


@dataclass(slots=True)
class Placement:
    """Chooses upstreams, and tracks the requests that this instance sent to each."""

    data_centre: DataCentre
    policy: PlacementPolicy = field(default_factory=PlacementPolicy)
    _known: dict[UpstreamKey, _Known] = field(default_factory=dict)

    def choose(
        self,
        upstreams: Sequence[RegisteredUpstream],
        prompt: Prompt,
        subject: str,
        *,
        tried: frozenset[str],
        now_s: float,
    ) -> RegisteredUpstream | None:
        """Return the upstream for a request, or None if there is none.

        Parameters
        ----------
        subject
            Hash subject, equal for requests that should go to the same upstream; any value for a
            request without a prompt.
        tried
            Upstreams at which this request has failed.
        """
        candidates = [u for u in upstreams if u.upstream_id not in tried]
        healthy = [u for u in candidates if self._of(u).suspended_until_s <= now_s]
        # If all are suspended, use them: refusing the request costs more than another failure.
        candidates = healthy or candidates
        if not candidates:
            return None
        home = max(candidates, key=lambda u: _weight(u, subject)) if prompt.parts else None
        return min(candidates, key=lambda u: self._cost(u, prompt, u is home, subject, now_s))

    def started(self, upstream: RegisteredUpstream, prompt: Prompt, now_s: float) -> Placed:
        """Count a request that is about to be sent."""
        known = self._of(upstream)
        unread = self._unread_tokens(known, prompt, now_s)
        known.running += 1
        known.unread_tokens += unread
        for part in prompt.parts:
            known.parts.pop(part.part_id, None)
            known.parts[part.part_id] = now_s
        while len(known.parts) > _MOST_PARTS:
            del known.parts[next(iter(known.parts))]
        return Placed(upstream, unread)

    def read(self, placed: Placed) -> None:
        """Record that an upstream has read a request's prompt: the first token arrived."""
        if placed.reading:
            placed.reading = False
            self._of(placed.upstream).unread_tokens -= placed.unread_tokens

    def ended(self, placed: Placed) -> None:
        """Remove a request that ended, successful or not, from the counts."""
        self.read(placed)
        self._of(placed.upstream).running -= 1

    def succeeded(self, upstream: RegisteredUpstream) -> None:
        """Record an answer of an upstream, which ends its suspension."""
        known = self._of(upstream)
        known.failures = 0
        known.suspended_until_s = 0.0

    def failed(self, upstream: RegisteredUpstream, now_s: float) -> float:
        """Record a failure of an upstream; return the seconds for which it is suspended."""
        known = self._of(upstream)
        pause_s = min(self.policy.suspend_most_s, self.policy.suspend_first_s * 2**known.failures)
        known.failures += 1
        known.suspended_until_s = now_s + pause_s
        return pause_s

    def full(self, upstream: RegisteredUpstream, now_s: float) -> None:
        """Record that an upstream had no room for a request."""
        known = self._of(upstream)
        known.suspended_until_s = max(known.suspended_until_s, now_s + self.policy.full_s)

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._known.pop(upstream.key, None)

    def _of(self, upstream: RegisteredUpstream) -> _Known:
        return self._known.setdefault(upstream.key, _Known())

    def _unread_tokens(self, known: _Known, prompt: Prompt, now_s: float) -> float:
        """Return the tokens of a prompt after its leading parts that are cached at an upstream."""
        unread = prompt.input_tokens
        for part in prompt.parts:
            if now_s - known.parts.get(part.part_id, float("-inf")) > self.policy.cached_s:
                break
            unread -= part.tokens
        return max(0, unread)

    def _cost(
        self,
        upstream: RegisteredUpstream,
        prompt: Prompt,
        home: bool,
        subject: str,
        now_s: float,
    ) -> tuple[float, int]:
        known = self._of(upstream)
        unread = self._unread_tokens(known, prompt, now_s)
        if home and len(prompt.parts) > 1:
            # Other instances send the same session to this upstream, so its parts are cached.
            unread = min(unread, prompt.parts[-1].tokens)
        cost = unread + known.unread_tokens + known.running * self.policy.running_tokens
        if upstream.data_centre != self.data_centre:
            cost += self.policy.far_tokens
        return cost, -_weight(upstream, subject)


def _weight(upstream: RegisteredUpstream, subject: str) -> int:
    """Return the rendezvous weight: all instances prefer the same upstream for a subject."""
    return rendezvous_weight(subject, upstream.upstream_id)


def session_of(prompt: Prompt, request_id: str) -> str:
    """Return the key that requests of a session share: the last shared part, else the own id."""
    if len(prompt.parts) > 1:
        return prompt.parts[-2].part_id
    return prompt.parts[0].part_id if prompt.parts else request_id
