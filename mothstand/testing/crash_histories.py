"""Random histories of a fleet whose engines crash, because of one request or for other causes.

The real forwarding, placement, crash detector and quarantine run in virtual time against a store in
memory and simulated engines. One request crashes each engine that starts to run it and is repeated
at any instance, or distinct requests that share one prompt part do so. Other requests are distinct,
or repeat one popular body. Arrivals are counted as the operators count them.
"""

from __future__ import annotations

import json
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Flag, auto
from typing import TYPE_CHECKING

import anyio

from ..core.placement import Placement
from ..core.prompt import Prompt, PromptPart
from ..core.reachability import Reachability
from ..core.routes import Destination, GatewayService, RequestKind, Route
from ..core.stall_detector import StallDetector
from ..errors import RefusedError
from ..gateway.call import Call, CallerConnection
from ..gateway.forward import Forwarder
from ..gateway.headers import CallerFields, RawHeaders, UpstreamFields
from ..gateway.metrics import GatewayMetrics
from ..gateway.quarantine.crash_detector import (
    CorroboratedCheck,
    CrashDetector,
    Liveness,
    LivenessCheck,
)
from ..gateway.quarantine.guard import CrashGuard
from ..gateway.reachability_probes import ReachabilityProbes
from ..gateway.upstream_client import (
    ConnectionBrokenError,
    MisdirectedError,
    NotConnectedError,
    OutgoingRequest,
    UpstreamAnswer,
    UpstreamClient,
)
from ..gateway.upstream_feed import UpstreamFeed
from ..log.health import PlatformHealth
from ..peers.failures import PeerUnreachableError
from ..platform.headers import PlatformHeaders
from ..platform.parts import UPSTREAMS_STREAM
from ..platform.records import decode_upstream
from ..types import DataCentre
from .crash_faults import InjectedFault, choose_check, choose_feed_type
from .crash_fleet import CRASH_THRESHOLD, PART_CRASH_THRESHOLD, STABLE_WINDOW_S, CrashCause
from .eligibility import (
    caller_memory,
    lone_prefills,
    lone_redirects,
    lone_resumptions,
    unrestricted_eligibility,
)
from .fakes import RETRIES, NoRelays, NoWitness, UnreachablePeers
from .frozen_processes import FreezableClock, FreezableStoreLink, FrozenProcesses
from .memory_store import MemoryStore, StoreLink, random_outcomes
from .registrations import registration
from .virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ..core.upstreams import RegisteredUpstream
    from ..gateway.store import KeyedRecord

_SERVICE = "llm"
_DATA_CENTRE = DataCentre("sto-a")

#: Bodies of the two requests that are repeated.
CRASHING = b"crashing"
POPULAR = b"popular"

#: Parts of prompts: that of all requests, and a rare one that most requests with a part that
#: crashes engines have, too.
_SHARED_PART = "shared"
_COMPANION_PART = "companion"

_SESSIONS = 40
_PART_TOKENS = 100

#: Seconds from the processes' start to the first callers.
_WARM_UP_S = 5.0

_RUN_TO_CRASH_S = 0.05
_EXPIRY_S = 3.6

#: Seconds after which a hanging read of the store fails.
_READ_TIMEOUT_S = 0.3

_REQUESTS_PER_S = 20.0

#: Share of the requests that are neither crashing nor popular and have the companion part.
_COMPANION_REQUESTS_SHARE = 0.05

#: Seconds by which a machine's time of day may be ahead.
_SKEWS_S = (0.0, 0.0, 0.1, -0.3, -3600.0, 86_400.0)


class CrashDisruption(Flag):
    """Disruptions of a history, besides the request that crashes engines."""

    NONE = 0
    KILLS = auto()
    STORE_AWAY = auto()
    FREEZES = auto()
    ENGINES_CRASH = auto()
    RESETS = auto()

    def __repr__(self) -> str:
        """Return the text that seeds random numbers; seeds that once failed depend on it."""
        return f"<CrashTrouble.{self.name}: {self.value}>"


