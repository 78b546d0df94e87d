"""Plays a soak: starts the processes, disturbs them by a seed, and judges what was recorded."""

from __future__ import annotations

import random
import re
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from anyio import to_thread

from ..gateway_fleet import HOST, KEY, GatewayFleet
from ..partitioned_gateway import PartitionMode
from .callers import Callers
from .checks import Violation, outcome_counts, violations
from .records import MAX_ATTEMPTS, Kind, SoakLog
from .upstreams import FaultShares, FaultyUpstream

if TYPE_CHECKING:
    import subprocess
    from collections.abc import Callable, Coroutine
    from pathlib import Path

    from anyio.abc import TaskGroup

    from ..fleet import FleetProcess

_DATA_CENTRES = ("sto-a", "sto-b", "sto-c")
_SERVICE = "llm"
_STREAM_EVENTS = 12
_EVENT_S = (0.03, 0.1, 0.3)
_KEYED_UPSTREAMS = "keyed.servers"

#: Internal errors, and ends of readers of what others write.
_INTERNAL_ERRORS = re.compile("MS9001|MS1004|Traceback")

#: Time for which late runs may still begin after the last answer.
_SETTLE_S = 1.0


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Size and disturbances of a soak.

    Parameters
    ----------
    requests_per_s
        Rate of new requests of all callers; each may have several tries.
    disruptions_per_s
        Rate of signals, crashes, cuts and changes; 0 for faulty answers alone.
    """

    seed: int
    instances: int = 3
    upstreams: int = 4
    requests: int = 600
    requests_per_s: float = 60.0
    disruptions_per_s: float = 0.4
    leaving_share: float = 0.05


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Broken rules of a soak, and how its attempts ended."""

    violations: list[Violation]
    outcomes: dict[str, int]
    shares: FaultShares
    extras: int
    internal_errors: int


