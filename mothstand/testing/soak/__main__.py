"""Command line of the soak: ``python -m mothstand.testing.soak --seeds 0-49``."""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, replace
from pathlib import Path

import fire

from .history import Soak, SoakResult, SoakSettings

_USUAL = SoakSettings(0)
_VIOLATIONS_SHOWN = 20


def main(
    seeds: str = "0",
    keep: str = "",
    *,
    instances: int = _USUAL.instances,
    upstreams: int = _USUAL.upstreams,
    requests: int = _USUAL.requests,
    requests_per_s: float = _USUAL.requests_per_s,
    disruptions_per_s: float = _USUAL.disruptions_per_s,
    leaving_share: float = _USUAL.leaving_share,
) -> None:
    """Play soaks of real processes, and print the rules that each has broken.

    The exit status is 1 if a rule was broken or an instance wrote an internal error. Records and
    logs of such a seed are kept, and the command that plays it again is printed.

    Parameters
    ----------
    seeds
        One seed, or the first and the last one with a hyphen.
    keep
        New folder for records and logs of all seeds; if empty, those of failed seeds are kept in a
        temporary one.
    instances
        Processes of the fleet.
    upstreams
        Stand-ins of upstreams.
    requests
        Requests of all callers; each may have several tries.
    requests_per_s
        Rate of new requests.
    disruptions_per_s
        Rate of signals, crashes, cuts and changes; 0 for faulty answers alone.
    leaving_share
        Share of the tries whose caller leaves before the answer is complete.
    """
    first, _, last = str(seeds).partition("-")
    if not first.isdecimal() or not (last or first).isdecimal():
        sys.exit(f"invalid seeds: {seeds}")
    settings = SoakSettings(
        0, instances, upstreams, requests, requests_per_s, disruptions_per_s, leaving_share
    )
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        if not _play(replace(settings, seed=seed), keep):
            failed.append(seed)
    print(f"{len(failed)} failed seeds {failed or ''}".rstrip())
    sys.exit(1 if failed else 0)


def command(settings: SoakSettings) -> str:
    """Return the command that plays a soak again."""
    usual = asdict(replace(_USUAL, seed=settings.seed))
    flags = [f" --{n} {v}" for n, v in asdict(settings).items() if v != usual[n]]
    return f"python -m mothstand.testing.soak --seeds {settings.seed}{''.join(flags)}"


def _play(settings: SoakSettings, keep: str) -> bool:
    """Play a soak and print its outcome; return whether all rules held."""
    name = f"seed-{settings.seed}"
    folder = Path(keep or tempfile.mkdtemp(prefix="mothstand-soak-")) / name
    folder.mkdir(parents=True)
    began_s = time.monotonic()
    soak = Soak(settings, folder)
    result = soak.play()
    took_s = time.monotonic() - began_s
    rules = dict(Counter(sorted(v.rule for v in result.violations)))
    has_held = not result.violations and not result.internal_errors
    print(f"{name}: {rules or 'held'}; {result.extras} extras, {took_s:.0f} s")
    _print_details(soak, result)
    if not has_held:
        print(f"  again: {command(settings)}")
        print(f"  records and logs: {folder}")
    elif not keep:
        shutil.rmtree(folder.parent)
    return has_held


def _print_details(soak: Soak, result: SoakResult) -> None:
    print(f"  faults: {result.shares}; internal errors: {result.internal_errors}")
    played = Counter(line.partition("--- ")[2].strip("_") for line in soak.log.lines)
    del played[""]
    print(f"  played: {dict(played.most_common()) or 'no disruptions'}")
    print(f"  outcomes: {result.outcomes}")
    for violation in result.violations[:_VIOLATIONS_SHOWN]:
        print(f"  {violation.rule} {violation.request_id}: {violation.detail}")


if __name__ == "__main__":
    fire.Fire(main, name="python -m mothstand.testing.soak")
