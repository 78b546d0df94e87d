"""Where streams may go on: only at the service and the software version that began them.

What two versions of an upstream's software write does not fit together, and upstreams do not check
it. So a stream that has an event is bound to its origin, within an answer and over all tries of its
caller. An instance that does not know the origin of a stream may only assume one if the stream can
have no other.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .routes import Destination, GatewayConfig, Route
    from .upstreams import RegisteredUpstream

#: Digest of a workspace and the id of one of its requests.
StreamKey = NewType("StreamKey", bytes)

_KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class OriginPolicy:
    """Limits on what is remembered of streams.

    Parameters
    ----------
    retention_s
        Time for which the origin of a stream and a version without upstreams are remembered; longer
        than callers continue a stream that broke off.
    max_streams
        Maximum streams that an instance remembers of its own, and of peers.
    """

    retention_s: float = 60.0
    max_streams: int = 20_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version of the upstream that sent the first event of a stream."""

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """Origin of the stream whose first event a request brought."""

    key: StreamKey
    origin: StreamOrigin


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """A software version of a service, and the seconds since an upstream of it was registered."""

    service: str
    version: str
    age_s: float


def stream_key(workspace: str, request_id: str) -> StreamKey:
    """Return the key of a request; ids of other workspaces and long ids have keys of their own."""
    text = f"{len(workspace)}:{workspace}{request_id}".encode("utf-8", "surrogateescape")
    return StreamKey(blake2b(text, digest_size=_KEY_BYTES).digest())


@dataclass(slots=True)
class _KnownOrigin:
    """Origin that is known of a request; None if reports contradict each other."""

    origin: StreamOrigin | None
    noted_s: float


