"""What is left of a budget for callers after instances were stopped in an outage, and all died.

What users saw: after the last fault of a day hardly any request was served, though a seventh of
what had been paid was unspent.

Order of events: the instances lose the store; all are stopped and started again one after the other
meanwhile; the store comes back, the budget is raised; later all processes are killed at once.

Cause: who is stopped in an outage cannot lower its claims. Once it has been out of touch for long
enough to spend them whole, nobody can tell that it did not, and the rest was lost with it. At the
budget's end all that was unspent lay there: of 3,250,000 tokens three holders had some 700,000 more
than they had said to have spent, and 466,000 were never consumed. Now they leave them to a peer,
and 179,000 are not: with holders that were stopped before they could spend their claims whole, and
in the windows of those that died at once.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import anyio
import pytest

from ..testing.budget_fleet import BudgetFleet
from ..testing.virtual_time import run_in_virtual_time

#: Requests that use 8,100 tokens on average, ten a second; the day would use 3.8 million tokens.
_REQUESTS_PER_S = 10.0
_USED_TOKENS = 8_100

#: Paid at the day's start; a quarter of it is added later.
_SCARCE_PAID_TOKENS = 2_600_000
_AMPLE_PAID_TOKENS = 3_000_000
_DAY_S = 51.0

#: Seconds after a death of all within which a fleet must have recovered, and the least part of the
#: requests after that which must be served: the platform's terms.
_RECOVERY_S = 12.0
_MIN_SERVED_SHARE = 0.25


@dataclass(slots=True)
class _Day:
    """The day's events, and what was counted up to the end of the recovery."""

    fleet: BudgetFleet
    seed: int
    counts_at_recovery: Counter[str] = field(default_factory=Counter)
    unspent_tokens: int = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._events)
            await self.fleet.run(_DAY_S, requests_per_s=_REQUESTS_PER_S, seed=self.seed)

    async def _events(self) -> None:
        # The fleet gets its callers after five seconds.
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
    """Return the part served of what is asked after the recovery and could be paid for then."""
    day = _Day(BudgetFleet(3, 2, paid_tokens), seed)
    run_in_virtual_time(day.run)
    asked = day.fleet.counts["asked"] - day.counts_at_recovery["asked"]
    served = day.fleet.counts["served"] - day.counts_at_recovery["served"]
    return served / min(asked, day.unspent_tokens / _USED_TOKENS)


class TestRecovery:
    def test_serves_after_stops_in_an_outage_and_kill_of_all(self) -> None:
        """Symptom, sequence and cause: see above. Far more is asked than was paid for."""
        assert _served_share(_SCARCE_PAID_TOKENS, seed=1) >= _MIN_SERVED_SHARE

    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_serves_when_demand_is_nearly_paid_for(self, seed: int) -> None:
        """Symptom, sequence and cause: see above. What is asked is about what was paid for.

        Before stopped instances left their tokens to a peer 0, 10, 36 and 10 % were served.
        """
        assert _served_share(_AMPLE_PAID_TOKENS, seed) >= _MIN_SERVED_SHARE

    @pytest.mark.parametrize("seed", [5, 11, 14, 17, 18])
    def test_serves_for_seeds_that_failed(self, seed: int) -> None:
        """Symptom, sequence and cause: see above. Of seeds 1 to 20 these five served too few."""
        assert _served_share(_AMPLE_PAID_TOKENS, seed) >= _MIN_SERVED_SHARE
