"""Decoders of the records that operators and upstreams write to the store."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from ..core.routes import (
    Destination,
    GatewayConfig,
    GatewayService,
    GatewayWorkspace,
    RequestKind,
    RequestLimits,
    Route,
)
from ..core.upstreams import RegisteredUpstream
from ..gateway.bounded import Offset, Priority, Quantity, Tokens, UnixMilliseconds, WholeNumber
from ..gateway.store import Stream
from ..types import DataCentre, Region

#: Stream and key of the operators' configuration.
CONFIG_STREAM = Stream("keyed.op")
CONFIG_KEY = "config"

#: Prefix of the operators' keys that evacuate a data centre; its name follows.
_EVACUATION_PREFIX = "evacuate/"

#: Stream in which upstreams register themselves, each under its own id.
UPSTREAMS_STREAM = Stream("keyed.servers")

_DRAINING = "draining"

#: Limits of a registration. Larger values would overflow in sums, in messages to peers or in log
#: lines.
_MAX_NAME_LENGTH = 200
_MAX_SLOTS = 1_000_000
_MAX_COLD_MS = 1e9
_MAX_PORT = 65_535

#: Valid ids of upstreams. An id is sent as a header's value, where a line break or a byte outside
#: of ASCII would make the request unreadable.
_UPSTREAM_ID_PATTERN = re.compile(r"[!-~]{1,200}")


class _Destination(BaseModel):
    service: str
    weight: Quantity


class _Route(BaseModel):
    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: Quantity
    # The latency objective for full credit, not a limit.
    goal_ms: Quantity = 0
    priority: Priority = 5
    # Exactly one of the two is set; `split` has a weight for each service.
    service: str = ""
    split: list[_Destination] = Field(default_factory=list)
    attempts: WholeNumber = 1
    public: bool = False
    resumable: bool = False
    home_regions: list[str] = Field(default_factory=list)


class _Engine(BaseModel):
    slots: WholeNumber = 0
    # Tokens in one event of a stream.
    stride: WholeNumber = 1


class _Service(BaseModel):
    name: str
    connection_limit: WholeNumber = 100
    engine: _Engine | None = None
    cold_start_s: Quantity = 0
    cold_per_s: Quantity = 0


class _Tenant(BaseModel):
    name: str
    keys: list[str] = Field(default_factory=list)
    priority: Priority | None = None
    # Running total of the tokens paid for, not the remainder.
    prepaid: Tokens | None = None
    home_regions: list[str] = Field(default_factory=list)


class _Limits(BaseModel):
    header_bytes: WholeNumber = 16384
    body_bytes: WholeNumber = 4_194_304
    header_timeout_ms: Quantity = 3000
    idle_timeout_ms: Quantity = 15000


class _Config(BaseModel):
    version: Offset
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    limits: _Limits = Field(default_factory=_Limits)
    tenants: list[_Tenant] = Field(default_factory=list)


class _Server(BaseModel):
    """An upstream's registration; others may write here, so no value is converted or guessed."""

    model_config = ConfigDict(strict=True)

    service: str = Field(min_length=1, max_length=_MAX_NAME_LENGTH)
    address: str
    zone: str = Field(min_length=1, max_length=_MAX_NAME_LENGTH)
    version: str = Field(max_length=_MAX_NAME_LENGTH)
    slots: int = Field(gt=0, le=_MAX_SLOTS)
    state: Literal["ready", "draining"]
    # Number of heartbeats since the process started.
    sequence: int
    cold_remaining_ms: float = Field(ge=-_MAX_COLD_MS, le=_MAX_COLD_MS)
    # Unix time of the start in milliseconds, a whole number; some upstreams omit it.
    born: UnixMilliseconds = 0

    @field_validator("address")
    @classmethod
    def _check_address(cls, address: str) -> str:
        ip, _, port = address.partition(":")
        IPv4Address(ip)
        if not re.fullmatch("[0-9]{1,5}", port) or not 0 < int(port) <= _MAX_PORT:
            raise ValueError(f"the port must be from 1 to {_MAX_PORT}, not {port[:20]!r}")
        return address


def decode_config(data: bytes) -> GatewayConfig:
    """Decode the operators' configuration.

    Raises
    ------
    ValueError
        Naming the fields at fault.
    """
    try:
        wire = _Config.model_validate_json(data)
    except ValidationError as error:
        raise ValueError(f"not a configuration: {_error_summary(error)}") from error
    return GatewayConfig(
        version=wire.version,
        routes=tuple(_route(route) for route in wire.routes),
        services={service.name: _service(service) for service in wire.services},
        workspaces={
            t.name: GatewayWorkspace(
                t.name, tuple(t.keys), t.priority, t.prepaid, _regions(t.home_regions)
            )
            for t in wire.tenants
        },
        limits=RequestLimits(
            header_bytes=wire.limits.header_bytes,
            body_bytes=wire.limits.body_bytes,
            header_timeout_s=wire.limits.header_timeout_ms / 1000,
            idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(wire: _Route) -> Route:
    destinations = tuple(Destination(d.service, d.weight) for d in wire.split)
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        kind=wire.kind,
        timeout_s=wire.timeout_ms / 1000,
        objective_s=wire.goal_ms / 1000,
        priority=wire.priority,
        destinations=destinations or (Destination(wire.service, 1.0),),
        attempts=max(1, wire.attempts),
        is_public=wire.public,
        is_resumable=wire.resumable,
        homes=_regions(wire.home_regions),
    )


def _regions(names: list[str]) -> frozenset[Region]:
    return frozenset(Region(name) for name in names)


def _service(wire: _Service) -> GatewayService:
    engine = wire.engine
    return GatewayService(
        wire.name,
        wire.connection_limit,
        slots=0 if engine is None else engine.slots,
        tokens_per_event=0 if engine is None else engine.stride,
        cold_start_s=wire.cold_start_s,
        cold_per_s=wire.cold_per_s,
    )


def evacuated_data_centre(key: str) -> DataCentre | None:
    """Return the data centre that an operators' key evacuates, or None for other keys."""
    name = key.removeprefix(_EVACUATION_PREFIX)
    return DataCentre(name) if name and name != key else None


def decode_upstream(upstream_id: str, data: bytes) -> RegisteredUpstream:
    """Decode an upstream's registration.

    Raises
    ------
    ValueError
        Naming the fields at fault.
    """
    if not _UPSTREAM_ID_PATTERN.fullmatch(upstream_id):
        raise ValueError(f"not a registration: {upstream_id!r} cannot be an upstream's id")
    try:
        wire = _Server.model_validate_json(data)
    except ValidationError as error:
        raise ValueError(f"not a registration: {_error_summary(error)}") from error
    return RegisteredUpstream(
        upstream_id=upstream_id,
        service=wire.service,
        address=wire.address,
        data_centre=DataCentre(wire.zone),
        slots=wire.slots,
        is_draining=wire.state == _DRAINING,
        born_ms=wire.born,
        cold_s=wire.cold_remaining_ms / 1000,
        version=wire.version,
    )


def _error_summary(error: ValidationError) -> str:
    """Return the first three errors: for each the field and what is wrong, without the input."""
    faults = error.errors(include_url=False, include_input=False, include_context=False)[:3]
    return "; ".join(f"{'.'.join(map(str, f['loc']))}: {f['msg']}" for f in faults)
