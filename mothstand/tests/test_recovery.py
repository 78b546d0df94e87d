"""Tests that a fleet still serves requests after stops in an outage and a kill of all processes.

Guards against unspent tokens that are lost with stopped instances. An instance that stops while it
cannot reach the store cannot lower its claims; once it may have spent them past their windows, the
unspent rest cannot be proven. It now hands its tokens over to a peer: of 3,250,000 paid tokens,
466,000 were never consumed without the handover and 179,000 with it. These are in the claims of
holders that stopped before they could spend all of them, and in the windows of killed processes.

In the simulated day all instances lose the store and are restarted one after the other, the store
becomes reachable again, the budget is topped up, and later all processes are killed at once.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import anyio
import pytest

from ..testing.budget_fleet import BudgetFleet
from ..testing.virtual_time import run_in_virtual_time

#: Ten requests per second with 8,100 tokens on average; the day would use 3.8 million tokens.
_REQUESTS_PER_S = 10.0
_USED_TOKENS = 8_100

#: Tokens paid at the start of the day; a quarter is added later.
_SCARCE_PAID_TOKENS = 2_600_000
_AMPLE_PAID_TOKENS = 3_000_000
_DAY_S = 51.0

#: The platform's terms: seconds within which a fleet must recover from a kill of all processes, and
#: the minimum share of the later requests that it must serve.
_RECOVERY_S = 12.0
_MIN_SERVED_SHARE = 0.25


@dataclass(slots=True)
class _Day:
    """Events of the simulated day, and counts at the end of the recovery."""

    fleet: BudgetFleet
    seed: int
    counts_at_recovery: Counter[str] = field(default_factory=Counter)
    unspent_tokens: int = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._events)
            await self.fleet.run(_DAY_S, requests_per_s=_REQUESTS_PER_S, seed=self.seed)

    async def _events(self) -> None:
        # The first requests arrive after five seconds.
        began_s = anyio.current_time() + 5.0

        async def until(second: float) -> None:
            await anyio.sleep(began_s + second - anyio.current_time())

        async with anyio.create_task_group() as tasks:
            await until(4.0)
            tasks.start_soon(self._stop_in_turn)
            await until(4.5)
            self.fleet.set_cut_off_from_store(True)
            await until(12.5)
            self.fleet.set_cut_off_from_store(False)
            await until(18.0)
            self.fleet.prepaid_tokens += self.fleet.prepaid_tokens // 4
            await until(34.0)
            for address in list(self.fleet.instances):
                tasks.start_soon(self._kill, address)
            await until(34.8 + _RECOVERY_S)
            self.counts_at_recovery = Counter(self.fleet.counts)
            self.unspent_tokens = self.fleet.prepaid_tokens - self.fleet.spent_tokens

    async def _stop_in_turn(self) -> None:
        async with anyio.create_task_group() as tasks:
            for address in list(self.fleet.instances):
                tasks.start_soon(self._stop, address)
                await anyio.sleep(1.5)

    async def _stop(self, address: str) -> None:
        await self.fleet.restart(address, down_s=0.7, is_graceful=True)

    async def _kill(self, address: str) -> None:
        await self.fleet.restart(address, down_s=0.8)


def _served_share(paid_tokens: int, seed: int) -> float:
    """Return the served share of the payable requests after the recovery."""
    day = _Day(BudgetFleet(3, 2, paid_tokens), seed)
    run_in_virtual_time(day.run)
    asked = day.fleet.counts["asked"] - day.counts_at_recovery["asked"]
    served = day.fleet.counts["served"] - day.counts_at_recovery["served"]
    return served / min(asked, day.unspent_tokens / _USED_TOKENS)


class TestRecovery:
    def test_serves_after_stops_in_an_outage_and_kill_of_all(self) -> None:
        """Demand far exceeds what is paid for."""
        assert _served_share(_SCARCE_PAID_TOKENS, seed=1) >= _MIN_SERVED_SHARE

    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_serves_when_demand_is_nearly_paid_for(self, seed: int) -> None:
        """Demand is about what is paid for.

        Without handovers by stopped instances, 0, 10, 36 and 10 % were served.
        """
        assert _served_share(_AMPLE_PAID_TOKENS, seed) >= _MIN_SERVED_SHARE

    @pytest.mark.parametrize("seed", [5, 11, 14, 17, 18])
    def test_serves_for_seeds_that_failed(self, seed: int) -> None:
        """Of seeds 1 to 20, these five served too few requests."""
        assert _served_share(_AMPLE_PAID_TOKENS, seed) >= _MIN_SERVED_SHARE
