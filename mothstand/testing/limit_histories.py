"""Random histories of a fleet whose upstreams name rate limits, in simulated time.

The instances run the real decision; announcements, requests and upstreams are simulated. The check
counts arrivals as the operators do.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from ..core.fleet import FleetView, Member
from ..core.loans import Peer
from ..core.rate_limits import LimitNotice, RateLimitPolicy, RateLimits
from ..core.sender_quota import SenderQuota
from ..core.upstreams import RegisteredUpstream
from ..types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Callable

_DATA_CENTRE = DataCentre("sto-a")

#: The operators' terms: time from an upstream's first naming to the bound, window, and the time
#: for which an instance has passed on such an answer.
_STABLE_WINDOW_S = 3.0
_WINDOW_S = 4.0
_PASSED_ON_S = 0.5

_LATENCY_S = (0.02, 1.2)
_UPSTREAMS = 3


class LimitFault(Enum):
    """Fault that is planted in the instances, to show that the check finds it."""

    NONE = "none"
    EACH_ALONE = "each instance sends at the whole rate"
    IGNORES_LIMITS = "limits are not obeyed"


class _EachAlone(RateLimitPolicy):
    def quota(self, rate_per_s: float, fleet_size: int) -> SenderQuota:
        return SenderQuota(fleet_size, rate_per_s)


class _Ignored(RateLimitPolicy):
    def quota(self, rate_per_s: float, fleet_size: int) -> SenderQuota:
        return SenderQuota(fleet_size, 1e9)


_POLICIES = {
    LimitFault.NONE: RateLimitPolicy(),
    LimitFault.EACH_ALONE: _EachAlone(),
    LimitFault.IGNORES_LIMITS: _Ignored(),
}


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Fleet, load and disruptions of a history.

    Parameters
    ----------
    limited_from_s, limited_to_s
        Time in which the first upstream names `limit_per_s`; the second one does a second later.
    disruptions
        Number of kills, cuts from the store and added instances, at random times.
    """

    instances: int
    limit_per_s: float
    requests_per_s: float
    duration_s: float = 40.0
    limited_from_s: float = 10.0
    limited_to_s: float = 30.0
    disruptions: int = 0
    fault: LimitFault = LimitFault.NONE


@dataclass(slots=True)
class _Instance:
    name: str
    limits: RateLimits
    is_killed: bool = False
    is_cut_off: bool = False
    disturbed_until_s: float = 0.0
    read_to_s: float = -1.0
    named_since_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Announcement:
    at_s: float
    notices: tuple[LimitNotice, ...]


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    instance: _Instance
    is_counted: bool


@dataclass(slots=True)
class LimitResult:
    """What the upstreams got.

    Parameters
    ----------
    worst_share
        Most counted arrivals in a window, as a share of what is allowed.
    limited_arrivals
        Arrivals at limited upstreams while they named their limit.
    blocked_at_end
        Instances that still send nothing to the first upstream at the end.
    """

    requests: int = 0
    refused: int = 0
    worst_share: float = 0.0
    limited_arrivals: int = 0
    blocked_at_end: int = 0


