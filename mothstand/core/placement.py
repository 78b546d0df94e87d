"""Choice of the upstream of a request: where its prompt is cached, unless the queue costs more.

Prompts have thousands of tokens; a few large leading parts are shared by all requests and the next
part by a session. Reading a prompt again delays the request itself and the next token of every
request that runs at the same upstream.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight
from .pace import UpstreamPaces

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

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
        continue, stays local, where a network cut between data centres cannot break it.
    cold_tokens
        Cost of using a cold upstream in the same unit: more than any prompt, so that a cold
        upstream is used only if no other one is left.
    full_pause_s
        Pause of an upstream that had no room; a few of its requests end in that time.
    suspend_first_s, suspend_max_s
        First and longest pause of an upstream that failed; doubles with each consecutive failure.
    """

    cache_lifetime_s: float = 8.0
    running_request_tokens: float = 300.0
    remote_tokens: float = 1000.0
    cold_tokens: float = 1e9
    full_pause_s: float = 0.1
    suspend_first_s: float = 0.5
    suspend_max_s: float = 4.0


@dataclass(slots=True)
class _UpstreamState:
    """Observations of one upstream by this instance."""

    running: int = 0
    unread_tokens: float = 0.0
    failures: int = 0
    suspended_until_s: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)


#: State of an upstream that was never used, for reading only.
_NO_STATE = _UpstreamState()


@dataclass(slots=True)
class PlacedRequest:
    """A request sent to an upstream, with its prompt tokens that count as unread there."""

    upstream: RegisteredUpstream
    unread_tokens: float
    is_reading_prompt: bool = True


@dataclass(frozen=True, slots=True)
class CandidateView:
    """What the placement of a request knows of one upstream.

    Parameters
    ----------
    running
        Requests of this instance that run there.
    unread_tokens
        Prompt tokens of these that the upstream has yet to read.
    suspended_for_s
        Remaining time of its suspension; 0 if it is not suspended.
    cached_tokens
        Tokens of the request's leading parts that this instance assumes to be cached there.
    cost
        Cost in tokens to read; the upstream with the lowest cost is chosen.
    is_home
        Whether all instances prefer it for the request's session.
    """

    upstream: RegisteredUpstream
    running: int
    unread_tokens: float
    suspended_for_s: float
    cached_tokens: int
    cost: float
    is_home: bool
    is_slow: bool
    is_chosen: bool


#: Weight of the latest request in the mean length of prompts.
_LATEST_PROMPT_WEIGHT = 0.05

#: Maximum number of prompt parts remembered per upstream; the oldest are dropped.
_MAX_PARTS = 2000


