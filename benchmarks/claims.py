"""Cost of claims and loans by fleet size, in virtual time.

Run as ``python -m benchmarks.claims``. Four data centres share one budget that never runs out; each
instance gets 1.5 requests a second for 10 s. Calls take as long as on the platform.
"""

from __future__ import annotations

import time

from absl import logging

from mothstand.testing.budget_fleet import BudgetFleet
from mothstand.testing.virtual_time import run_in_virtual_time

_SIZES = (12, 24, 48, 96, 192)
_DATA_CENTRES = 4
_DURATION_S = 10.0
_REQUESTS_PER_S_AND_INSTANCE = 1.5
_PLENTY_TOKENS = 10**9


def main() -> None:
    """Print a row for each fleet size."""
    logging.set_verbosity(logging.FATAL)
    print("instances  served  store calls/s  records read/s and instance  loans/request  run s")
    for size in _SIZES:
        fleet = BudgetFleet(_DATA_CENTRES, size // _DATA_CENTRES, _PLENTY_TOKENS)
        began_s = time.monotonic()
        rate = _REQUESTS_PER_S_AND_INSTANCE * size
        run_in_virtual_time(
            lambda fleet=fleet, rate=rate: fleet.run(  # type: ignore[misc]
                _DURATION_S, requests_per_s=rate
            )
        )
        counts = fleet.counts
        print(
            f"{size:9}  {fleet.served_share:6.3f}  {counts['store calls'] / _DURATION_S:13.1f}  "
            f"{counts['records read'] / _DURATION_S / size:27.1f}  "
            f"{counts['loans'] / counts['asked']:13.2f}  {time.monotonic() - began_s:5.1f}"
        )


if __name__ == "__main__":
    main()
