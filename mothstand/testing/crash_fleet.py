"""Gateway instances as real processes before engines that one request ends, again and again."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpx

from ..standins.users_engine import Arrival
from .fleet import free_port
from .gateway_fleet import PREFIX, request_headers

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from .gateway_fleet import GatewayFleet

#: Body of the request that ends engines, and of those that do not.
CRASH_BODY = "crash"
_INNOCENT_BODY = "innocent"

#: Arrivals that the operators allow after a request has ended so many engines, and the window.
ALLOWED_ARRIVALS = 3
CRASH_THRESHOLD = 3
STABLE_WINDOW_S = 3.0

#: An engine is back so long after its end, under another id.
_RESTART_DELAY_S = 2.0
_POLL_S = 0.05

#: Seconds between two events of an answer.
_EVENT_S = 0.05


@dataclass(slots=True)
class CrashFleet:
    """A fleet, its engines, and the callers before it.

    Parameters
    ----------
    answers
        How often callers of innocent requests got each status; 0 for none or a broken answer.
    crash_answers
        The same of the request that ends engines.
    """

    fleet: GatewayFleet
    seed: int
    engines: int = 9
    instances: int = 6
    answers: Counter[int] = field(default_factory=Counter)
    crash_answers: Counter[int] = field(default_factory=Counter)
    _engine_names: dict[str, str] = field(default_factory=dict)
    _sent: int = 0

    def run(self, *, duration_s: float, crash_gap_s: float, kill_at_s: float) -> None:
        """Play callers, and kill and restart two instances meanwhile."""
        self.fleet.publish(prepaid_tokens=100_000_000)
        for number in range(self.engines):
            name = f"e{number}"
            address = f"127.0.0.1:{free_port()}"
            self._start_engine(name, address)
            self._engine_names[address] = name
        for number in range(self.instances):
            self.fleet.start_instance(f"i{number}")
        anyio.run(self._play, duration_s, crash_gap_s, kill_at_s)

    async def _play(self, duration_s: float, crash_gap_s: float, kill_at_s: float) -> None:
        async with (
            httpx.AsyncClient(
                timeout=6.0, limits=httpx.Limits(max_keepalive_connections=0)
            ) as http,
            anyio.create_task_group() as tasks,
        ):
            rng = random.Random(self.seed)

            async def keep_sending(body: str, gap_s: float, answers: Counter[int]) -> None:
                while True:
                    instance = f"i{rng.randrange(self.instances)}"
                    self._sent += 1
                    request_id = f"{body}-{self._sent}"
                    tasks.start_soon(self._send, http, instance, request_id, body, answers)
                    await anyio.sleep(gap_s)

            tasks.start_soon(keep_sending, CRASH_BODY, crash_gap_s, self.crash_answers)
            tasks.start_soon(keep_sending, _INNOCENT_BODY, 0.05, self.answers)
            tasks.start_soon(self._restart_ended_engines, tasks)
            await anyio.sleep(kill_at_s)
            for number in (0, 1):
                self.fleet.processes[f"i{number}"].kill()
            await anyio.sleep(0.5)
            for number in (0, 1):
                self.fleet.restart_instance(f"i{number}")
            await anyio.sleep(duration_s - kill_at_s)
            tasks.cancel_scope.cancel()

    async def _send(
        self,
        http: httpx.AsyncClient,
        instance: str,
        request_id: str,
        body: str,
        answers: Counter[int],
    ) -> None:
        url = self.fleet.processes[instance].url + PREFIX
        # Innocent requests are all different ones.
        content = body if body == CRASH_BODY else request_id
        try:
            response = await http.post(url, headers=request_headers(request_id), content=content)
        except httpx.HTTPError:
            answers[0] += 1
            return
        answers[response.status_code] += 1

    async def _restart_ended_engines(self, tasks: TaskGroup) -> None:
        """Start each engine that has ended again, with another id at its address."""
        while True:
            for address, name in list(self._engine_names.items()):
                if self.fleet.processes[name].process.poll() is not None:
                    del self._engine_names[address]
                    tasks.start_soon(self._restart_engine, address, name)
            await anyio.sleep(_POLL_S)

    def _start_engine(self, name: str, address: str) -> None:
        self.fleet.start_engine(name, event_s=_EVENT_S, crash_body=CRASH_BODY, address=address)

    async def _restart_engine(self, address: str, ended_name: str) -> None:
        await anyio.sleep(_RESTART_DELAY_S)
        name = f"{ended_name}x"
        await anyio.to_thread.run_sync(self._start_engine, name, address)
        self.fleet.delete("keyed.servers", ended_name)
        self._engine_names[address] = name

    def arrivals(self) -> list[Arrival]:
        """Return what reached engines, in order."""
        lines = self.fleet.arrivals_path.read_text(encoding="utf-8").splitlines()
        return sorted((Arrival(**json.loads(line)) for line in lines), key=lambda a: a.at_s)

    def late_arrivals(self) -> list[Arrival]:
        """Return arrivals of the crashing request that count against the operators' bound."""
        crash_arrivals = [a for a in self.arrivals() if a.body == CRASH_BODY]
        crashes = [a for a in crash_arrivals if a.is_crash]
        if len(crashes) < CRASH_THRESHOLD:
            return []
        from_s = crashes[CRASH_THRESHOLD - 1].at_s + STABLE_WINDOW_S
        return [a for a in crash_arrivals if not a.is_crash and a.at_s > from_s]