ALL_CRASH_DISRUPTIONS = (
    CrashDisruption.KILLS
    | CrashDisruption.STORE_AWAY
    | CrashDisruption.FREEZES
    | CrashDisruption.ENGINES_CRASH
    | CrashDisruption.RESETS
)


@dataclass(slots=True)
class CrashResult:
    """Results of a history.

    Parameters
    ----------
    late_arrivals
        Arrivals of the crashing request that the operators' bound counts.
    crashes
        Number of engines that the request crashed.
    outcomes
        Number of requests of each kind with each outcome.
    """

    late_arrivals: int = 0
    crashes: int = 0
    outcomes: dict[str, Counter[str]] = field(default_factory=dict)


@dataclass(slots=True)
class _Engine:
    """An engine process, from its start to its end."""

    upstream_id: str
    address: str
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_up(self) -> bool:
        """Whether the engine runs."""
        return not self.ended.is_set()


class _Answer(UpstreamAnswer):
    """A complete answer without a body."""

    def __init__(self) -> None:
        self.status = 200
        self.reason = "OK"
        self.headers = ()
        self.fields = UpstreamFields("r", False, False, False)

    async def read_piece(self) -> bytes:
        """Return the end of the body."""
        return b""

    def close(self) -> None:
        """Close nothing."""


class _SimulatedClient(UpstreamClient):
    """Client of an instance for the simulated engines."""

    def __init__(self, history: CrashHistory, instance: _Instance) -> None:
        self._history = history
        self._instance = instance

    async def send(
        self, upstream: RegisteredUpstream, request: OutgoingRequest, headers: RawHeaders
    ) -> UpstreamAnswer:
        """Run a request on an engine."""
        await self._history.frozen.wait_until_thawed(self._instance.name)
        engine = self._history.engines[upstream.address]
        if not engine.is_up:
            raise NotConnectedError(upstream.address)
        if engine.upstream_id != upstream.upstream_id:
            raise MisdirectedError(upstream.address)
        await self._history.run_on(engine, request, self._instance)
        return _Answer()


class _SimulatedCheck(LivenessCheck):
    """Checks whether an engine runs at an address."""

    def __init__(self, history: CrashHistory, name: str) -> None:
        self._history = history
        self._name = name

    async def check(self, address: str) -> Liveness:
        """Return whether the engine at the address runs."""
        await self._history.frozen.wait_until_thawed(self._name)
        await anyio.sleep(0.001)
        engine = self._history.engines[address]
        return Liveness.LISTENING if engine.is_up else Liveness.NOT_LISTENING


