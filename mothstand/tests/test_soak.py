"""Short soaks of real processes."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import pytest

from ..testing.soak.__main__ import command
from ..testing.soak.history import Soak, SoakSettings
from ..testing.soak.records import PROMISES, Kind

#: What each of them finds on earlier code.
_SEEDS = [
    # Nothing: most requests are rejected at first, with no bytes behind answers.
    SoakSettings(2),
    # A rejection that came twice was taken for that of the next request, which ran twice.
    SoakSettings(100),
    # Events followed by the head of an additional answer, in a stream that ends by its close.
    SoakSettings(201, disruptions_per_s=1.5),
]

#: Of what the settings aim at, the part that a sharp run has at least.
_SHARP_SHARE = 0.3


@pytest.mark.processes
@pytest.mark.parametrize("settings", _SEEDS, ids=lambda s: f"{s.seed}")
def test_soak_holds_all_rules(settings: SoakSettings) -> None:
    """Guards against requests that run twice, or run and are refused, and joined answers."""
    folder = Path(tempfile.mkdtemp(prefix=f"mothstand-soak-{settings.seed}-"))
    soak = Soak(settings, folder)
    result = soak.play()
    broken = "\n".join(f"{v.rule} {v.request_id}: {v.detail}" for v in result.violations)
    described = f"{broken}\n{result.outcomes}\nlogs: {folder}\nagain: {command(settings)}"
    assert not result.violations, described
    assert not result.internal_errors, f"{result.internal_errors} internal errors; {described}"

    attempts = list(soak.log.attempts.values())
    rejections = sum(attempt.status in PROMISES for attempt in attempts)
    runs = sum(len(of_request) for of_request in soak.log.runs.values())
    complete = sum(attempt.is_complete and attempt.status == 200 for attempt in attempts)
    requests = settings.requests
    assert runs >= _SHARP_SHARE * requests, f"{runs} runs; {described}"
    assert complete >= _SHARP_SHARE * requests, f"{complete} complete answers; {described}"
    aimed_rejections = result.shares.rejected * requests
    assert rejections >= _SHARP_SHARE * aimed_rejections, f"{rejections} rejections; {described}"
    aimed_extras = result.shares.extra * requests
    assert result.extras >= _SHARP_SHARE * aimed_extras, f"{result.extras} extras; {described}"
    assert {attempt.kind for attempt in attempts} == set(Kind), described
    shutil.rmtree(folder)
