"""Routes, services and workspaces of the gateway, and the choice of the route of a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import xxhash


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and what may be done with them.

    Parameters
    ----------
    objective_s
        A response within this time, or a stream's first event, earns its full worth.
    priority
        0 is the most urgent.
    attempts
        Upstreams that one request may be sent to.
    public
        Whether requests need no key.
    resumable
        Whether another upstream may go on with a broken stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    destinations: tuple[Destination, ...]
    attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def may_run_twice(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def service_for(self, request_id: str) -> str:
        """Return the service of one request; a request's own retries stay with it."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        total = sum(d.weight for d in self.destinations)
        point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total
        for destination in self.destinations:
            point -= destination.weight
            if point < 0:
                return destination.service
        return self.destinations[-1].service


@dataclass(frozen=True, slots=True)
class GatewayService:
    """A service behind the gateway.

    Parameters
    ----------
    event_tokens
        Tokens that one event of a stream counts for; 0 for a plain service.
    """

    name: str
    connection_limit: int
    slots: int = 0
    tokens_per_event: int = 0


@dataclass(frozen=True, slots=True)
class GatewayWorkspace:
    """A workspace: its callers' keys and its prepaid total.

    Parameters
    ----------
    priority
        Goes before the route's, where given.
    prepaid_tokens
        Total of all that it may ever consume; None for no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of what a caller may send."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, GatewayService]
    workspaces: dict[str, GatewayWorkspace]
    limits: RequestLimits
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False, compare=False)
    _by_key: dict[str, GatewayWorkspace] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        # Longest prefix first, so that the first match is the longest one.
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            by_host.setdefault(route.host.lower(), []).append(route)
        by_key = {key: w for w in self.workspaces.values() for key in w.keys}
        object.__setattr__(self, "_by_host", {h: tuple(r) for h, r in by_host.items()})
        object.__setattr__(self, "_by_key", by_key)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def workspace_for(self, key: str) -> GatewayWorkspace | None:
        """Return the workspace that holds a caller's key, or None."""
        return self._by_key.get(key)
