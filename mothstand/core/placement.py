"""Which upstream gets a request: where its prompt is cached, unless the queue there costs more.

The load that this answers: prompts of thousands of tokens, of which a few large leading parts are
shared by all and the next part by a session. Reading a prompt again costs the request that time,
and delays the next token of everything that runs beside it.
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
    """Constants of the choice.

    Parameters
    ----------
    cached_s
        How long a part that was sent to an upstream is taken to be cached there.
    running_tokens
        What one running request weighs against tokens that wait to be read: its decoding slows
        the others' steps by a little.
    far_tokens
        What another data centre weighs, in the same unit: three running requests. A cached prompt
        of thousands goes before, but a short question, which no other upstream may go on with,
        stays where no cut between data centres can break it: 3.7 to 5.7 % of a day's requests
        failed when this broke ties only, 3.2 to 4.9 % now (five days with cuts).
    full_s
        An upstream that had no room is left alone for this long: a few requests end meanwhile.
    suspend_first_s, suspend_most_s
        An upstream that failed is left alone for this long, doubled with each failure in a row.
    """

    cache_lifetime_s: float = 8.0
    running_request_tokens: float = 300.0
    remote_tokens: float = 1000.0
    full_pause_s: float = 0.1
    suspend_first_s: float = 0.5
    suspend_max_s: float = 4.0


@dataclass(slots=True)
class _UpstreamState:
    """Own observations of one upstream."""

    running: int = 0
    unread_tokens: float = 0.0
    failures: int = 0
    suspended_until_s: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class PlacedRequest:
    """A request at an upstream, as the placement counts it."""

    upstream: RegisteredUpstream
    unread_tokens: float
    is_reading_prompt: bool = True


#: Parts remembered for each upstream; the oldest are dropped above this.
_MAX_PARTS = 2000


@dataclass(slots=True)
class Placement:
    """Chooses upstreams and keeps count of what this instance sent there."""

    data_centre: DataCentre
    policy: PlacementPolicy = field(default_factory=PlacementPolicy)
    _states: dict[UpstreamKey, _UpstreamState] = field(default_factory=dict)

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
            What requests have in common that should meet at one upstream; for a request without a
            prompt anything.
        tried
            Upstreams that this request has failed at.
        """
        candidates = [u for u in upstreams if u.upstream_id not in tried]
        healthy = [u for u in candidates if self._state(u).suspended_until_s <= now_s]
        # Where all are suspended a wrong suspicion costs more than another failure.
        candidates = healthy or candidates
        if not candidates:
            return None
        home = max(candidates, key=lambda u: _weight(u, subject)) if prompt.parts else None
        return min(candidates, key=lambda u: self._cost(u, prompt, u is home, subject, now_s))

    def note_started(
        self, upstream: RegisteredUpstream, prompt: Prompt, now_s: float
    ) -> PlacedRequest:
        """Count a request that is being sent."""
        state = self._state(upstream)
        unread = self._unread_tokens(state, prompt, now_s)
        state.running += 1
        state.unread_tokens += unread
        for part in prompt.parts:
            state.parts.pop(part.part_id, None)
            state.parts[part.part_id] = now_s
        while len(state.parts) > _MAX_PARTS:
            del state.parts[next(iter(state.parts))]
        return PlacedRequest(upstream, unread)

    def note_prompt_read(self, placed: PlacedRequest) -> None:
        """Note that an upstream has read a request's prompt: its first token came."""
        if placed.is_reading_prompt:
            placed.is_reading_prompt = False
            self._state(placed.upstream).unread_tokens -= placed.unread_tokens

    def note_ended(self, placed: PlacedRequest) -> None:
        """Count a request's end, whatever it was."""
        self.note_prompt_read(placed)
        self._state(placed.upstream).running -= 1

    def note_success(self, upstream: RegisteredUpstream) -> None:
        """Note that an upstream answered."""
        state = self._state(upstream)
        state.failures = 0
        state.suspended_until_s = 0.0

    def note_failure(self, upstream: RegisteredUpstream, now_s: float) -> float:
        """Note that an upstream failed; return for how long it is left alone."""
        state = self._state(upstream)
        pause_s = min(self.policy.suspend_max_s, self.policy.suspend_first_s * 2**state.failures)
        state.failures += 1
        state.suspended_until_s = now_s + pause_s
        return pause_s

    def note_full(self, upstream: RegisteredUpstream, now_s: float) -> None:
        """Note that an upstream had no room just now."""
        state = self._state(upstream)
        state.suspended_until_s = max(state.suspended_until_s, now_s + self.policy.full_pause_s)

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop what is known of an upstream that has gone."""
        self._states.pop(upstream.key, None)

    def _state(self, upstream: RegisteredUpstream) -> _UpstreamState:
        return self._states.setdefault(upstream.key, _UpstreamState())

    def _unread_tokens(self, state: _UpstreamState, prompt: Prompt, now_s: float) -> float:
        """Return the prompt's tokens behind its leading parts that were sent there lately."""
        unread = prompt.input_tokens
        for part in prompt.parts:
            if now_s - state.parts.get(part.part_id, float("-inf")) > self.policy.cache_lifetime_s:
                break
            unread -= part.tokens
        return max(0, unread)

    def _cost(
        self,
        upstream: RegisteredUpstream,
        prompt: Prompt,
        is_home: bool,
        subject: str,
        now_s: float,
    ) -> tuple[float, int]:
        state = self._state(upstream)
        unread = self._unread_tokens(state, prompt, now_s)
        if is_home and len(prompt.parts) > 1:
            # Other instances send the same session here, too.
            unread = min(unread, prompt.parts[-1].tokens)
        cost = unread + state.unread_tokens + state.running * self.policy.running_request_tokens
        if upstream.data_centre != self.data_centre:
            cost += self.policy.remote_tokens
        return cost, -_weight(upstream, subject)


def _weight(upstream: RegisteredUpstream, subject: str) -> int:
    """Return the rendezvous weight: all instances prefer the same upstream for a subject."""
    return rendezvous_weight(subject, upstream.upstream_id)


def session_key(prompt: Prompt, request_id: str) -> str:
    """Return what the request shares with others: its last shared part, else its own id."""
    if len(prompt.parts) > 1:
        return prompt.parts[-2].part_id
    return prompt.parts[0].part_id if prompt.parts else request_id
