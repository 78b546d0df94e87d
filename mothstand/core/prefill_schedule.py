"""Spreads the reading of long prompts over the engines of a service and in time.

An engine reads a prompt in chunks between the tokens of all running answers. A prompt of thousands
of tokens lengthens the pause of each of them by its whole reading time, and two that are read in a
row exceed the longest pause that callers accept. An instance sees only its own requests, one
of dozens, so it cannot know that an engine is reading another one's prompt.

The load that this answers: each engine reads a long prompt for a tenth to a half of the time, from
any instance. One scheduler for the engines of a data centre sees all of these prompts.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..types import DataCentre
    from .fleet import FleetView, Member
    from .prompt import Prompt
    from .upstreams import UpstreamKey


@dataclass(frozen=True, slots=True)
class PrefillPolicy:
    """Times and weights of the prefill schedule.

    Parameters
    ----------
    long_prompt_tokens
        Length from which a prompt is long: engines read some 2,000 tokens in a step, so a shorter
        one delays an answer there by one step, and a call for it would cost more than it gains.
    gap_s
        Time between two prompts at an engine, in which all its answers get an event.
    repeated_read_weight
        Additional cost of reading, in units of its time: it also delays all answers that run
        there. So a prompt waits for the engine that has it cached rather than be read again, unless
        the wait is longer than twice the difference.
    cache_lifetime_s
        Time for which a part that was read by an engine is assumed to be cached there.
    initial_s_per_token
        Reading time of a token before any was measured.
    latest_weight
        Weight of the latest measurement in the mean reading time.
    relative_time_bounds
        Range of an engine's reading time relative to the mean of all. A single measurement
        also holds what else ran at the engine; without bounds, a few of them would move sessions
        away from where they are cached.
    min_measured_tokens
        Prompts with fewer unread tokens say nothing about the reading speed.
    expiry_factor, min_expiry_s
        A reservation without a release ends after this multiple of its reading time, and not
        before the minimum.
    max_backlog_s
        Longest time that an engine's calendar reaches ahead. Requests that cannot wait that long
        are sent earlier, so longer calendars would not be kept.
    """

    long_prompt_tokens: int = 2500
    gap_s: float = 0.05
    repeated_read_weight: float = 1.0
    cache_lifetime_s: float = 8.0
    initial_s_per_token: float = 2.0e-5
    latest_weight: float = 0.2
    relative_time_bounds: tuple[float, float] = (0.7, 2.0)
    min_measured_tokens: int = 500
    expiry_factor: float = 3.0
    min_expiry_s: float = 0.5
    max_backlog_s: float = 2.0


@dataclass(frozen=True, slots=True)
class PrefillRequest:
    """A long prompt that is about to be sent.

    Parameters
    ----------
    candidates
        Upstreams that the instance can use, of one data centre; first the one that all instances
        prefer for the session.
    max_hold_s
        Longest time for which the instance can hold the request.
    """

    service: str
    request_id: str
    prompt: Prompt
    candidates: tuple[UpstreamKey, ...]
    max_hold_s: float


@dataclass(frozen=True, slots=True)
class PrefillGrant:
    """Where and when a prompt is to be read.

    Parameters
    ----------
    hold_s
        Time for which the instance holds the request before it sends it.
    read_s
        Predicted reading time.
    """

    upstream_id: str
    hold_s: float
    read_s: float


@dataclass(frozen=True, slots=True)
class PrefillEstimate:
    """When an engine could read a prompt, as the scheduler's calendar predicts it.

    Parameters
    ----------
    wait_s
        Time until the engine can begin.
    read_s
        Predicted reading time.
    cost
        The engine with the lowest cost is chosen.
    """

    wait_s: float
    read_s: float
    cost: float


@dataclass(slots=True)
class _Reservation:
    unread_tokens: int
    ends_s: float
    expires_s: float


#: Maximum number of prompt parts remembered for an engine; the oldest are dropped.
_MAX_PARTS = 2000


@dataclass(slots=True)
class _EngineState:
    """What the scheduler knows of one engine."""

    s_per_token: float
    parts: dict[str, float] = field(default_factory=dict)
    reservations: dict[str, _Reservation] = field(default_factory=dict)
    released_s: float = float("-inf")

    def expired(self, now_s: float) -> list[str]:
        """Return the requests whose reservations should have been released long ago."""
        return [name for name, r in self.reservations.items() if r.expires_s <= now_s]

    def free_s(self, now_s: float, gap_s: float) -> float:
        """Return the time from which the engine reads no reserved prompt."""
        ends_s = max(
            [
                self.released_s,
                *(r.ends_s for r in self.reservations.values() if r.expires_s > now_s),
            ]
        )
        return max(now_s, ends_s + gap_s)


class PrefillScheduler(ABC):
    """Chooses the engine and the start of each long prompt of some engines."""

    @abstractmethod
    def reserve(self, request: PrefillRequest, now_s: float) -> PrefillGrant | None:
        """Return where and when to read a prompt, or None without candidates."""

    @abstractmethod
    def release(self, request_id: str, *, read_s: float, now_s: float) -> None:
        """End a reservation.

        Parameters
        ----------
        read_s
            Measured reading time; 0 if the prompt was not read.
        """


@dataclass(slots=True)
class CalendarScheduler(PrefillScheduler):
    """Reads one long prompt at a time at each engine, at the one that is ready first."""

    policy: PrefillPolicy = field(default_factory=PrefillPolicy)
    _engines: dict[UpstreamKey, _EngineState] = field(default_factory=dict)
    _upstreams_by_request: dict[str, UpstreamKey] = field(default_factory=dict)

    def reserve(self, request: PrefillRequest, now_s: float) -> PrefillGrant | None:
        """Return where and when to read a prompt, or None without candidates."""
        if not request.candidates:
            return None
        for candidate in request.candidates:
            self._expire(self._engine(candidate), now_s)
        return self._book(request, _cheapest(self.estimates(request, now_s)), now_s)

    def estimates(
        self, request: PrefillRequest, now_s: float
    ) -> dict[UpstreamKey, PrefillEstimate]:
        """Return when each candidate could read a prompt; nothing is reserved or recorded."""
        return {
            upstream: self._estimate(upstream, request, now_s) for upstream in request.candidates
        }

    def preview(self, request: PrefillRequest, now_s: float) -> PrefillGrant | None:
        """Return what `reserve` would grant now; nothing is reserved or recorded."""
        if not request.candidates:
            return None
        estimates = self.estimates(request, now_s)
        upstream = _cheapest(estimates)
        hold_s = min(estimates[upstream].wait_s, self._longest_hold_s(request))
        return PrefillGrant(upstream.upstream_id, hold_s, estimates[upstream].read_s)

    def _estimate(
        self, upstream: UpstreamKey, request: PrefillRequest, now_s: float
    ) -> PrefillEstimate:
        engine = self._known_engine(upstream)
        read_s = self._read_s(engine, self._unread_tokens(engine, request, now_s))
        wait_s = engine.free_s(now_s, self.policy.gap_s) - now_s
        return PrefillEstimate(
            wait_s, read_s, wait_s + (1 + self.policy.repeated_read_weight) * read_s
        )

    def _longest_hold_s(self, request: PrefillRequest) -> float:
        return max(0.0, min(request.max_hold_s, self.policy.max_backlog_s))

    def release(self, request_id: str, *, read_s: float, now_s: float) -> None:
        """End a reservation."""
        upstream = self._upstreams_by_request.pop(request_id, None)
        engine = None if upstream is None else self._engines.get(upstream)
        reservation = None if engine is None else engine.reservations.pop(request_id, None)
        if engine is None or reservation is None or read_s <= 0:
            return
        engine.released_s = now_s
        if reservation.unread_tokens >= self.policy.min_measured_tokens:
            self._note_speed(engine, read_s / reservation.unread_tokens)

    def _note_speed(self, engine: _EngineState, s_per_token: float) -> None:
        usual = self._mean_s_per_token()
        lowest, highest = (factor * usual for factor in self.policy.relative_time_bounds)
        engine.s_per_token += self.policy.latest_weight * (s_per_token - engine.s_per_token)
        engine.s_per_token = min(highest, max(lowest, engine.s_per_token))

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the state of an upstream that is deregistered."""
        engine = self._engines.pop(upstream, None)
        for request_id in engine.reservations if engine is not None else ():
            self._upstreams_by_request.pop(request_id, None)

    def _book(self, request: PrefillRequest, upstream: UpstreamKey, now_s: float) -> PrefillGrant:
        engine = self._engine(upstream)
        unread = self._unread_tokens(engine, request, now_s)
        read_s = self._read_s(engine, unread)
        # A caller declares the length of its prompt, so the predicted time is bounded.
        read_s = min(read_s, self.policy.max_backlog_s)
        free_s = engine.free_s(now_s, self.policy.gap_s)
        hold_s = min(free_s - now_s, self._longest_hold_s(request))
        # A request that cannot wait is sent earlier, and read after those before it all the same.
        ends_s = min(free_s + read_s, now_s + 2 * self.policy.max_backlog_s)
        expires_after_s = max(self.policy.min_expiry_s, self.policy.expiry_factor * read_s)
        engine.reservations[request.request_id] = _Reservation(
            unread, ends_s, now_s + hold_s + expires_after_s
        )
        self._upstreams_by_request[request.request_id] = upstream
        for part in request.prompt.parts:
            engine.parts.pop(part.part_id, None)
            engine.parts[part.part_id] = now_s
        while len(engine.parts) > _MAX_PARTS:
            del engine.parts[next(iter(engine.parts))]
        return PrefillGrant(upstream.upstream_id, hold_s, read_s)

    def _expire(self, engine: _EngineState, now_s: float) -> None:
        for request_id in engine.expired(now_s):
            del engine.reservations[request_id]
            self._upstreams_by_request.pop(request_id, None)

    def _engine(self, upstream: UpstreamKey) -> _EngineState:
        state = self._engines.get(upstream)
        if state is None:
            state = _EngineState(self._mean_s_per_token())
            self._engines[upstream] = state
        return state

    def _known_engine(self, upstream: UpstreamKey) -> _EngineState:
        """Return the state of an engine for reading; an unknown one gets no entry."""
        return self._engines.get(upstream) or _EngineState(self._mean_s_per_token())

    def _mean_s_per_token(self) -> float:
        """Return the reading time of a token at engines that are known."""
        if not self._engines:
            return self.policy.initial_s_per_token
        return sum(e.s_per_token for e in self._engines.values()) / len(self._engines)

    def _read_s(self, engine: _EngineState, tokens: int) -> float:
        """Return the predicted reading time of some tokens."""
        return tokens * engine.s_per_token

    def _unread_tokens(self, engine: _EngineState, request: PrefillRequest, now_s: float) -> int:
        prompt = request.prompt
        unread = prompt.input_tokens
        for part in prompt.parts:
            read_s = engine.parts.get(part.part_id, float("-inf"))
            if now_s - read_s > self.policy.cache_lifetime_s:
                break
            unread -= part.tokens
        return max(0, unread)


def _cheapest(estimates: dict[UpstreamKey, PrefillEstimate]) -> UpstreamKey:
    """Return the candidate with the lowest cost; of equal ones the first, which is preferred."""
    return min(estimates, key=lambda upstream: estimates[upstream].cost)


def scheduler_member(
    fleet: FleetView, service: str, data_centre: DataCentre, *, avoided: frozenset[str]
) -> Member | None:
    """Return the instance that schedules the engines of a service in a data centre.

    Among the most capable instances of that data centre a rendezvous hash decides, so all
    instances with the same view of the fleet choose the same one. It takes a call for each long
    prompt, which is little for a large machine and much for a fraction of a core.

    Parameters
    ----------
    avoided
        Names of instances that did not answer recently.
    """
    members: Sequence[Member] = [*fleet.other_members(), fleet.local_member]
    usable = [m for m in members if m.peer.instance not in avoided]
    local = [m for m in usable if m.data_centre == data_centre] or usable
    if not local:
        return None
    most_cores = max(m.capacity.cores for m in local)
    capable = [m for m in local if m.capacity.cores >= most_cores]
    subject = f"prefill {service} {data_centre}"
    return max(capable, key=lambda m: rendezvous_weight(subject, m.peer.instance))
