"""Random histories of streams and their resumptions during releases, in virtual time.

The instances run the real decisions on where streams go on. Registrations, links between instances,
upstreams and callers are simulated. The check counts streams that hold events of several origins.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import anyio

from ..core.fleet import FleetView, Member
from ..core.loans import Peer
from ..core.routes import Destination, GatewayConfig, RequestKind, RequestLimits, Route
from ..core.stream_origins import StreamOrigin
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..errors import RefusedError
from ..gateway.call import Call
from ..gateway.headers import CallerFields
from ..gateway.metrics import GatewayMetrics
from ..gateway.origin_log import OriginLog
from ..gateway.release_history import ReleaseHistory, StreamPositions
from ..gateway.resumptions import Resumptions
from ..gateway.store import Stream
from ..gateway.stream_origins import Lookup, OriginSource, StreamOrigins
from ..gateway.upstream_client import OutgoingRequest
from ..peers.failures import PeerError
from ..types import DataCentre
from .fakes import AnyProcess, UnreachablePeers
from .memory_store import MemoryStore, StoreLink
from .virtual_time import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from anyio.abc import TaskGroup

    from ..core.stream_origins import OriginRecord, StreamKey
    from ..gateway.lending import FoundOrigin

_T = TypeVar("_T")

_PEER_LATENCY_S = (0.001, 0.02)
_PEER_TIMEOUT_S = 0.25

#: Time after which instances read a registration or a configuration, while the store answers.
_READ_LAG_S = (0.02, 0.4)

_REGISTRATIONS_STREAM = Stream("registrations")
_FIRST_CONFIG = 1

_UPSTREAMS = 4
_EVENT_S = 0.1
_EVENTS = 20
_MAX_TRIES = 8
_RETRY_PAUSE_S = (0.1, 0.6)


class OriginFault(Enum):
    """Fault that is planted in the instances, to show that the checks find it."""

    NONE = "none"
    ANY_VERSION = "copies are not kept, and a stream of unknown origin goes on at any version"
    NO_COPIES = "origins are known only where streams began"
    NO_HISTORY = "what was not read since the start is taken for what has not been"


@dataclass(frozen=True, slots=True)
class OriginSettings:
    """Fleet, load and disruptions of a history.

    Parameters
    ----------
    services
        Services among which the route is split.
    kills, cuts, store_outages
        Number of each, at random times; a kill ends up to `killed_at_once` instances, a cut
        separates a data centre from the others.
    releases
        Number of releases of new software versions.
    store_cuts
        Number of times that one instance is cut off from the store, and killed in the end.
    deaths_of_all
        Number of times that all instances are killed at once and start again.
    compactions
        Number of times that the store drops the registrations' history.
    """

    instances: int = 6
    data_centres: int = 3
    services: int = 1
    streams_per_s: float = 20.0
    duration_s: float = 20.0
    kills: int = 3
    killed_at_once: int = 2
    cuts: int = 0
    store_outages: int = 0
    releases: int = 2
    moves: int = 0
    store_cuts: int = 0
    deaths_of_all: int = 0
    compactions: int = 0
    fault: OriginFault = OriginFault.NONE


@dataclass(slots=True)
class OriginResult:
    """What callers got.

    Parameters
    ----------
    joined
        Streams with events of several services or versions.
    resumed, continued
        Streams that callers took up again while two upstreams of their origin were registered, and
        those of them that went on.
    """

    streams: int = 0
    joined: int = 0
    resumed: int = 0
    continued: int = 0
    records_sent: int = 0
    lookups: int = 0

    @property
    def continued_share(self) -> float:
        """Share of the resumed streams that went on; 1 if there were none."""
        return self.continued / self.resumed if self.resumed else 1.0


@dataclass(slots=True)
class _Upstream:
    registered: RegisteredUpstream
    is_alive: bool = True


class _NoCopies(StreamOrigins):
    """Keeps no copies for peers."""

    def keep(self, records: object) -> None:
        pass


class _AnyVersion(_NoCopies):
    """Assumes that a stream of unknown origin began at some registered version; keeps no copies."""

    async def find(self, key: StreamKey, service: str) -> Lookup:
        lookup = await super().find(key, service)
        seen = self.versions.seen(service, anyio.current_time())
        if lookup.origin is None and seen:
            return Lookup(StreamOrigin(service, seen[-1].version), OriginSource.ONLY_POSSIBLE)
        return lookup


class _NoLog(OriginLog):
    """Finds no origins in the store."""

    async def read(self) -> list[OriginRecord]:
        return []


_LOGS = {
    OriginFault.NONE: OriginLog,
    OriginFault.ANY_VERSION: _NoLog,
    OriginFault.NO_COPIES: _NoLog,
    OriginFault.NO_HISTORY: _NoLog,
}

_ORIGINS = {
    OriginFault.NONE: StreamOrigins,
    OriginFault.ANY_VERSION: _AnyVersion,
    OriginFault.NO_COPIES: _NoCopies,
    OriginFault.NO_HISTORY: StreamOrigins,
}


class _Link(UnreachablePeers):
    """Calls of one instance to the others."""

    def __init__(self, history: OriginHistory, instance: _Instance) -> None:
        self._history = history
        self._instance = instance

    async def keep_origins(self, address: str, records: Sequence[OriginRecord]) -> None:
        """Send copies."""
        self._history.result.records_sent += len(records)
        await self._call(address, lambda peer: peer.origins.keep(records))

    async def find_origin(self, address: str, key: StreamKey, service: str) -> FoundOrigin:
        """Ask for an origin."""
        self._history.result.lookups += 1
        return await self._call(address, lambda peer: peer.origins.found_here(key, service))

    async def _call(self, address: str, answer: Callable[[_Instance], _T]) -> _T:
        history = self._history
        await anyio.sleep(history.rng.uniform(*_PEER_LATENCY_S))
        peer = history.instances[address]
        if not peer.is_alive:
            raise PeerError(f"{address}: refused")
        if history.is_separated(self._instance, peer):
            await anyio.sleep(_PEER_TIMEOUT_S)
            raise PeerError(f"{address}: no answer")
        return answer(peer)


class _Positions(StreamPositions):
    """How far an instance has read."""

    registrations_to: int | None = None
    config_version: int | None = None
    is_first_config = False

    def apply(self, registrations_to: int, config: GatewayConfig) -> None:
        """Note what has been read."""
        if self.config_version is None:
            self.is_first_config = config.version == _FIRST_CONFIG
        self.registrations_to = registrations_to
        self.config_version = config.version


def _decode(upstream_id: str, value: bytes) -> RegisteredUpstream:
    service, version = json.loads(value)
    return RegisteredUpstream(
        upstream_id, service, "e:1", DataCentre("dc0"), 8, False, 0, 0, version
    )


class _Instance:
    """One start of an instance."""

    def __init__(self, history: OriginHistory, name: str, data_centre: DataCentre) -> None:
        self.name = name
        self.data_centre = data_centre
        self.is_alive = True
        self.is_cut_off = False
        self.scope = anyio.CancelScope()
        self.directory = UpstreamDirectory()
        self.config = history.config
        self.fleet = FleetView(Member(Peer(name, "", name), data_centre))
        clock = VirtualClock()
        metrics = GatewayMetrics()
        self.store = StoreLink(history.store)
        self.origins = _ORIGINS[history.settings.fault](
            self.fleet,
            self.directory,
            _Link(history, self),
            _LOGS[history.settings.fault](self.store, self.fleet, clock, metrics),
            clock,
            metrics,
        )
        self.positions = _Positions()
        self.releases = ReleaseHistory(
            self.store,
            _REGISTRATIONS_STREAM,
            _decode,
            self.positions,
            self.origins,
            self.fleet,
            clock,
        )
        self.resumptions = Resumptions(self.origins, AnyProcess(), self.directory, clock)

    def read(
        self, upstreams: list[_Upstream], config: GatewayConfig, registrations_to: int
    ) -> None:
        """Apply what the store holds."""
        now_s = anyio.current_time()
        if self.positions.registrations_to is None:
            self.origins.versions.coverage.note_gap(now_s)
        self.positions.apply(registrations_to, config)
        self.directory.note_store_read(now_s, store_was_up=True)
        self.directory.replace_all([u.registered for u in upstreams], now_s)
        for upstream in upstreams:
            self.origins.note_upstream(upstream.registered)
        self.config = config
        self.origins.note_config(config)

    def choose(
        self, rng: random.Random, upstreams: dict[str, _Upstream], call: Call
    ) -> _Upstream | None:
        """Return a live upstream that the call may go to, or None."""
        accepting = self.directory.accepting_upstreams(call.service.name)
        usable = [
            upstreams[u.upstream_id]
            for u in accepting
            if upstreams[u.upstream_id].is_alive
            and (call.origin is None or u.version == call.origin.version)
        ]
        return rng.choice(usable) if usable else None


@dataclass(slots=True)
class _Stream:
    request_id: str
    data_centre: DataCentre
    origins: set[StreamOrigin] = field(default_factory=set)
    events: int = 0
    resumes: str = ""
    tries: int = 0


class OriginHistory:
    """One history."""

    def __init__(self, settings: OriginSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(f"origins {seed}")
        self.result = OriginResult()
        self.instances: dict[str, _Instance] = {}
        self.store = MemoryStore()
        self.config = self._make_config(equal=True)
        self._seed = seed
        self._upstreams: dict[str, _Upstream] = {}
        self._registered: dict[str, _Upstream] = {}
        self._release = 1
        self._cut_off: DataCentre | None = None
        self._is_store_away = False

    def run(self) -> OriginResult:
        """Play the history and return its counts."""
        return run_in_virtual_time(self._run, order=self._seed)

    def is_separated(self, one: _Instance, other: _Instance) -> bool:
        """Return whether a partition lies between two instances."""
        return one.data_centre != other.data_centre and self._cut_off in (
            one.data_centre,
            other.data_centre,
        )

    def _make_config(self, *, equal: bool = False) -> GatewayConfig:
        destinations = tuple(
            Destination(f"llm-{n}", 1.0 if equal else self.rng.choice((0.0, 1.0, 3.0)) + 0.01)
            for n in range(self.settings.services)
        )
        route = Route("r", "h", "/", RequestKind.STREAMING, 9, 1, 1, destinations, 2, False, True)
        version = _FIRST_CONFIG if equal else self.config.version + 1
        return GatewayConfig(version, (route,), {}, {}, RequestLimits())

    async def _run(self) -> OriginResult:
        settings = self.settings
        async with anyio.create_task_group() as tasks:
            for service in range(settings.services):
                for _ in range(_UPSTREAMS):
                    self._start_upstream(f"llm-{service}", "v1")
            for number in range(settings.instances):
                data_centre = DataCentre(f"dc{number % settings.data_centres}")
                self._start_instance(tasks, f"i{number}", data_centre)
            for action, count in (
                (self._kill, settings.kills),
                (self._cut, settings.cuts),
                (self._store_outage, settings.store_outages),
                (self._release_version, settings.releases),
                (self._move, settings.moves),
                (self._cut_store, settings.store_cuts),
                (self._kill_all, settings.deaths_of_all),
                (self._compact, settings.compactions),
            ):
                for _ in range(count):
                    tasks.start_soon(self._later, action, tasks)
            await self._send_streams(tasks)
            await anyio.sleep(_MAX_TRIES * _EVENT_S * _EVENTS)
            tasks.cancel_scope.cancel()
        return self.result

    async def _later(self, action: Callable[[TaskGroup], object], tasks: TaskGroup) -> None:
        await anyio.sleep(self.rng.uniform(1.0, self.settings.duration_s - 2.0))
        result = action(tasks)
        if hasattr(result, "__await__"):
            await result

    def _start_upstream(self, service: str, version: str) -> _Upstream:
        number = len(self._upstreams)
        registered = RegisteredUpstream(
            f"u{number}", service, f"e{number}:1", DataCentre("dc0"), 8, False, version=version
        )
        upstream = _Upstream(registered)
        self._upstreams[registered.upstream_id] = upstream
        self._registered[registered.upstream_id] = upstream
        value = json.dumps([service, version]).encode()
        self.store.put(_REGISTRATIONS_STREAM, registered.upstream_id, value)
        return upstream

    def _deregister(self, upstream: _Upstream) -> None:
        upstream_id = upstream.registered.upstream_id
        if self._registered.pop(upstream_id, None) is not None:
            self.store.put(_REGISTRATIONS_STREAM, upstream_id, None)

    def _registrations_end(self) -> int:
        return self.store.newest(_REGISTRATIONS_STREAM).end_offset

    def _start_instance(self, tasks: TaskGroup, name: str, data_centre: DataCentre) -> None:
        instance = _Instance(self, name, data_centre)
        self.instances[name] = instance
        for other in self.instances.values():
            other.fleet.apply_announcement(instance.fleet.local_member, anyio.current_time())
            instance.fleet.apply_announcement(other.fleet.local_member, anyio.current_time())
        instance.read(list(self._registered.values()), self.config, self._registrations_end())
        tasks.start_soon(self._run_instance, instance)

    async def _run_instance(self, instance: _Instance) -> None:
        with instance.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(instance.origins.run)
                if self.settings.fault is OriginFault.NO_HISTORY:
                    instance.origins.note_history_read()
                else:
                    tasks.start_soon(instance.releases.run)
                while True:
                    lag_s = self.rng.uniform(*_READ_LAG_S)
                    upstreams, config = list(self._registered.values()), self.config
                    registrations_to = self._registrations_end()
                    await anyio.sleep(lag_s)
                    is_cut_off = instance.is_cut_off or self._cut_off == instance.data_centre
                    instance.store.is_cut_off = self._is_store_away or is_cut_off
                    if not instance.store.is_cut_off:
                        instance.read(upstreams, config, registrations_to)

    async def _kill(self, tasks: TaskGroup) -> None:
        alive = [i for i in self.instances.values() if i.is_alive]
        count = self.rng.randint(1, self.settings.killed_at_once)
        killed = self.rng.sample(alive, min(count, max(0, len(alive) - 1)))
        await self._kill_for_a_while(tasks, killed)

    async def _kill_for_a_while(self, tasks: TaskGroup, killed: list[_Instance]) -> None:
        for instance in killed:
            instance.is_alive = False
            instance.scope.cancel()
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        for instance in killed:
            self._start_instance(tasks, instance.name, instance.data_centre)

    async def _cut(self, _: TaskGroup) -> None:
        self._cut_off = DataCentre(f"dc{self.rng.randrange(self.settings.data_centres)}")
        await anyio.sleep(self.rng.uniform(1.0, 5.0))
        self._cut_off = None

    async def _kill_all(self, tasks: TaskGroup) -> None:
        """Kill all instances; meanwhile, or just before, an old version may leave completely."""
        if self.rng.random() < 0.5:
            tasks.start_soon(self._replace_all)
        await anyio.sleep(self.rng.uniform(0.0, 0.3))
        await self._kill_for_a_while(tasks, [i for i in self.instances.values() if i.is_alive])

    async def _replace_all(self) -> None:
        self._release += 1
        service = f"llm-{self.rng.randrange(self.settings.services)}"
        old = [u for u in self._registered.values() if u.registered.service == service]
        for _ in old:
            self._start_upstream(service, f"v{self._release}")
        await anyio.sleep(self.rng.uniform(0.0, 0.6))
        for upstream in old:
            self._deregister(upstream)
            upstream.is_alive = False

    def _compact(self, _: TaskGroup) -> None:
        self.store.compact(_REGISTRATIONS_STREAM)

    async def _cut_store(self, tasks: TaskGroup) -> None:
        alive = [i for i in self.instances.values() if i.is_alive]
        if not alive:
            return
        instance = self.rng.choice(alive)
        instance.is_cut_off = True
        await anyio.sleep(self.rng.uniform(1.0, 4.0))
        if instance.is_alive:
            await self._kill_for_a_while(tasks, [instance])

    async def _store_outage(self, _: TaskGroup) -> None:
        self._is_store_away = True
        await anyio.sleep(self.rng.uniform(1.0, 6.0))
        self._is_store_away = False

    def _move(self, _: TaskGroup) -> None:
        self.config = self._make_config()

    async def _release_version(self, _: TaskGroup) -> None:
        """Replace the upstreams of a service one after the other, some of them by a crash."""
        self._release += 1
        version = f"v{self._release}"
        service = f"llm-{self.rng.randrange(self.settings.services)}"
        old = [u for u in self._registered.values() if u.registered.service == service]
        for upstream in old[: self.rng.choice((len(old), len(old) // 2))]:
            self._start_upstream(service, version)
            await anyio.sleep(self.rng.uniform(0.05, 0.6))
            self._deregister(upstream)
            if self.rng.random() < 0.5:
                await anyio.sleep(0.5)
            upstream.is_alive = False
            await anyio.sleep(self.rng.uniform(0.05, 1.5))

    async def _send_streams(self, tasks: TaskGroup) -> None:
        while anyio.current_time() < self.settings.duration_s:
            await anyio.sleep(self.rng.expovariate(self.settings.streams_per_s))
            data_centre = DataCentre(f"dc{self.rng.randrange(self.settings.data_centres)}")
            tasks.start_soon(self._follow, _Stream(f"s{self.result.streams}", data_centre))
            self.result.streams += 1

    async def _follow(self, stream: _Stream) -> None:
        """Try until the stream is complete or its caller gives up."""
        is_counted = False
        events_at_break = 0
        while stream.tries < _MAX_TRIES and stream.events < _EVENTS:
            if stream.events and not is_counted and self._can_go_on(stream) and self._any_alive:
                is_counted = True
                events_at_break = stream.events
                self.result.resumed += 1
            if self._any_alive:
                stream.tries += 1
                await self._try(stream)
            await anyio.sleep(self.rng.uniform(*_RETRY_PAUSE_S))
        self.result.joined += len(stream.origins) > 1
        self.result.continued += is_counted and stream.events > events_at_break

    @property
    def _any_alive(self) -> bool:
        return any(instance.is_alive for instance in self.instances.values())

    def _can_go_on(self, stream: _Stream) -> bool:
        origin = next(iter(stream.origins))
        same = [
            u
            for u in self._registered.values()
            if u.is_alive
            and (u.registered.service, u.registered.version) == (origin.service, origin.version)
        ]
        return len(same) >= 2

    async def _try(self, stream: _Stream) -> None:
        alive = [i for i in self.instances.values() if i.is_alive]
        near = [i for i in alive if i.data_centre == stream.data_centre]
        instance = self.rng.choice(near or alive)
        call = self._call(stream, instance)
        try:
            await instance.resumptions.bind(call, instance.config)
        except RefusedError:
            return
        upstream = instance.choose(self.rng, self._upstreams, call)
        is_begun = False
        while stream.events < _EVENTS and instance.is_alive:
            if upstream is None:
                return
            await anyio.sleep(_EVENT_S * self.rng.uniform(0.5, 1.5))
            if not instance.is_alive:
                return
            if not upstream.is_alive:
                upstream = instance.choose(self.rng, self._upstreams, call)
                continue
            if not is_begun:
                is_begun = True
                instance.resumptions.note_first_event(call, upstream.registered)
            stream.resumes = stream.resumes or call.fields.request_id
            stream.origins.add(
                StreamOrigin(upstream.registered.service, upstream.registered.version)
            )
            stream.events += 1

    def _call(self, stream: _Stream, instance: _Instance) -> Call:
        request_id = f"{stream.request_id}-{stream.tries}"
        last_event_id = str(stream.events) if stream.events else ""
        fields = CallerFields(request_id, "h", "", None, last_event_id, resumes=stream.resumes)
        route = instance.config.routes[0]
        now_s = anyio.current_time()
        return Call(
            fields=fields,
            headers=(),
            route=route,
            service=instance.config.service(route.service_for(stream.resumes or request_id)),
            workspace="w",
            priority=1,
            request=OutgoingRequest("POST", "/", request_id, b""),
            arrived_s=now_s,
            deadline_s=now_s + 9.0,
        )
