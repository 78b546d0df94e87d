"""Instances of the routing histories: their real feeds and decisions, with planted faults."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ..core.config_freshness import ConfigFreshness
from ..core.eligibility import Eligibility
from ..core.evacuation import Evacuations
from ..core.fleet import Member
from ..core.homes import RegionMap
from ..core.loans import Peer
from ..core.placement import Placement, session_key
from ..core.routes import GatewayService
from ..core.warmup import Warmup, WarmupSettings
from ..gateway.evacuations import EvacuationTracker, OperatorNewsPolling
from ..gateway.feeds import ConfigFeed
from ..gateway.lending import BOOTSTRAP_TIMEOUT_S, BootstrapState, OperatorNews
from ..gateway.member_feed import MemberFeed
from ..gateway.metrics import GatewayMetrics
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..peers.failures import PeerUnreachableError
from ..platform.records import (
    CONFIG_KEY,
    CONFIG_STREAM,
    UPSTREAMS_STREAM,
    decode_config,
    decode_upstream,
    evacuated_data_centre,
)
from ..types import DataCentre, Region
from .fakes import RETRIES, NoWitness, UnreachablePeers
from .memory_store import MemoryStore, StoreLink
from .virtual_time import VirtualClock

if TYPE_CHECKING:
    from ..core.fleet import FleetView
    from ..core.prompt import Prompt
    from ..core.upstreams import RegisteredUpstream
    from ..gateway.store import Stream, StreamPage

DATA_CENTRES = tuple(DataCentre(name) for name in ("sto-a", "sto-b", "sto-c"))
_REGION = Region("se-east")

COLD_PER_S = 8.9
COLD_START_S = 3.0
WARMUP = WarmupSettings(overshoot=1.5, slack=5.0)
SERVICE = GatewayService("llm", cold_start_s=COLD_START_S, cold_per_s=COLD_PER_S)

_READ_POLL_S = 0.2
STALE_S = 3.0


class RoutingFault(Enum):
    """Fault that is planted in the instances, to show that the checks find it."""

    NONE = "none"
    IGNORES_EVACUATIONS = "ignores evacuations"
    IGNORES_COLD = "ignores that upstreams are cold"
    EQUAL_PARTS = "each instance sends its own part to each cold upstream"
    ASKS_NO_PEERS = "asks no peers while the store rejects it"


@dataclass(slots=True)
class RoutingNetwork:
    """What the instances of a history share: the store and each other.

    Parameters
    ----------
    ends
        Times and end offsets of the streams, for listings that are out of date.
    """

    fault: RoutingFault
    store: MemoryStore = field(default_factory=MemoryStore)
    ends: dict[Stream, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))
    instances: dict[str, RoutingInstance] = field(default_factory=dict)


class _Peers(UnreachablePeers):
    def __init__(self, instances: dict[str, RoutingInstance]) -> None:
        self._instances = instances

    async def operator_news(self, address: str) -> OperatorNews:
        await anyio.sleep(0.001)
        peer = self._instances.get(address.removesuffix(":1"))
        if peer is None:
            raise PeerUnreachableError(address)
        config = peer.config_feed.config
        return OperatorNews(
            peer.tracker.evacuations.states, 0 if config is None else config.version
        )

    async def bootstrap_state(
        self, address: str, *, timeout_s: float = BOOTSTRAP_TIMEOUT_S
    ) -> BootstrapState:
        await anyio.sleep(0.001)
        peer = self._instances.get(address.removesuffix(":1"))
        if peer is None:
            raise PeerUnreachableError(address)
        return BootstrapState(peer.config_feed.raw, (), ())


class _HistoryLink(StoreLink):
    """Store link that waits for records and may list the state of some seconds ago."""

    def __init__(self, store: MemoryStore, ends: dict[Stream, list[tuple[float, int]]]) -> None:
        super().__init__(store)
        self._memory = store
        self._ends = ends
        self.is_stale = False

    async def read(self, stream: Stream, from_offset: int, *, wait_s: float = 0.0) -> StreamPage:
        until_s = anyio.current_time() + wait_s
        page = await super().read(stream, from_offset)
        while not page.records and anyio.current_time() < until_s:
            await anyio.sleep(_READ_POLL_S)
            page = await super().read(stream, from_offset)
        return page

    async def newest(self, stream: Stream) -> StreamPage:
        await anyio.sleep(0.005)
        page = await super().newest(stream)
        if not self.is_stale:
            return page
        past_s = anyio.current_time() - STALE_S
        end = max((end for at_s, end in self._ends[stream] if at_s <= past_s), default=0)
        return self._memory.newest_at(stream, end)


class _IgnoredEvacuations(Evacuations):
    def is_evacuated(self, data_centre: DataCentre) -> bool:
        return False


class _IgnoredWarmup(Warmup):
    def is_cold(self, upstream: RegisteredUpstream, now_s: float) -> bool:
        return False


class _EqualParts(Warmup):
    """Each instance may send its part of the rate, of which it saves up one request."""

    def __init__(self, settings: WarmupSettings, fleet: FleetView) -> None:
        super().__init__(settings, fleet)
        self._sent_s: dict[str, float] = {}

    def may_send(self, upstream: RegisteredUpstream, cold_per_s: float, now_s: float) -> bool:
        rate_per_s = self.settings.max_arrivals(cold_per_s) / self.fleet.size
        sent_s = self._sent_s.get(upstream.upstream_id, -math.inf)
        return now_s - sent_s >= 1 / rate_per_s

    def note_sent(self, upstream: RegisteredUpstream, cold_per_s: float, now_s: float) -> None:
        self._sent_s[upstream.upstream_id] = now_s


_WARMUP_TYPES: dict[RoutingFault, type[Warmup]] = {
    RoutingFault.IGNORES_COLD: _IgnoredWarmup,
    RoutingFault.EQUAL_PARTS: _EqualParts,
}


class RoutingInstance:
    """One start of an instance."""

    def __init__(self, network: RoutingNetwork, name: str, starts: int) -> None:
        clock = VirtualClock()
        health = PlatformHealth(clock)
        fault = network.fault
        self.name = name
        self.started_s = anyio.current_time()
        self.scope = anyio.CancelScope()
        self.link = _HistoryLink(network.store, network.ends)
        is_unaware = fault is RoutingFault.IGNORES_EVACUATIONS
        self.tracker = EvacuationTracker(
            _IgnoredEvacuations() if is_unaware else Evacuations(), evacuated_data_centre, clock
        )
        self.config_feed = ConfigFeed(
            self.link,
            CONFIG_STREAM,
            CONFIG_KEY,
            clock,
            health,
            decode_config,
            lambda _: None,
            self.tracker,
            ConfigFreshness(3.0),
            GatewayMetrics(),
        )
        peer = Peer(name, str(starts), f"{name}:1")
        self.members = MemberFeed(
            self.link,
            Member(peer, DATA_CENTRES[0]),
            clock,
            health,
            lambda: None,
            RETRIES,
            started_s=self.started_s,
        )
        warmup_type = _WARMUP_TYPES.get(fault, Warmup)
        self.warmup = warmup_type(WARMUP, self.members.fleet)
        self.upstream_feed = UpstreamFeed(
            self.link,
            UPSTREAMS_STREAM,
            clock,
            health,
            decode_upstream,
            self.warmup.forget,
            1.0,
            NoWitness(),
            lambda u: self.warmup.note_cold(u, u.cold_s, clock.monotonic_s()),
        )
        self.polling = OperatorNewsPolling(
            self.tracker,
            _Peers(network.instances),
            self.config_feed,
            lambda: [m.peer.address for m in self.members.fleet.other_members()],
            clock,
        )
        self.eligibility = Eligibility(
            self.upstream_feed.directory,
            self.tracker.evacuations,
            self.warmup,
            self.members.limits,
            RegionMap(dict.fromkeys(DATA_CENTRES, _REGION)),
        )
        self.placement = Placement(DATA_CENTRES[0])
        self._asks_peers = fault is not RoutingFault.ASKS_NO_PEERS

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.config_feed.run)
                tasks.start_soon(self.upstream_feed.run)
                tasks.start_soon(self.members.run)
                if self._asks_peers:
                    tasks.start_soon(self.polling.run)

    def choose(self, prompt: Prompt, request_id: str) -> RegisteredUpstream | None:
        """Return the upstream that a request is sent to now, or None if it is refused."""
        if self.config_feed.config is None:
            # The server refuses all requests before the first configuration.
            return None
        now_s = anyio.current_time()
        eligible = self.eligibility.eligible(SERVICE, None, now_s)
        upstream = self.placement.choose(
            eligible.upstreams,
            prompt,
            session_key(prompt, request_id),
            tried_upstreams=frozenset(),
            cold_upstreams=frozenset(eligible.cold_ids),
            now_s=now_s,
        )
        if upstream is not None:
            self.eligibility.note_sent(upstream, SERVICE, now_s)
        return upstream