@dataclass(slots=True)
class Soak:
    """A run of real instances between callers and faulty upstreams of this process."""

    settings: SoakSettings
    folder: Path
    log: SoakLog = field(default_factory=SoakLog)
    _rng: random.Random = field(init=False)
    _fleet: GatewayFleet = field(init=False)
    _instances: dict[str, FleetProcess] = field(default_factory=dict)
    _upstreams: list[FaultyUpstream] = field(default_factory=list)
    _shares: FaultShares = field(init=False)
    _event_s: float = field(init=False)
    _down: set[str] = field(default_factory=set)
    _ending: set[str] = field(default_factory=set)
    _started: int = 0
    _releases: int = 0
    _config_version: int = 0

    def __post_init__(self) -> None:
        """Draw the faults."""
        self._rng = random.Random(f"soak {self.settings.seed}")
        self._shares = FaultShares.draw(self._rng)
        self._event_s = self._rng.choice(_EVENT_S)

    def play(self) -> SoakResult:
        """Play the soak to its end."""
        with GatewayFleet(self.folder) as self._fleet:
            anyio.run(self._play, backend_options={"use_uvloop": True})
            logs = [self._fleet.log(p) for p in self._instances.values()]
        (self.folder / "record.txt").write_text("\n".join(self.log.lines), encoding="utf-8")
        return SoakResult(
            violations(
                self.log, _STREAM_EVENTS, is_undisturbed=not self.settings.disruptions_per_s
            ),
            outcome_counts(self.log),
            self._shares,
            self.log.extras,
            sum(len(_INTERNAL_ERRORS.findall(text)) for text in logs),
        )

    async def _play(self) -> None:
        async with anyio.create_task_group() as upstream_tasks:
            for number in range(self.settings.upstreams):
                await self._start_upstream(upstream_tasks, number)
            await to_thread.run_sync(self._publish)
            for number in range(self.settings.instances):
                await to_thread.run_sync(self._start_instance, number)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._disturb, upstream_tasks)
                callers = Callers(
                    self._addresses,
                    self.log,
                    random.Random(self._rng.random()),
                    self.settings.leaving_share,
                )
                await callers.run(self.settings.requests, self.settings.requests_per_s)
                tasks.cancel_scope.cancel()
            await anyio.sleep(_SETTLE_S)
            upstream_tasks.cancel_scope.cancel()

    def _addresses(self) -> dict[str, str]:
        return {n: p.address for n, p in self._instances.items() if n not in self._down}

    def _start_instance(self, number: int) -> None:
        name = f"front-{number}"
        self._instances[name] = self._fleet.start_instance(
            name, data_centre=_DATA_CENTRES[number % 3], can_be_partitioned=True
        )

    async def _start_upstream(
        self, tasks: TaskGroup, number: int, port: int = 0, version: str = "v1"
    ) -> None:
        self._started += 1
        upstream = FaultyUpstream(
            f"u{self._started}",
            _SERVICE,
            _DATA_CENTRES[number % 3],
            version,
            self.log,
            random.Random(self._rng.random()),
            self._shares,
            _STREAM_EVENTS,
            self._event_s,
        )
        await upstream.start(tasks, port)
        self._upstreams.append(upstream)
        await self._register(upstream)

    async def _register(self, upstream: FaultyUpstream, *, is_draining: bool = False) -> None:
        entry = upstream.entry(is_draining=is_draining)
        await to_thread.run_sync(self._fleet.put, _KEYED_UPSTREAMS, upstream.upstream_id, entry)

    def _publish(self) -> None:
        self._config_version += 1
        routes = [
            {
                "name": kind.name.lower(),
                "host": HOST,
                "path_prefix": kind.value,
                "kind": {
                    Kind.ONCE: "non_idempotent",
                    Kind.KEPT_ID: "non_idempotent",
                    Kind.REPEATABLE: "idempotent",
                }.get(kind, "streaming"),
                "timeout_ms": 4000,
                "goal_ms": 300,
                "priority": 0,
                "service": _SERVICE,
                "attempts": MAX_ATTEMPTS if kind.may_run_twice else 1,
                "resumable": kind is Kind.RESUMABLE,
            }
            for kind in Kind
        ]
        config = {
            "version": self._config_version,
            "routes": routes,
            "services": [{"name": _SERVICE, "connection_limit": 99, "engine": {"stride": 1}}],
            "tenants": [{"name": "seniors", "keys": [KEY], "prepaid": 10_000_000}],
        }
        self._fleet.put("keyed.op", "config", config)

    async def _disturb(self, upstream_tasks: TaskGroup) -> None:
        """Begin disruptions at random; they overlap."""
        if not self.settings.disruptions_per_s:
            return
        kinds: list[Callable[[TaskGroup], Coroutine[None, None, None]]] = [
            self._kill_instance,
            self._kill_instance,
            self._kill_all,
            self._stop_instance,
            self._reload_instance,
            self._pause_instance,
            self._cut_instance,
            self._isolate_instance,
            self._stall_upstream,
            self._crash_upstream,
            self._release_upstream,
            self._lose_store,
            self._change_config,
        ]
        # Each soak plays some kinds only, so that each of them meets each other one alone.
        kinds = self._rng.sample(kinds, self._rng.randint(2, len(kinds)))
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._rng.expovariate(self.settings.disruptions_per_s))
                kind = self._rng.choice(kinds)
                self._note(kind.__name__)
                tasks.start_soon(kind, upstream_tasks)

    def _note(self, text: str) -> None:
        self.log.write(time.monotonic(), f"--- {text}")

    def _draw_instance(self) -> str:
        return self._rng.choice(sorted(self._instances))

    async def _kill_instance(self, _: TaskGroup) -> None:
        await self._restart([self._draw_instance()], signal.SIGKILL)

    async def _kill_all(self, _: TaskGroup) -> None:
        await self._restart(sorted(self._instances), signal.SIGKILL)

    async def _stop_instance(self, _: TaskGroup) -> None:
        await self._restart([self._draw_instance()], signal.SIGTERM)

    async def _restart(self, names: list[str], number: signal.Signals) -> None:
        """End instances and start them again; some callers use them until they are gone."""
        names = [name for name in names if name not in self._ending]
        self._ending.update(names)
        if number is not signal.SIGTERM or self._rng.random() < 0.5:
            self._down.update(names)
        for name in names:
            process = self._instances[name].process
            process.send_signal(number)
            if number is signal.SIGTERM and self._rng.random() < 0.5:
                process.send_signal(signal.SIGHUP)
        for name in names:
            await to_thread.run_sync(self._instances[name].process.wait)
        self._down.update(names)
        await anyio.sleep(self._rng.uniform(0.0, 0.5))
        for name in names:
            self._instances[name] = self._fleet.restart_instance(name)
            self._down.discard(name)
            self._ending.discard(name)

    async def _reload_instance(self, _: TaskGroup) -> None:
        process = self._instances[self._draw_instance()].process
        for _repeat in range(self._rng.randint(1, 3)):
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)
            await anyio.sleep(self._rng.uniform(0.0, 0.2))

    async def _pause_instance(self, _: TaskGroup) -> None:
        process = self._instances[self._draw_instance()].process
        if _signal(process, signal.SIGSTOP):
            await anyio.sleep(self._rng.uniform(0.1, 2.0))
            _signal(process, signal.SIGCONT)

    async def _cut_instance(self, _: TaskGroup) -> None:
        instance = self._instances[self._draw_instance()]
        if not self._upstreams:
            return
        cut = self._rng.sample(self._upstreams, self._rng.randint(1, len(self._upstreams)))
        ports = frozenset(int(upstream.address.rpartition(":")[2]) for upstream in cut)
        mode = self._rng.choice([m for m in PartitionMode if m is not PartitionMode.OPEN])
        self._fleet.partition_ports(instance, mode, ports)
        await anyio.sleep(self._rng.uniform(0.5, 3.0))
        self._fleet.partition_ports(instance, PartitionMode.OPEN, ports)

    async def _isolate_instance(self, _: TaskGroup) -> None:
        """Cut an instance off from all upstreams, so that its peers relay, and kill peers."""
        name = self._draw_instance()
        ports = frozenset(int(u.address.rpartition(":")[2]) for u in self._upstreams)
        mode = self._rng.choice([m for m in PartitionMode if m is not PartitionMode.OPEN])
        self._fleet.partition_ports(self._instances[name], mode, ports)
        peers = sorted(self._instances.keys() - {name})
        for _repeat in range(self._rng.randint(0, 2) if peers else 0):
            await anyio.sleep(self._rng.uniform(0.5, 2.0))
            victims = peers if self._rng.random() < 0.5 else [self._rng.choice(peers)]
            await self._restart(victims, signal.SIGKILL)
        await anyio.sleep(self._rng.uniform(0.0, 3.0))
        self._fleet.partition_ports(self._instances[name], PartitionMode.OPEN, ports)

    async def _stall_upstream(self, _: TaskGroup) -> None:
        if self._upstreams:
            self._rng.choice(self._upstreams).stall(self._rng.uniform(0.1, 2.0))

    async def _crash_upstream(self, upstream_tasks: TaskGroup) -> None:
        """End an upstream; another one starts at its address."""
        if not self._upstreams:
            return
        upstream = self._upstreams.pop(self._rng.randrange(len(self._upstreams)))
        upstream.crash()
        await anyio.sleep(self._rng.uniform(0.1, 1.0))
        await to_thread.run_sync(self._fleet.delete, _KEYED_UPSTREAMS, upstream.upstream_id)
        port = int(upstream.address.rpartition(":")[2]) if self._rng.random() < 0.5 else 0
        version = upstream.version
        await self._start_upstream(upstream_tasks, self._rng.randrange(3), port, version)

    async def _release_upstream(self, upstream_tasks: TaskGroup) -> None:
        """Replace all upstreams, some at once, by those of another software version."""
        self._releases += 1
        version = f"v{1 + self._releases}"
        for upstream in list(self._upstreams):
            if upstream not in self._upstreams:
                continue
            self._upstreams.remove(upstream)
            await self._start_upstream(upstream_tasks, self._rng.randrange(3), version=version)
            await self._register(upstream, is_draining=True)
            await anyio.sleep(self._rng.uniform(0.0, 1.5))
            upstream_tasks.start_soon(self._leave, upstream)

    async def _leave(self, upstream: FaultyUpstream) -> None:
        await to_thread.run_sync(self._fleet.delete, _KEYED_UPSTREAMS, upstream.upstream_id)
        await anyio.sleep(2.0)
        upstream.crash()

    async def _lose_store(self, _: TaskGroup) -> None:
        await to_thread.run_sync(self._fleet.set_store_unreachable, True)
        await anyio.sleep(self._rng.uniform(0.2, 3.0))
        await to_thread.run_sync(self._fleet.set_store_unreachable, False)

    async def _change_config(self, _: TaskGroup) -> None:
        for _repeat in range(self._rng.randint(1, 4)):
            await to_thread.run_sync(self._publish)
            await anyio.sleep(self._rng.uniform(0.0, 0.2))


def _signal(process: subprocess.Popen[bytes], number: signal.Signals) -> bool:
    """Send a signal to a process that still runs; return whether it does."""
    if process.poll() is not None:
        return False
    process.send_signal(number)
    return True
