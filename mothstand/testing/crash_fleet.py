"""A fleet of real gateway processes whose engines are crashed repeatedly by certain requests."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio
import httpx

from ..standins.users_engine import Arrival
from .fleet import free_port
from .gateway_fleet import PREFIX, request_headers
from .partitioned_gateway import PartitionMode

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from .gateway_fleet import GatewayFleet

#: Bodies of the request that crashes engines, and of all others.
CRASH_BODY = "crash"
_INNOCENT_BODY = "innocent"

#: Parts of prompts: the one that crashes engines, and one that all requests share.
CRASH_PART = "dead"
_SHARED_PART = "aa"

#: The operators' bound: arrivals allowed later than `STABLE_WINDOW_S` after a request has crashed
#: `CRASH_THRESHOLD` engines, or requests with one prompt part `PART_CRASH_THRESHOLD`.
ALLOWED_ARRIVALS = 3
CRASH_THRESHOLD = 3
PART_CRASH_THRESHOLD = 5
STABLE_WINDOW_S = 3.0

#: Seconds from the end of an engine to its restart under another id.
_RESTART_DELAY_S = 2.0
_POLL_S = 0.05

#: Seconds between two events of an answer.
_EVENT_S = 0.05


class CrashCause(Enum):
    """What the requests that crash engines have in common."""

    BODY = "body"
    PROMPT_PART = "prompt part"


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """A request that crashes no engine."""

    sent_s: float
    status: int


@dataclass(slots=True)
class CrashFleet:
    """A fleet, its engines and its callers.

    Parameters
    ----------
    cause
        What crashes engines. Requests with a crashing prompt part all have different bodies.
    is_partitioned
        Whether the first instance cannot reach any engine and gets all crashing requests.
    requests_per_s
        Requests a second that crash no engine.
    kill_at_s
        When two instances are killed; None for never.
    answers
        Number of answers with each status to requests that crash no engine; status 0 stands for
        no answer or a broken one.
    crash_answers
        The same for the request that crashes engines.
    """

    fleet: GatewayFleet
    seed: int
    cause: CrashCause = CrashCause.BODY
    engines: int = 9
    instances: int = 6
    requests_per_s: float = 20.0
    is_partitioned: bool = False
    answers: Counter[int] = field(default_factory=Counter)
    crash_answers: Counter[int] = field(default_factory=Counter)
    _engine_names: dict[str, str] = field(default_factory=dict)
    _sound: list[_SentRequest] = field(default_factory=list)
    _sent: int = 0

    def run(self, *, duration_s: float, crash_gap_s: float, kill_at_s: float | None) -> None:
        """Simulate callers; meanwhile kill and restart two instances."""
        self.fleet.publish(prepaid_tokens=100_000_000)
        for number in range(self.engines):
            name = f"e{number}"
            address = f"127.0.0.1:{free_port()}"
            self._start_engine(name, address)
            self._engine_names[address] = name
        for number in range(self.instances):
            self.fleet.start_instance(f"i{number}", can_be_partitioned=self.is_partitioned)
        if self.is_partitioned:
            self.fleet.partition(self.fleet.processes["i0"], PartitionMode.RESET)
        anyio.run(self._simulate, duration_s, crash_gap_s, kill_at_s)

    async def _simulate(
        self, duration_s: float, crash_gap_s: float, kill_at_s: float | None
    ) -> None:
        async with (
            httpx.AsyncClient(
                timeout=6.0, limits=httpx.Limits(max_keepalive_connections=0)
            ) as http,
            anyio.create_task_group() as tasks,
        ):
            rng = random.Random(self.seed)

            async def keep_sending(body: str, gap_s: float) -> None:
                while True:
                    instance = f"i{rng.randrange(self.instances)}"
                    if self.is_partitioned and body == CRASH_BODY:
                        instance = "i0"
                    self._sent += 1
                    request_id = f"{body}-{self._sent}"
                    tasks.start_soon(self._send, http, instance, request_id, body)
                    await anyio.sleep(gap_s)

            tasks.start_soon(keep_sending, CRASH_BODY, crash_gap_s)
            tasks.start_soon(keep_sending, _INNOCENT_BODY, 1.0 / self.requests_per_s)
            tasks.start_soon(self._restart_ended_engines, tasks)
            if kill_at_s is not None:
                await anyio.sleep(kill_at_s)
                await self._kill_and_restart_instances()
            await anyio.sleep(duration_s - (kill_at_s or 0.0))
            tasks.cancel_scope.cancel()

    async def _kill_and_restart_instances(self) -> None:
        for number in (0, 1):
            self.fleet.processes[f"i{number}"].kill()
        await anyio.sleep(0.5)
        for number in (0, 1):
            self.fleet.restart_instance(f"i{number}")

    async def _send(
        self, http: httpx.AsyncClient, instance: str, request_id: str, body: str
    ) -> None:
        url = self.fleet.processes[instance].url + PREFIX
        sent_s = anyio.current_time()
        try:
            response = await http.post(
                url,
                headers=self._headers(request_id, body),
                content=self._content(request_id, body),
            )
            status = response.status_code
        except httpx.HTTPError:
            status = 0
        if body == CRASH_BODY:
            self.crash_answers[status] += 1
        else:
            self.answers[status] += 1
            self._sound.append(_SentRequest(sent_s, status))

    def _headers(self, request_id: str, body: str) -> dict[str, str]:
        if self.cause is CrashCause.BODY:
            return request_headers(request_id)
        crash_part = f"{CRASH_PART}:30," if body == CRASH_BODY else ""
        parts = f"{_SHARED_PART}:50,{crash_part}{request_id}:20"
        return request_headers(request_id, parts=parts)

    def _content(self, request_id: str, body: str) -> str:
        """Return the body, which differs for all requests but those that crash by their body."""
        return body if body == CRASH_BODY and self.cause is CrashCause.BODY else request_id

    async def _restart_ended_engines(self, tasks: TaskGroup) -> None:
        """Restart each engine that has ended, with another id at the same address."""
        while True:
            for address, name in list(self._engine_names.items()):
                if self.fleet.processes[name].process.poll() is not None:
                    del self._engine_names[address]
                    tasks.start_soon(self._restart_engine, address, name)
            await anyio.sleep(_POLL_S)

    def _start_engine(self, name: str, address: str) -> None:
        is_body = self.cause is CrashCause.BODY
        self.fleet.start_engine(
            name,
            event_s=_EVENT_S,
            crash_body=CRASH_BODY if is_body else "",
            crash_part="" if is_body else CRASH_PART,
            address=address,
        )

    async def _restart_engine(self, address: str, ended_name: str) -> None:
        await anyio.sleep(_RESTART_DELAY_S)
        name = f"{ended_name}x"
        await anyio.to_thread.run_sync(self._start_engine, name, address)
        self.fleet.delete("keyed.servers", ended_name)
        self._engine_names[address] = name

    def arrivals(self) -> list[Arrival]:
        """Return the requests that reached engines, in order."""
        lines = self.fleet.arrivals_path.read_text(encoding="utf-8").splitlines()
        return sorted((Arrival(**json.loads(line)) for line in lines), key=lambda a: a.at_s)

    def crashes(self) -> list[Arrival]:
        """Return the crashes of engines, in order."""
        return [arrival for arrival in self.arrivals() if arrival.is_crash]

    def late_arrivals(self) -> list[Arrival]:
        """Return the arrivals of crashing requests that the operators' bound counts."""
        bound_s = self._bound_s()
        if bound_s is None:
            return []
        from_s = bound_s + STABLE_WINDOW_S
        return [a for a in self._crash_arrivals() if not a.is_crash and a.at_s > from_s]

    def answered_share(self) -> float:
        """Return the share of the other requests answered, later than 2 stable windows."""
        bound_s = self._bound_s()
        if bound_s is None:
            bound_s = self.crashes()[-1].at_s
        later = [r for r in self._sound if r.sent_s > bound_s + 2 * STABLE_WINDOW_S]
        return sum(r.status == httpx.codes.OK for r in later) / len(later)

    def _bound_s(self) -> float | None:
        """Return the time of the crash that the operators' bound counts from."""
        crashes = self.crashes()
        is_body = self.cause is CrashCause.BODY
        threshold = CRASH_THRESHOLD if is_body else PART_CRASH_THRESHOLD
        return crashes[threshold - 1].at_s if len(crashes) >= threshold else None

    def _crash_arrivals(self) -> list[Arrival]:
        return [a for a in self.arrivals() if a.body.startswith(CRASH_BODY)]
