"""Configuration of the gateway: routes, services and workspaces, with the route of a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from ..types import Region


class RequestKind(Enum):
    """Kind of a request, which decides whether it may be sent again."""

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
    """Destinations and rules for the requests of a host and path prefix.

    Parameters
    ----------
    objective_s
        Time within which a response, or the first event of a stream, has its full value.
    priority
        0 is the highest.
    attempts
        Maximum number of upstreams that one request is sent to.
    is_public
        Whether requests need no key.
    is_resumable
        Whether another upstream may continue a broken stream.
    homes
        Regions in which its requests may run; empty for any.
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
    homes: frozenset[Region] = frozenset()

    @property
    def may_run_twice(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def service_for(self, request_id: str) -> str:
        """Return the service of a request; retries with the same id go to the same service."""
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
    tokens_per_event
        Tokens that one event of a stream costs; 0 for a plain service.
    cold_start_s
        Time for which an upstream is cold after its start.
    cold_per_s
        Requests a second that a cold upstream bears; 0 if its upstreams are never cold.
    """

    name: str
    connection_limit: int = 100
    slots: int = 0
    tokens_per_event: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GatewayWorkspace:
    """A workspace: the keys of its callers and its prepaid total.

    Parameters
    ----------
    priority
        Overrides the priority of the route, if given.
    prepaid_tokens
        Total tokens that it may ever consume; None for no limit.
    homes
        Regions in which its requests may run; empty for any.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None
    homes: frozenset[Region] = frozenset()


def request_priority(route: Route, workspace: GatewayWorkspace | None) -> int:
    """Return the priority of a request: its workspace's, if that has one, else its route's."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and the timing of requests."""

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
        """Return the route of the host with the longest matching path prefix, or None."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> GatewayService:
        """Return a service by its name; one that is not described has the defaults."""
        return self.services.get(name) or GatewayService(name)

    def workspace_for(self, key: str) -> GatewayWorkspace | None:
        """Return the workspace of a caller's key, or None."""
        return self._by_key.get(key)
