"""Recovery time of a data centre that loses its leaseholder while cut off from the platform.

Run ``python -m benchmarks.recovery``. Each round starts two data centres, cuts one off from the
platform, kills a budget's leaseholder there, and ends the cut. It prints for how long
after the kill that data centre answered no request, and for how long after the end of the cut it
refused the larger requests, which the witness could not serve alone.
"""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import fire

from mothstand.testing.examples import chat, write_folder
from mothstand.testing.fleet import Fleet, wait_until
from mothstand.testing.views import all_witnessed, holder_of
from mothstand.types import BudgetName, DataCentre

_INSTANCES = ("sto-a-1", "sto-a-2", "sto-b-1", "sto-b-2")
_SMALL_TOKENS = 2

#: More than the witness may spend alone, but well within the budget.
_LARGE_TOKENS = 2_000


@dataclass(frozen=True, slots=True)
class Recovery:
    """Seconds without service of one round."""

    after_kill_s: float
    after_heal_s: float


def _start(fleet: Fleet, folder: Path) -> None:
    fleet.start_platform()
    for letter in ("a", "b"):
        fleet.start_engine(f"llm-{letter}", f"sto-{letter}")
    for name in _INSTANCES:
        fleet.start_instance(name, name[:5], is_listed=False)
    fleet.publish_list()
    fleet.publish(write_folder(folder, fleet, paid_tokens={"lund": 200_000}))
    fleet.wait_ready(*_INSTANCES)
    wait_until(lambda: all_witnessed(fleet, data_centres=2), "no witnessed epochs")
    for name in _INSTANCES:
        wait_until(lambda n=name: _is_answered(fleet, n, _SMALL_TOKENS), name)


def _is_answered(fleet: Fleet, name: str, max_tokens: int) -> bool:
    return chat(fleet.processes[name].url, prompt="x", max_tokens=max_tokens).status_code == 200


def _seconds_until(fleet: Fleet, name: str, max_tokens: int) -> float:
    started = time.monotonic()
    wait_until(lambda: _is_answered(fleet, name, max_tokens), f"{name} does not serve", 60.0)
    return time.monotonic() - started


def measure(kept_cut_s: float) -> Recovery:
    """Run one round and return its recovery times.

    Parameters
    ----------
    kept_cut_s
        Time from the cut to the kill of the leaseholder.
    """
    with tempfile.TemporaryDirectory() as temporary, Fleet(Path(temporary)) as fleet:
        _start(fleet, Path(temporary) / "folder")
        holder, witness = holder_of(fleet, BudgetName("lund"), DataCentre("sto-a"))
        fleet.set_faults("platform", mode="down", callers=["sto-a-1", "sto-a-2"])
        time.sleep(kept_cut_s)
        fleet.processes[holder].kill()
        after_kill_s = _seconds_until(fleet, witness, _SMALL_TOKENS)
        fleet.set_faults("platform", mode="ok")
        return Recovery(after_kill_s, _seconds_until(fleet, witness, _LARGE_TOKENS))


def main(rounds: int = 6, kept_cut_s: float = 2.5) -> None:
    """Print the times of each round and the maxima."""
    recoveries = [measure(kept_cut_s) for _ in range(rounds)]
    for recovery in recoveries:
        print(
            f"kill to first answer {recovery.after_kill_s:.1f} s,"
            f" heal to all {recovery.after_heal_s:.1f} s"
        )
    print(
        f"worst: {max(recovery.after_kill_s for recovery in recoveries):.1f} s, "
        f"{max(recovery.after_heal_s for recovery in recoveries):.1f} s"
    )


if __name__ == "__main__":
    fire.Fire(main)
