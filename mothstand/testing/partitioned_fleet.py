"""A fleet of real gateway processes, some of which lose their path to all engines.

Callers send requests at a constant rate to each instance and never repeat one, so that each answer
is that of a first attempt.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpx

from .gateway_fleet import ONCE_PREFIX, PREFIX, request_headers
from .partitioned_gateway import PartitionMode

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from .gateway_fleet import GatewayFleet

#: The operators' bound holds from this time after the begin of a partition.
STABLE_WINDOW_S = 3.0

_PREPAID_TOKENS = 100_000_000
_REQUEST_INTERVAL_S = 0.1
_LAST_EVENT = b"id: 5\ndata: v1\n\n"


@dataclass(frozen=True, slots=True)
class Outcome:
    """First attempt of a request.

    Parameters
    ----------
    status
        Status of the answer; 0 for none, or one that broke off.
    """

    instance: str
    path: str
    sent_s: float
    took_s: float
    status: int


@dataclass(slots=True)
class PartitionedFleet:
    """A fleet, its engines and its callers.

    Parameters
    ----------
    data_centres
        Data centre of each instance, by name; the first one is also that of the engines.
    partitioned
        Names of the instances that lose their path to all engines.
    event_s
        Seconds between two events of an answer.
    """

    fleet: GatewayFleet
    data_centres: dict[str, str]
    partitioned: list[str]
    engines: int = 3
    event_s: float = 0.02
    outcomes: list[Outcome] = field(default_factory=list)
    partition_began_s: float = 0.0
    partition_ended_s: float = 0.0
    _sent: int = 0

    def run(self, mode: PartitionMode, *, before_s: float, cut_s: float, after_s: float) -> None:
        """Simulate callers before, during and after a partition."""
        self.fleet.publish(prepaid_tokens=_PREPAID_TOKENS)
        for number in range(self.engines):
            self.fleet.start_engine(f"e{number}", event_s=self.event_s)
        for name, data_centre in self.data_centres.items():
            is_partitioned = name in self.partitioned
            self.fleet.start_instance(
                name, data_centre=data_centre, can_be_partitioned=is_partitioned
            )
        anyio.run(self._simulate, mode, before_s, cut_s, after_s)

    async def _simulate(
        self, mode: PartitionMode, before_s: float, cut_s: float, after_s: float
    ) -> None:
        async with httpx.AsyncClient(timeout=6.0) as http, anyio.create_task_group() as tasks:
            for name in self.data_centres:
                tasks.start_soon(self._keep_sending, http, tasks, name)
            await anyio.sleep(before_s)
            self.partition_began_s = time.monotonic()
            self._set_partition(mode)
            await anyio.sleep(cut_s)
            self._set_partition(PartitionMode.OPEN)
            self.partition_ended_s = time.monotonic()
            await anyio.sleep(after_s)
            tasks.cancel_scope.cancel()

    def _set_partition(self, mode: PartitionMode) -> None:
        for name in self.partitioned:
            self.fleet.partition(self.fleet.processes[name], mode)

    async def _keep_sending(self, http: httpx.AsyncClient, tasks: TaskGroup, instance: str) -> None:
        while True:
            self._sent += 1
            path = ONCE_PREFIX if self._sent % 3 == 0 else PREFIX
            tasks.start_soon(self._send, http, instance, path, f"r{self._sent}")
            await anyio.sleep(_REQUEST_INTERVAL_S)

    async def _send(
        self, http: httpx.AsyncClient, instance: str, path: str, request_id: str
    ) -> None:
        url = self.fleet.processes[instance].url + path
        sent_s = time.monotonic()
        try:
            response = await http.post(url, headers=request_headers(request_id), content=request_id)
        except httpx.HTTPError:
            status = 0
        else:
            is_whole = response.content.endswith(_LAST_EVENT)
            status = response.status_code if is_whole or response.is_error else 0
        took_s = time.monotonic() - sent_s
        self.outcomes.append(Outcome(instance, path, sent_s, took_s, status))

    def first_tries(self, from_s: float, to_s: float, *, at_partitioned: bool) -> list[Outcome]:
        """Return the first attempts sent in a span, at the partitioned instances or the others."""
        return [
            outcome
            for outcome in self.outcomes
            if from_s <= outcome.sent_s < to_s
            and (outcome.instance in self.partitioned) is at_partitioned
        ]

    def double_runs(self) -> list[str]:
        """Return the ids of requests of the non-idempotent route that ran more than once."""
        runs = Counter(
            headers["x-request-id"]
            for engine in self.fleet.engines
            for headers in self.fleet.journal(engine)
        )
        once = {f"r{number}" for number in range(3, self._sent + 1, 3)}
        return [
            request_id for request_id, count in runs.items() if count > 1 and request_id in once
        ]


def failed(outcomes: list[Outcome]) -> list[Outcome]:
    """Return the attempts that were not served."""
    return [outcome for outcome in outcomes if outcome.status != httpx.codes.OK]