class LimitHistory:
    """One history."""

    def __init__(self, settings: LimitSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(f"limits {seed}")
        self._now_s = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._announcements: dict[str, _Announcement] = {}
        self._instances: list[_Instance] = []
        self._arrivals: dict[str, list[_Arrival]] = {}
        self._upstreams = [
            RegisteredUpstream(f"u-{n}", "llm", f"10.0.0.{n}:1", _DATA_CENTRE, 8, False)
            for n in range(_UPSTREAMS)
        ]
        self.result = LimitResult()

    def run(self) -> LimitResult:
        """Play the history and return its counts."""
        settings = self._settings
        for number in range(settings.instances):
            self._at(self._rng.uniform(0.0, 0.3), partial(self._start, f"i-{number}"))
        for _ in range(settings.disruptions):
            self._at(self._rng.uniform(1.0, settings.duration_s - 5.0), self._disrupt)
        self._at(1.0, self._send_request)
        while self._events and self._events[0][0] <= settings.duration_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        self.result.blocked_at_end = sum(
            not i.limits.may_send(self._upstreams[0], self._now_s)
            for i in self._instances
            if not i.is_killed
        )
        return self.result

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self._now_s + delay_s, action)

    def _start(self, name: str) -> None:
        view = FleetView(Member(Peer(name, str(self._now_s), f"{name}:1"), _DATA_CENTRE))
        limits = RateLimits(view, _POLICIES[self._settings.fault])
        instance = _Instance(name, limits, disturbed_until_s=self._now_s + _STABLE_WINDOW_S)
        self._instances.append(instance)
        self._poll(instance)
        self._after(0.6, lambda: self._poll_on(instance))

    def _poll_on(self, instance: _Instance) -> None:
        if instance.is_killed:
            return
        self._poll(instance)
        self._after(instance.limits.fleet.announce_interval_s, lambda: self._poll_on(instance))

    def _poll(self, instance: _Instance) -> None:
        """Read all announcements, then announce."""
        if instance.is_cut_off:
            return
        fleet = instance.limits.fleet
        for name, announcement in self._announcements.items():
            if announcement.at_s <= instance.read_to_s:
                continue
            member = Member(Peer(name, "", f"{name}:1"), _DATA_CENTRE)
            fleet.apply_announcement(member, self._now_s)
            if name != instance.name:
                instance.limits.apply_notices(announcement.notices, self._now_s)
        fleet.expire_members(self._now_s)
        instance.read_to_s = self._now_s
        notices = instance.limits.notices(self._now_s)
        self._announcements[instance.name] = _Announcement(self._now_s, notices)

    def _disrupt(self) -> None:
        running = [i for i in self._instances if not i.is_killed]
        if not running:
            return
        instance = self._rng.choice(running)
        kind = self._rng.choice(("kill", "cut", "add"))
        if kind == "add":
            self._start(f"added-{len(self._instances)}")
        elif kind == "kill":
            instance.is_killed = True
            self._after(self._rng.uniform(0.5, 6.0), lambda: self._start(instance.name))
        else:
            for_s = self._rng.uniform(1.0, 8.0)
            instance.is_cut_off = True
            self._after(for_s, lambda: self._end_cut(instance))

    def _end_cut(self, instance: _Instance) -> None:
        instance.is_cut_off = False

    def _limit_per_s(self, upstream: RegisteredUpstream) -> float | None:
        number = self._upstreams.index(upstream)
        settings = self._settings
        is_limited = settings.limited_from_s <= self._now_s - number < settings.limited_to_s
        return settings.limit_per_s if number < _UPSTREAMS - 1 and is_limited else None

    def _send_request(self) -> None:
        self._after(self._rng.expovariate(self._settings.requests_per_s), self._send_request)
        running = [i for i in self._instances if not i.is_killed]
        if not running:
            return
        # A fifth of the requests come to one instance.
        instance = running[0] if self._rng.random() < 0.2 else self._rng.choice(running)
        self.result.requests += 1
        candidates = [u for u in self._upstreams if instance.limits.may_send(u, self._now_s)]
        if not candidates:
            self.result.refused += 1
            return
        upstream = self._rng.choice(candidates)
        instance.limits.note_sent(upstream, self._now_s)
        self._after(0.002, lambda: self._arrive(instance, upstream))

    def _arrive(self, instance: _Instance, upstream: RegisteredUpstream) -> None:
        named_since_s = instance.named_since_s.get(upstream.upstream_id)
        is_counted = (
            named_since_s is not None
            and self._now_s >= named_since_s + _PASSED_ON_S
            and self._now_s >= instance.disturbed_until_s
        )
        arrivals = self._arrivals.setdefault(upstream.upstream_id, [])
        arrivals.append(_Arrival(self._now_s, instance, is_counted))
        self._check(upstream, arrivals)
        self._after(self._rng.uniform(*_LATENCY_S), lambda: self._answer(instance, upstream))

    def _check(self, upstream: RegisteredUpstream, arrivals: list[_Arrival]) -> None:
        settings = self._settings
        if self._limit_per_s(upstream) is None:
            return
        self.result.limited_arrivals += 1
        began_s = settings.limited_from_s + self._upstreams.index(upstream)
        if self._now_s < began_s + _STABLE_WINDOW_S:
            return
        in_window = [
            a
            for a in arrivals
            if a.is_counted and a.at_s > self._now_s - _WINDOW_S and not a.instance.is_killed
        ]
        allowed = 1.5 * settings.limit_per_s * _WINDOW_S + 5
        self.result.worst_share = max(self.result.worst_share, len(in_window) / allowed)

    def _answer(self, instance: _Instance, upstream: RegisteredUpstream) -> None:
        if instance.is_killed:
            return
        limit_per_s = self._limit_per_s(upstream)
        instance.limits.note_answer(upstream, limit_per_s, self._now_s)
        if limit_per_s is None:
            instance.named_since_s.pop(upstream.upstream_id, None)
        else:
            instance.named_since_s.setdefault(upstream.upstream_id, self._now_s)