@dataclass(slots=True)
class Placement:
    """Chooses upstreams, and tracks the requests that this instance sent to each."""

    data_centre: DataCentre
    policy: PlacementPolicy = field(default_factory=PlacementPolicy)
    paces: UpstreamPaces = field(default_factory=UpstreamPaces)
    _states: dict[UpstreamKey, _UpstreamState] = field(default_factory=dict)
    _mean_prompt_tokens: dict[str, float] = field(default_factory=dict)

    def choose(
        self,
        upstreams: Sequence[RegisteredUpstream],
        prompt: Prompt,
        subject: str,
        *,
        tried_upstreams: frozenset[str],
        cold_upstreams: frozenset[str] = frozenset(),
        now_s: float,
    ) -> RegisteredUpstream | None:
        """Return the upstream for a request, or None if there is none.

        Parameters
        ----------
        subject
            Hash subject, equal for requests that should go to the same upstream; any value for a
            request without a prompt.
        tried_upstreams
            Upstreams at which this request has failed.
        cold_upstreams
            Upstreams that are cold and may get this request.
        """
        candidates = [u for u in upstreams if u.upstream_id not in tried_upstreams]
        # If all are suspended, use them: refusing a request because of a wrong suspension costs
        # more than another failure.
        candidates = self.unsuspended(candidates, now_s) or candidates
        if not candidates:
            return None
        home = self._home(candidates, prompt, subject, self.paces.slow_upstreams, now_s)
        return min(
            candidates,
            key=lambda u: self._cost(
                u, prompt, subject, is_home=u is home, cold_upstreams=cold_upstreams, now_s=now_s
            ),
        )

    def explain(
        self,
        upstreams: Sequence[RegisteredUpstream],
        prompt: Prompt,
        subject: str,
        *,
        cold_upstreams: frozenset[str] = frozenset(),
        now_s: float,
    ) -> list[CandidateView]:
        """Return what `choose` would decide on now and its choice; nothing is recorded."""
        candidates = self.unsuspended(upstreams, now_s) or list(upstreams)
        if not candidates:
            return []
        home = self._home(candidates, prompt, subject, self.paces.peek_slow_upstreams, now_s)
        slow_ids = self.paces.peek_slow_upstreams(upstreams, now_s)
        costs = {
            u.key: self._cost(
                u, prompt, subject, is_home=u is home, cold_upstreams=cold_upstreams, now_s=now_s
            )
            for u in upstreams
        }
        chosen = min(candidates, key=lambda u: costs[u.key])
        return [
            CandidateView(
                upstream=u,
                running=(state := self._known_state(u)).running,
                unread_tokens=state.unread_tokens,
                suspended_for_s=max(0.0, state.suspended_until_s - now_s),
                cached_tokens=int(prompt.input_tokens - self._unread_tokens(state, prompt, now_s)),
                cost=costs[u.key][0],
                is_home=u is home,
                is_slow=u.upstream_id in slow_ids,
                is_chosen=u is chosen,
            )
            for u in upstreams
        ]

    def note_started(
        self, upstream: RegisteredUpstream, prompt: Prompt, now_s: float
    ) -> PlacedRequest:
        """Count a request that is about to be sent."""
        mean = self._mean_prompt_tokens.get(upstream.service, prompt.input_tokens)
        mean += _LATEST_PROMPT_WEIGHT * (prompt.input_tokens - mean)
        self._mean_prompt_tokens[upstream.service] = mean
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
        """Record that an upstream has read a request's prompt: the first token arrived."""
        if placed.is_reading_prompt:
            placed.is_reading_prompt = False
            self._state(placed.upstream).unread_tokens -= placed.unread_tokens

    def note_ended(self, placed: PlacedRequest) -> None:
        """Remove a request that ended, successful or not, from the counts."""
        self.note_prompt_read(placed)
        self._state(placed.upstream).running -= 1

    def unsuspended(
        self, upstreams: Sequence[RegisteredUpstream], now_s: float
    ) -> list[RegisteredUpstream]:
        """Return the upstreams that are not suspended."""
        return [u for u in upstreams if self._known_state(u).suspended_until_s <= now_s]

    def note_success(self, upstream: RegisteredUpstream) -> None:
        """Record an answer of an upstream, which ends its suspension."""
        state = self._state(upstream)
        state.failures = 0
        state.suspended_until_s = 0.0

    def note_failure(self, upstream: RegisteredUpstream, now_s: float) -> float:
        """Record a failure of an upstream; return the seconds for which it is suspended."""
        state = self._state(upstream)
        pause_s = min(self.policy.suspend_max_s, self.policy.suspend_first_s * 2**state.failures)
        state.failures += 1
        state.suspended_until_s = now_s + pause_s
        return pause_s

    def note_full(self, upstream: RegisteredUpstream, now_s: float) -> None:
        """Record that an upstream had no room for a request."""
        state = self._state(upstream)
        state.suspended_until_s = max(state.suspended_until_s, now_s + self.policy.full_pause_s)

    def forget(self, upstream: RegisteredUpstream) -> None:
        """Drop the state of an upstream that is deregistered."""
        self._states.pop(upstream.key, None)
        self.paces.forget(upstream)

    def _home(
        self,
        candidates: Sequence[RegisteredUpstream],
        prompt: Prompt,
        subject: str,
        slow_upstreams: Callable[[Sequence[RegisteredUpstream], float], frozenset[str]],
        now_s: float,
    ) -> RegisteredUpstream | None:
        """Return the upstream that keeps the cached parts of a session, or None without parts.

        A session of longer prompts than usual has its home at an upstream that is not slow.
        """
        if not prompt.parts:
            return None
        service = candidates[0].service
        if prompt.input_tokens > self._mean_prompt_tokens.get(service, prompt.input_tokens):
            slow_ids = slow_upstreams(candidates, now_s)
            candidates = [u for u in candidates if u.upstream_id not in slow_ids] or candidates
        return max(candidates, key=lambda u: _weight(u, subject))

    def _state(self, upstream: RegisteredUpstream) -> _UpstreamState:
        return self._states.setdefault(upstream.key, _UpstreamState())

    def _known_state(self, upstream: RegisteredUpstream) -> _UpstreamState:
        """Return the state of an upstream for reading; an unknown one gets no entry."""
        return self._states.get(upstream.key, _NO_STATE)

    def _unread_tokens(self, state: _UpstreamState, prompt: Prompt, now_s: float) -> float:
        """Return the tokens of a prompt after its leading parts that are cached at an upstream."""
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
        subject: str,
        *,
        is_home: bool,
        cold_upstreams: frozenset[str],
        now_s: float,
    ) -> tuple[float, int]:
        state = self._known_state(upstream)
        unread = self._unread_tokens(state, prompt, now_s)
        if is_home and len(prompt.parts) > 1:
            # Other instances send the same session to this upstream, so its parts are cached.
            unread = min(unread, prompt.parts[-1].tokens)
        cost = unread + state.unread_tokens + state.running * self.policy.running_request_tokens
        if upstream.data_centre != self.data_centre:
            cost += self.policy.remote_tokens
        if upstream.upstream_id in cold_upstreams:
            cost += self.policy.cold_tokens
        return cost, -_weight(upstream, subject)


def _weight(upstream: RegisteredUpstream, subject: str) -> int:
    """Return the rendezvous weight: all instances prefer the same upstream for a subject."""
    return rendezvous_weight(subject, upstream.upstream_id)


def session_key(prompt: Prompt, request_id: str) -> str:
    """Return the key that requests of a session share: the last shared part, else the own id."""
    if len(prompt.parts) > 1:
        return prompt.parts[-2].part_id
    return prompt.parts[0].part_id if prompt.parts else request_id