class _Caller(CallerConnection):
    """A caller that stays connected and ignores the answer."""

    async def start(self, status: int, reason: str, headers: RawHeaders) -> None:
        """Ignore the head."""

    async def write(self, data: bytes) -> None:
        """Ignore a piece of the body."""

    async def finish(self) -> None:
        """Ignore the end of the answer."""

    def abort(self) -> None:
        """Ignore that the answer breaks off."""

    async def send_complete(
        self, status: int, reason: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Note that the answer was started."""
        self.is_started = True


class _Peers(UnreachablePeers):
    """Calls between the instances, whose addresses are their names."""

    def __init__(self, history: CrashHistory, name: str) -> None:
        self._history = history
        self._name = name

    async def send_quarantine_records(self, address: str, records: tuple[KeyedRecord, ...]) -> None:
        """Deliver records to a live instance."""
        await self._history.frozen.wait_until_thawed(self._name)
        peer = self._history.alive.get(address)
        if peer is None:
            raise PeerUnreachableError(address)
        await self._history.frozen.wait_until_thawed(address)
        peer.quarantine_feed.apply_from_peer(records)


class _Instance:
    """A process of an instance of the fleet."""

    def __init__(self, history: CrashHistory, name: str, link: StoreLink) -> None:
        self.name = name
        self.link = link
        self.started_s = anyio.current_time()
        self.scope = anyio.CancelScope()
        clock = FreezableClock(history.frozen, name, skew_s=history.skew_s(name))
        health = PlatformHealth(clock)
        self.quarantine_feed = choose_feed_type(history.fault)(
            link,
            clock,
            health,
            name,
            _Peers(history, name),
            lambda: [other for other in history.alive if other != name],
            lambda: len(history.alive),
        )
        sound_check = _SimulatedCheck(history, name)
        corroborated_check = CorroboratedCheck(
            sound_check,
            lambda: [u.address for u in self.upstream_feed.directory.upstreams.values()],
        )
        check = choose_check(history.fault, corroborated_check)
        self.crash_detector = CrashDetector(check, clock, self.quarantine_feed.report)
        self.upstream_feed = UpstreamFeed(
            link, UPSTREAMS_STREAM, clock, health, decode_upstream, self._forget, 1.0, NoWitness()
        )
        self._placement = Placement(_DATA_CENTRE)
        self.crash_guard = CrashGuard(self.quarantine_feed, self.crash_detector, clock)
        metrics = GatewayMetrics()
        self.probes = ReachabilityProbes(
            Reachability(), self.upstream_feed.directory, sound_check, clock, metrics
        )
        self.forwarder = Forwarder(
            _SimulatedClient(history, self),
            PlatformHeaders(),
            self._placement,
            unrestricted_eligibility(self.upstream_feed.directory),
            RETRIES,
            lambda: history.instances,
            StallDetector(),
            self.crash_guard,
            self.probes,
            NoRelays(),
            lone_resumptions(self.upstream_feed.directory, clock, metrics),
            lone_redirects(clock, metrics),
            lone_prefills(clock, metrics),
            caller_memory(clock),
            clock,
            metrics,
        )

    def _forget(self, upstream: RegisteredUpstream) -> None:
        self._placement.forget(upstream)
        self.probes.forget(upstream)
        self.crash_detector.note_process_ended(upstream)

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for work in (
                    self.crash_detector.run,
                    self.probes.run,
                    self.quarantine_feed.run,
                    self.upstream_feed.run,
                ):
                    tasks.start_soon(work)


@dataclass(slots=True)
class CrashHistory:
    """A random history of crashes, which `run` simulates.

    Parameters
    ----------
    has_crashing
        Whether the crashing request is sent.
    popular_share
        Share of the other requests that have the popular body.
    reset_share
        Share of the other requests whose connection breaks although their engine runs; only with
        `CrashDisruption.RESETS`.
    failing_appends
        Share of the appends that fail; only with `CrashDisruption.STORE_AWAY`.
    repeats
        How often callers repeat a failed request, each time at a random instance.
    order
        Seed of the order of tasks that wake at the same time.
    cause
        What crashes engines. Requests with a crashing prompt part are all distinct.
    has_prompts
        Whether requests have prompts; always if a part of them crashes engines.
    companion_share
        Share of the crashing requests whose prompts have the companion part, too.
    part_count
        Number of prompt parts that crash engines; each crashing request has one of them.
    junk_parts
        Number of further parts, different each time, of the crashing requests' prompts.
    """

    seed: int
    disruptions: CrashDisruption
    fault: InjectedFault = InjectedFault.NONE
    has_crashing: bool = True
    popular_share: float = 0.2
    reset_share: float = 0.02
    failing_appends: float = 0.2
    repeats: int = 0
    instances: int = 6
    engine_count: int = 9
    duration_s: float = 40.0
    order: int = 0
    cause: CrashCause = CrashCause.BODY
    has_prompts: bool = False
    companion_share: float = 0.0
    part_count: int = 1
    junk_parts: int = 0
    alive: dict[str, _Instance] = field(default_factory=dict)
    engines: dict[str, _Engine] = field(default_factory=dict)
    frozen: FrozenProcesses = field(default_factory=FrozenProcesses)
    _store: MemoryStore = field(default_factory=MemoryStore)
    _last_disturbed_s: dict[str, float] = field(default_factory=dict)
    _cut_off_names: set[str] = field(default_factory=set)
    _result: CrashResult = field(default_factory=CrashResult)
    _crashed_s: defaultdict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    _late_arrivals: Counter[bytes] = field(default_factory=Counter)
    _tasks: TaskGroup | None = None
    _starts: int = 0
    _requests: int = 0

    def run(self) -> CrashResult:
        """Simulate the history in virtual time."""
        kinds = ("crashing", "popular", "distinct", "companion")
        self._result.outcomes = {kind: Counter() for kind in kinds}
        run_in_virtual_time(self._simulate, order=self.order)
        self._result.late_arrivals = max(self._late_arrivals.values(), default=0)
        return self._result

    def _make_rng(self, *what: object) -> random.Random:
        return random.Random(f"{self.seed} {what}")

    def skew_s(self, name: str) -> float:
        """Return the seconds by which the time of day of an instance's machine is ahead."""
        return self._make_rng("skew", name).choice(_SKEWS_S)

    async def run_on(self, engine: _Engine, request: OutgoingRequest, instance: _Instance) -> None:
        """Run a request on an engine.

        Raises
        ------
        ConnectionBrokenError
            If the engine crashes or the connection is reset before the answer is complete.
        """
        rng = self._make_rng("run", request.request_id, engine.upstream_id)
        if request.body.startswith(CRASHING):
            cause = _crash_cause(request.body)
            self._count_arrival(instance, cause)
            await anyio.sleep(_RUN_TO_CRASH_S)
            if engine.is_up:
                self._crashed_s[cause].append(anyio.current_time())
                self._result.crashes += 1
                self._crash_engine(engine, rng.choice([1.0, 2.0, 4.0]))
            raise ConnectionBrokenError("reset")
        if CrashDisruption.RESETS in self.disruptions and rng.random() < self.reset_share:
            await anyio.sleep(0.02)
            raise ConnectionBrokenError("reset")
        with anyio.move_on_after(rng.choice([0.05, 0.2, 1.0])):
            await engine.ended.wait()
            raise ConnectionBrokenError("reset")

    def _count_arrival(self, instance: _Instance, cause: bytes) -> None:
        is_body = self.cause is CrashCause.BODY
        threshold = CRASH_THRESHOLD if is_body else PART_CRASH_THRESHOLD
        crashed_s = self._crashed_s[cause]
        if len(crashed_s) < threshold:
            return
        is_late = anyio.current_time() > crashed_s[threshold - 1] + STABLE_WINDOW_S
        if is_late and self._is_undisturbed(instance):
            self._late_arrivals[cause] += 1

    def _is_undisturbed(self, instance: _Instance) -> bool:
        """Return whether an instance has been undisturbed for the stable window."""
        since_s = max(instance.started_s, self._last_disturbed_s.get(instance.name, 0.0))
        is_cut_off = instance.name in self._cut_off_names
        return not is_cut_off and anyio.current_time() - since_s >= STABLE_WINDOW_S

    def _crash_engine(self, engine: _Engine, down_s: float) -> None:
        assert self._tasks is not None
        engine.ended.set()
        self._tasks.start_soon(self._expire_registration, engine.upstream_id)
        self._tasks.start_soon(self._start_engine, engine.address, down_s)

    async def _expire_registration(self, upstream_id: str) -> None:
        await anyio.sleep(_EXPIRY_S)
        self._store.put(UPSTREAMS_STREAM, upstream_id, None)

    async def _start_engine(self, address: str, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self._starts += 1
        engine = _Engine(f"e{self._starts}", address)
        self.engines[address] = engine
        value = json.dumps(registration(_SERVICE, address, born_ms=self._starts)).encode()
        self._store.put(UPSTREAMS_STREAM, engine.upstream_id, value)

    async def _simulate(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for number in range(self.engine_count):
                await self._start_engine(f"10.0.0.{number}:80", 0.0)
            for number in range(self.instances):
                tasks.start_soon(self._start_instance, f"i{number}", 0.0)
            await anyio.sleep(_WARM_UP_S)
            for disruption in CrashDisruption:
                if disruption in self.disruptions:
                    tasks.start_soon(self._repeat_disruption, disruption)
            if self.has_crashing:
                tasks.start_soon(self._send_crashing)
            tasks.start_soon(self._send_others)
            await anyio.sleep(self.duration_s)
            tasks.cancel_scope.cancel()

    async def _send_crashing(self) -> None:
        rng = self._make_rng("crashing")
        while True:
            await anyio.sleep(rng.choice([0.1, 0.5, 1.0, 3.0]))
            for _ in range(rng.choice([1, 1, 1, 3])):
                body = CRASHING
                if self.cause is CrashCause.PROMPT_PART:
                    number = rng.randrange(self.part_count) if self.part_count > 1 else 0
                    body += f"{number or ''} {self._requests}".encode()
                self._send("crashing", body, rng)

    async def _send_others(self) -> None:
        rng = self._make_rng("others")
        while True:
            await anyio.sleep(rng.expovariate(_REQUESTS_PER_S))
            if rng.random() < self.popular_share:
                self._send("popular", POPULAR, rng)
            elif self.companion_share and rng.random() < _COMPANION_REQUESTS_SHARE:
                self._send("companion", f"companion {self._requests}".encode(), rng)
            else:
                self._send("distinct", f"distinct {self._requests}".encode(), rng)

    def _send(self, kind: str, body: bytes, rng: random.Random) -> None:
        assert self._tasks is not None
        if self.alive:
            self._requests += 1
            instance = self.alive[rng.choice(list(self.alive))]
            self._tasks.start_soon(self._request, kind, body, instance, f"r{self._requests}")

    async def _request(self, kind: str, body: bytes, instance: _Instance, request_id: str) -> None:
        """Send a request, and repeat it at random instances while it fails."""
        rng = self._make_rng("repeats", request_id)
        outcome = "killed"
        for number in range(1 + self.repeats):
            await self.frozen.wait_until_thawed(instance.name)
            if self.alive.get(instance.name) is instance:
                prompt = self._prompt(kind, request_id, body)
                call = _call(body, f"{request_id}-{number}", prompt)
                outcome = await self._forward(call, instance)
            if outcome == "answered":
                break
            await anyio.sleep(rng.uniform(0.02, 0.3))
            if self.alive:
                instance = self.alive[rng.choice(list(self.alive))]
        self._result.outcomes[kind][outcome] += 1

    def _prompt(self, kind: str, request_id: str, body: bytes) -> Prompt:
        if not self.has_prompts and self.cause is CrashCause.BODY:
            return Prompt()
        rng = self._make_rng("prompt", request_id)
        ids = [_SHARED_PART, "popular" if kind == "popular" else f"s{rng.randrange(_SESSIONS)}"]
        has_companion = kind == "crashing" and rng.random() < self.companion_share
        if kind == "companion" or has_companion:
            ids.append(_COMPANION_PART)
        if kind == "crashing" and self.cause is CrashCause.PROMPT_PART:
            ids += [f"{request_id} junk {number}" for number in range(self.junk_parts)]
            ids.append(_crash_cause(body).decode())
        ids.append(request_id)
        parts = tuple(PromptPart(part_id, _PART_TOKENS) for part_id in ids)
        return Prompt("m", _PART_TOKENS * len(parts), 20, parts)

    async def _forward(self, call: Call, instance: _Instance) -> str:
        try:
            async with instance.crash_guard.admit(call):
                await instance.forwarder.run(call, _Caller())
        except RefusedError as error:
            return error.refusal.kind.value
        return "answered"

    async def _repeat_disruption(self, disruption: CrashDisruption) -> None:
        """Repeat one kind of disruption until the end of the history."""
        rng = self._make_rng(disruption)
        while True:
            await anyio.sleep(rng.choice([0.7, 2.0, 4.0, 9.0]))
            match disruption:
                case CrashDisruption.KILLS:
                    self._kill(self._pick_instances(rng), rng)
                case CrashDisruption.STORE_AWAY:
                    await self._cut_off(self._pick_instances(rng), rng.uniform(0.5, 10.0))
                case CrashDisruption.FREEZES:
                    self._freeze(self._pick_instances(rng), rng.uniform(0.5, 4.0))
                case CrashDisruption.ENGINES_CRASH:
                    self._crash_engines(rng)
                case _:
                    return

    def _pick_instances(self, rng: random.Random) -> set[str]:
        share = rng.choice([0.2, 0.5, 1.0])
        return {name for name in sorted(self.alive) if rng.random() < share}

    def _crash_engines(self, rng: random.Random) -> None:
        share = rng.choice([0.2, 0.5, 0.8])
        for engine in list(self.engines.values()):
            if engine.is_up and rng.random() < share:
                self._crash_engine(engine, rng.choice([0.5, 1.5, 3.0]))

    def _freeze(self, names: set[str], duration_s: float) -> None:
        until_s = anyio.current_time() + duration_s
        self.frozen.freeze(names, until_s)
        self._last_disturbed_s |= dict.fromkeys(names, until_s)

    def _kill(self, names: set[str], rng: random.Random) -> None:
        assert self._tasks is not None
        for name in sorted(names):
            self.alive.pop(name).scope.cancel()
            self._tasks.start_soon(self._start_instance, name, rng.choice([0.3, 1.0, 3.0]))

    async def _cut_off(self, names: set[str], duration_s: float) -> None:
        """Cut instances off from the store; to cut off all of them simulates an outage."""
        names = set(self.alive) if len(names) == len(self.alive) else names
        self._cut_off_names = names
        self._update_links()
        await anyio.sleep(duration_s)
        self._cut_off_names = set()
        self._last_disturbed_s |= dict.fromkeys(names, anyio.current_time())
        self._update_links()

    def _update_links(self) -> None:
        for instance in self.alive.values():
            instance.link.is_cut_off = instance.name in self._cut_off_names

    async def _start_instance(self, name: str, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self._starts += 1
        failing_share = (
            self.failing_appends if CrashDisruption.STORE_AWAY in self.disruptions else 0.0
        )
        decide_outcome = random_outcomes(
            self._make_rng(name, self._starts), failing_share=failing_share
        )
        link = FreezableStoreLink(
            self._store, self.frozen, name, decide_outcome, read_timeout_s=_READ_TIMEOUT_S
        )
        link.is_cut_off = name in self._cut_off_names
        instance = _Instance(self, name, link)
        self.alive[name] = instance
        await instance.run()


def _crash_cause(body: bytes) -> bytes:
    """Return what a request that crashes engines shares with others; also the id of its part."""
    return body.partition(b" ")[0]


def _call(body: bytes, request_id: str, prompt: Prompt) -> Call:
    """Return an idempotent request on a route with two attempts."""
    route = Route(
        "r",
        "h",
        "/",
        RequestKind.IDEMPOTENT,
        5.0,
        0.5,
        1,
        (Destination(_SERVICE, 1),),
        2,
        False,
        False,
    )
    now_s = anyio.current_time()
    return Call(
        fields=CallerFields(request_id, "h", "", 5.0, "", prompt),
        headers=(("X-Request-Id", request_id),),
        route=route,
        service=GatewayService(_SERVICE),
        workspace="w",
        priority=1,
        request=OutgoingRequest("POST", "/", request_id, body),
        arrived_s=now_s,
        deadline_s=now_s + 5.0,
    )