@dataclass(slots=True)
class OriginTable:
    """Origins of recent streams, bounded in time and number.

    Parameters
    ----------
    dropped
        Streams that were forgotten early because there were too many.
    """

    policy: OriginPolicy = field(default_factory=OriginPolicy)
    dropped: int = 0
    _known: dict[StreamKey, _KnownOrigin] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._known)

    def add(self, record: OriginRecord, now_s: float) -> None:
        """Remember the origin of a stream from now on; drop the oldest if there are too many.

        Callers choose the ids. If they use one for two streams, neither is known.
        """
        self._expire(now_s)
        known = self._known.pop(record.key, None)
        is_contradicted = known is not None and known.origin != record.origin
        origin = None if is_contradicted else record.origin
        self._known[record.key] = _KnownOrigin(origin, now_s)
        if len(self._known) > self.policy.max_streams:
            del self._known[next(iter(self._known))]
            self.dropped += 1

    def find(self, key: StreamKey, now_s: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None."""
        self._expire(now_s)
        known = self._known.get(key)
        return None if known is None else known.origin

    def remove(self, key: StreamKey) -> None:
        """Forget a stream."""
        self._known.pop(key, None)

    def records(self, now_s: float) -> Iterator[OriginRecord]:
        """Iterate over the known origins, the oldest first."""
        self._expire(now_s)
        for key, known in self._known.items():
            if known.origin is not None:
                yield OriginRecord(key, known.origin)

    def _expire(self, now_s: float) -> None:
        while self._known:
            key, oldest = next(iter(self._known.items()))
            if now_s - oldest.noted_s <= self.policy.retention_s:
                return
            del self._known[key]


@dataclass(slots=True)
class Coverage:
    """Time since which all changes are known. What a process has not read may still have been.

    Parameters
    ----------
    since_s
        Infinite before the first reading.
    """

    since_s: float = math.inf

    def note_gap(self, now_s: float) -> None:
        """Record that changes before now may be unknown."""
        self.since_s = now_s

    def note_history_read(self) -> None:
        """Record that earlier changes are known too, as far as they matter."""
        self.since_s = -math.inf

    def covers(self, span_s: float, now_s: float) -> bool:
        """Return whether all changes of the last `span_s` seconds are known."""
        return now_s - self.since_s >= span_s


@dataclass(slots=True)
class RecentVersions:
    """Software versions that upstreams of each service have, or had within the retention time.

    Parameters
    ----------
    coverage
        Since when the registrations are known.
    """

    policy: OriginPolicy = field(default_factory=OriginPolicy)
    coverage: Coverage = field(default_factory=Coverage)
    _seen_s: dict[str, dict[str, float]] = field(default_factory=dict)

    def is_complete(self, now_s: float) -> bool:
        """Return whether all versions of the retention time are known."""
        return self.coverage.covers(self.policy.retention_s, now_s)

    def services(self) -> list[str]:
        """Return the services of which versions are known."""
        return list(self._seen_s)

    def observe(self, upstreams: Iterable[RegisteredUpstream], now_s: float) -> None:
        """Record the versions of all registered upstreams."""
        for upstream in upstreams:
            self.note(upstream.service, upstream.version, now_s)

    def note(self, service: str, version: str, seen_s: float) -> None:
        """Record that a service had an upstream of a version."""
        versions = self._seen_s.setdefault(service, {})
        versions[version] = max(seen_s, versions.get(version, seen_s))

    def versions(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service."""
        return frozenset(version.version for version in self.seen(service, now_s))

    def seen(self, service: str, now_s: float) -> list[SeenVersion]:
        """Return the versions of a service with the times since they were seen."""
        versions = self._seen_s.get(service, {})
        for version in [v for v, s in versions.items() if now_s - s > self.policy.retention_s]:
            del versions[version]
        return [SeenVersion(service, v, max(0.0, now_s - s)) for v, s in versions.items()]


#: Host and path prefix of a route.
_RouteKey = tuple[str, str]


@dataclass(slots=True)
class RouteChanges:
    """Routes whose streams may have begun at other services within the retention time.

    Parameters
    ----------
    coverage
        Since when the configurations are known.
    """

    policy: OriginPolicy = field(default_factory=OriginPolicy)
    coverage: Coverage = field(default_factory=Coverage)
    _destinations: dict[_RouteKey, tuple[Destination, ...]] = field(default_factory=dict)
    _changed_s: dict[_RouteKey, float] = field(default_factory=dict)

    def apply(self, config: GatewayConfig, now_s: float) -> bool:
        """Compare a configuration with the one before; return whether requests go elsewhere now."""
        before = self._destinations
        now = {(r.host.lower(), r.path_prefix): r.destinations for r in config.routes}
        self._destinations = now
        if not before:
            if self.coverage.since_s == math.inf:
                self.coverage.note_gap(now_s)
            return False
        changed = {
            route
            for route in now
            if now[route] != before.get(route) and any(a in before for a in _containing(route))
        }
        removed = before.keys() - now.keys()
        # Requests of a removed route go to the one that contains it, or to it when it is back.
        changed |= {a for route in removed for a in _containing(route)}
        self._changed_s = {
            route: changed_s
            for route, changed_s in self._changed_s.items()
            if now_s - changed_s <= self.policy.retention_s
        } | dict.fromkeys(changed, now_s)
        return bool(changed)

    def is_recent(self, route: Route, now_s: float) -> bool:
        """Return whether streams of a route may have begun under other destinations."""
        if not self.coverage.covers(self.policy.retention_s, now_s):
            return True
        changed_s = self._changed_s.get((route.host.lower(), route.path_prefix))
        return changed_s is not None and now_s - changed_s <= self.policy.retention_s

    def are_settled(self, now_s: float) -> bool:
        """Return whether no route is known, or may be suspected, to have changed recently."""
        return self.coverage.covers(self.policy.retention_s, now_s) and all(
            now_s - changed_s > self.policy.retention_s for changed_s in self._changed_s.values()
        )


def _containing(route: _RouteKey) -> Iterator[_RouteKey]:
    """Iterate over a route and all possible routes of its host that contain its paths."""
    host, prefix = route
    for position, character in enumerate(prefix):
        if character == "/":
            yield host, prefix[: position + 1]


@dataclass(slots=True)
class LookupLimit:
    """Bounds the questions to peers, since callers may send any number of resumptions."""

    max_per_s: int = 200
    _began_s: float = float("-inf")
    _used: int = 0

    def try_use(self, now_s: float) -> bool:
        """Return whether another question may be asked, and count it."""
        if now_s - self._began_s >= 1.0:
            self._began_s = now_s
            self._used = 0
        self._used += 1
        return self._used <= self.max_per_s


def only_possible_origin(service: str | None, versions: frozenset[str]) -> StreamOrigin | None:
    """Return the origin of a stream of which nothing is known, if it can have no other.

    Parameters
    ----------
    service
        Service that the stream's first request went to; None if there may be several.
    versions
        Versions that the service has, or had since the stream can have begun.
    """
    if service is None or len(versions) != 1:
        return None
    return StreamOrigin(service, next(iter(versions)))
