"""Command line of the soak: ``python -m mothstand.testing.soak --seeds 0-49``."""

from __future__ import annotations

import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import fire

from .history import Soak, SoakSettings


def main(seeds: str = "0", keep: str = "", **settings: Any) -> None:
    """Play soaks and print the broken rules of each.

    Parameters
    ----------
    seeds
        One seed, or the first and the last one with a hyphen.
    keep
        Folder that receives records and logs; a temporary one if empty.
    settings
        Fields of `SoakSettings`.
    """
    first, _, last = str(seeds).partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory(prefix="mothstand-soak-") as temporary:
            folder = Path(keep or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True)
            began_s = time.monotonic()
            result = Soak(replace(SoakSettings(seed), **settings), folder).play()
        took_s = time.monotonic() - began_s
        rules = {rule: 0 for rule in sorted({v.rule for v in result.violations})}
        for violation in result.violations:
            rules[violation.rule] += 1
        print(f"seed {seed}: {rules or 'held'}; {result.extras} extras, {took_s:.0f} s")
        print(f"  {result.shares}; internal errors: {result.internal_errors}")
        print(f"  {result.outcomes}")
        for violation in result.violations[:20]:
            print(f"  {violation.rule} {violation.request_id}: {violation.detail}")
        broken += bool(result.violations)
    print(f"{broken} seeds with broken rules")


if __name__ == "__main__":
    fire.Fire(main)
