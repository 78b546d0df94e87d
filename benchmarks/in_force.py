"""Time from publishing a change until it is in force on every instance.

Run ``python -m benchmarks.in_force``: three data centres with 2, 4 and 8 instances each.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from statistics import quantiles

import anyio
import fire

from mothstand.clock import SystemClock
from mothstand.log.client import HttpLog
from mothstand.log.instances import HttpInstanceList
from mothstand.operators.publish import Publisher, wait_in_force
from mothstand.peers.client import GrpcPeers
from mothstand.settings.folder import read_folder
from mothstand.testing.examples import write_folder
from mothstand.testing.fleet import FLEET_KEY, Fleet


async def _publish(fleet: Fleet, folder: Path, number: int) -> float:
    log = HttpLog(fleet.platform.url, caller="bench", timeout_s=5.0)
    listing = HttpInstanceList(fleet.platform.url, caller="bench", timeout_s=5.0)
    peers = GrpcPeers(FLEET_KEY)
    clock = SystemClock()
    sections = read_folder(write_folder(folder, fleet, paid_tokens={"lund": 1_000_000 + number}))
    started = time.perf_counter()
    published = await Publisher(log, "bench", clock).publish(sections)
    spread = await wait_in_force(
        published.offset,
        listing,
        peers,
        clock,
        timeout_s=10.0,
        report_progress=lambda _: None,
        poll_interval_s=0.01,
    )
    elapsed_s = time.perf_counter() - started
    assert spread.is_complete, spread
    peers.close()
    await log.aclose()
    await listing.aclose()
    return elapsed_s


def measure(per_data_centre: int, changes: int) -> list[float]:
    """Return the seconds that each change took to be in force everywhere."""
    with tempfile.TemporaryDirectory() as temporary, Fleet(Path(temporary)) as fleet:
        fleet.start_platform()
        names = [f"sto-{letter}-{i}" for letter in "abc" for i in range(per_data_centre)]
        for name in names:
            fleet.start_instance(name, name[:5], is_listed=False)
        fleet.publish_list()
        folder = Path(temporary) / "folder"
        fleet.publish(write_folder(folder, fleet))
        fleet.wait_ready(*names)
        return [anyio.run(_publish, fleet, folder, number) for number in range(1, changes + 1)]


def main(changes: int = 40) -> None:
    """Print a line for each fleet size."""
    for per_data_centre in (2, 4, 8):
        percentiles_ms = quantiles([1000 * s for s in measure(per_data_centre, changes)], n=100)
        print(
            f"{3 * per_data_centre} instances: p50 {percentiles_ms[49]:.0f} ms,"
            f" p99 {percentiles_ms[98]:.0f} ms"
        )


if __name__ == "__main__":
    fire.Fire(main)
