"""Escrow policy under failure: overspend, false refusals, stranded tokens, appends.

Run ``python -m benchmarks.escrow`` for the table at today's sizes, with ``--user`` for the other
user and ``--scale 100`` for a hundred times the load. Each scenario runs the ledger, the ledger
without witnesses ("write-off") and an even split, on the same arrivals. It runs in fake time and
prints only counts, which are the same in every run.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import fire
from absl import logging

from mothstand.core.escrow import EscrowPolicy
from mothstand.types import BudgetName

from .fleet_ledger import EvenSplitLedger, FleetLedger
from .world import DATA_CENTRES, Demand, Result, World

if TYPE_CHECKING:
    from collections.abc import Callable

    from .world import Ledger

WARM_UP_S = 300.0
OBSERVED_S = 120.0
HOUR_S = 3600.0

#: Demand of each user's callers, scaled to what one instance's share of the runners can serve.
USERS = {
    "kallhanvisa": Demand(requests_per_s=30.0, budgets=10),
    "doto": Demand(requests_per_s=12.0, budgets=10),
}
POLICIES = {
    "kallhanvisa": EscrowPolicy(),
    "doto": EscrowPolicy(allowance_percent=0),
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A failure to simulate.

    A "cut" separates a data centre from the platform, "alone" from the other data centres too.

    Parameters
    ----------
    budget_hours
        Hours of demand that each budget covers; budgets of few hours end within the run.
    """

    name: str
    act: Callable[[World], None]
    budget_hours: float = 12.0


def _steady(world: World) -> None:
    world.run(OBSERVED_S)


def _kill(role: str) -> Callable[[World], None]:
    def act(world: World) -> None:
        world.ledger.kill(DATA_CENTRES[0], role)
        world.run(OBSERVED_S)

    return act


def _cut(during: Callable[[World], None], *, is_isolated: bool) -> Callable[[World], None]:
    def act(world: World) -> None:
        world.ledger.cut(DATA_CENTRES[0], is_cut=True, is_isolated=is_isolated)
        during(world)
        world.ledger.cut(DATA_CENTRES[0], is_cut=False)
        world.run(OBSERVED_S)

    return act


def _run_hour(world: World) -> None:
    world.run(HOUR_S)


def _top_up_within_hour(world: World) -> None:
    world.run(HOUR_S / 2)
    world.top_up(percent=50)
    world.run(HOUR_S / 2)


def _kill_holder_during_cut(world: World) -> None:
    world.run(60.0)
    world.ledger.kill(DATA_CENTRES[0], "holder")
    world.run(600.0)


SCENARIOS = (
    Scenario("steady", _steady),
    Scenario("kill holder", _kill("holder")),
    Scenario("kill witness", _kill("witness")),
    Scenario("kill both", _kill("both")),
    Scenario("hour's cut", _cut(_run_hour, is_isolated=False)),
    Scenario("hour's cut, top-up", _cut(_top_up_within_hour, is_isolated=False), budget_hours=0.7),
    Scenario("cut, then kill holder", _cut(_kill_holder_during_cut, is_isolated=False)),
    Scenario("hour alone", _cut(_run_hour, is_isolated=True)),
    Scenario("hour alone, top-up", _cut(_top_up_within_hour, is_isolated=True), budget_hours=0.7),
    Scenario("alone, then kill holder", _cut(_kill_holder_during_cut, is_isolated=True)),
    Scenario("budgets end", _steady, budget_hours=0.1),
    Scenario("budgets end, kill holder", _kill("holder"), budget_hours=0.1),
)


def make_paid_budgets(demand: Demand, hours: float) -> dict[BudgetName, int]:
    """Return the paid tokens of budgets that together cover `hours` of the demand.

    Shares fall off as 1/rank, like those of the arrivals.
    """
    weights = [1 / rank for rank in range(1, demand.budgets + 1)]
    total = demand.requests_per_s * demand.used_tokens * hours * HOUR_S
    return {
        BudgetName(f"budget-{i}"): int(total * weight / sum(weights))
        for i, weight in enumerate(weights)
    }


def run_one(kind: str, scenario: Scenario, demand: Demand, policy: EscrowPolicy) -> Result:
    """Run a scenario on one kind of ledger.

    Parameters
    ----------
    kind
        ``witnessed``, ``write-off`` or ``even split``.
    """
    paid = make_paid_budgets(demand, scenario.budget_hours)
    warm_up_result = Result()
    ledger: Ledger
    if kind == "even split":
        ledger = EvenSplitLedger(paid)
    else:
        ledger = FleetLedger(policy, paid, warm_up_result, witnessed=kind == "witnessed")
    world = World(ledger, demand, paid, seed=1)
    world.result = warm_up_result
    world.run(WARM_UP_S)
    result = Result(overspent_tokens=warm_up_result.overspent_tokens)
    world.result = result
    if isinstance(ledger, FleetLedger):
        ledger.result = result
    scenario.act(world)
    result.stranded_tokens = ledger.stranded_tokens()
    return result


def rows(user: str, scale: float, skew: float, only: str = "") -> list[tuple[str, str, Result]]:
    """Return the scenario, the kind of ledger and the result of each run for a user."""
    base = USERS[user]
    demand = Demand(
        requests_per_s=base.requests_per_s * scale,
        budgets=round(base.budgets * max(1.0, scale / 10)),
        skew=skew,
    )
    results = []
    for scenario in SCENARIOS:
        if only and only != scenario.name:
            continue
        for kind in ("witnessed", "write-off", "even split"):
            results.append((scenario.name, kind, run_one(kind, scenario, demand, POLICIES[user])))
    return results


def main(
    user: str = "kallhanvisa", scale: float = 1.0, skew: float = 0.34, only: str = "", **policy: int
) -> None:
    """Print a row for each scenario and kind of ledger.

    Parameters
    ----------
    only
        Name of the only scenario to run.
    policy
        Fields of the escrow policy to override.
    """
    logging.set_verbosity(logging.FATAL)
    POLICIES[user] = replace(POLICIES[user], **policy)
    print(f"{user}, x{scale:g}, {100 * skew:.0f}% of the demand in the data centre that fails")
    print(
        f"{'scenario':26} {'ledger':11} {'requests':>8} {'overspent':>9} {'false %':>8}"
        f" {'stranded':>10} {'appends/1000':>12} {'elsewhere':>9}"
    )
    for scenario, kind, result in rows(user, scale, skew, only):
        print(
            f"{scenario:26} {kind:11} {result.requests:8} {result.overspent_tokens:9}"
            f" {result.false_percent:8.3f} {result.stranded_tokens:10}"
            f" {result.appends_per_1000:12.2f} {result.reserved_remotely:9}"
        )


if __name__ == "__main__":
    fire.Fire(main)
