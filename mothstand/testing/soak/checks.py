"""Judges a soak by what callers and upstreams saw."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .records import MAX_ATTEMPTS, PROMISES, Kind

if TYPE_CHECKING:
    from .records import Attempt, Run, SoakLog

#: An event of a stream: its number and its data.
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
_SUCCESSES = range(200, 300)
_DENIALS = range(300, 500)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str
    request_id: str
    detail: str


def violations(log: SoakLog, stream_events: int, *, is_undisturbed: bool) -> list[Violation]:
    """Return all broken rules.

    Parameters
    ----------
    stream_events
        Number of events of a complete stream.
    is_undisturbed
        Whether all instances ran all the time, so that each request has an answer.
    """
    found = []
    for attempt in log.attempts.values():
        runs = log.runs.get(attempt.request_id, [])
        for rule, detail in (
            *_run_violations(attempt, runs),
            *_answer_violations(attempt, runs),
            *_denials(attempt),
            *(_stream_violations(attempt, runs, stream_events) if attempt.kind.is_stream else ()),
        ):
            found.append(Violation(rule, attempt.request_id, detail))
        if is_undisturbed and not attempt.status and not attempt.has_left:
            found.append(Violation("LOST", attempt.request_id, "no answer"))
        if is_undisturbed and len(runs) > MAX_ATTEMPTS:
            found.append(Violation("BUDGET", attempt.request_id, f"{len(runs)} runs"))
    for subject, versions in log.versions.items():
        if len(set(versions)) > 1:
            found.append(Violation("ORDER", subject, f"joined from versions {versions}"))
    found += [
        Violation("UNASKED", request_id, "no caller sent it")
        for request_id in log.runs
        if request_id not in log.attempts
    ]
    found += [
        Violation("UNASKED", request_id, f"body of another request: {body!r}")
        for request_id, body in log.foreign_bodies.items()
    ]
    return found


def _run_violations(attempt: Attempt, runs: list[Run]) -> list[tuple[str, str]]:
    found = []
    for run in runs:
        pieces = [match[2] for match in EVENT.finditer(run.body)] or [run.body]
        subjects = {event_data(piece).get("subject", "") for piece in pieces if piece}
        if subjects - {attempt.subject}:
            found.append(("UNASKED", f"ran with the body of {subjects} at {run.upstream_id}"))
    places = [run.upstream_id for run in runs]
    if attempt.kind.may_run_twice:
        if len(set(places)) < len(places):
            # Only an upstream that counts as not reached is tried again.
            found.append(("TWICE", f"{attempt.kind.name} ran at {places}, at one of them again"))
        return found
    if len(runs) > 1:
        found.append(("TWICE", f"{attempt.kind.name} ran at {places}"))
    if runs and attempt.status in PROMISES:
        found.append(("REFUSED", f"{attempt.status}, and {attempt.kind.name} ran at {places}"))
    return found


def _answer_violations(attempt: Attempt, runs: list[Run]) -> list[tuple[str, str]]:
    found = []
    if attempt.protocol_error:
        found.append(("MIXED", f"no answer: {attempt.protocol_error}"))
    if attempt.request_ids not in ((), (attempt.request_id,)):
        found.append(("MIXED", f"answer of {attempt.request_ids}"))
    signed = [run for run in runs if run.signature == attempt.signature]
    if attempt.signature and not signed:
        found.append(("MIXED", f"signature {attempt.signature!r} of no run"))
    if signed and attempt.status != signed[0].status:
        found.append(("MIXED", f"status {attempt.status}, the upstream's was {signed[0].status}"))
    if attempt.status in _SUCCESSES and not attempt.signature:
        found.append(("MIXED", f"{attempt.status} without a signature"))
    is_whole = not (attempt.kind.is_stream and attempt.status in _SUCCESSES)
    if is_whole and attempt.is_complete and signed and attempt.body != signed[0].body:
        found.append(("MIXED", f"{len(attempt.body)} of {len(signed[0].body)} bytes, or others"))
    if is_whole and signed and not signed[0].body.startswith(attempt.body):
        found.append(("MIXED", f"{len(attempt.body)} bytes, not the first ones of the answer"))
    return found


def _denials(attempt: Attempt) -> list[tuple[str, str]]:
    """Return whether a proper request was denied by an instance itself."""
    is_denied = attempt.status in _DENIALS and attempt.status not in PROMISES
    return [("DENIED", f"{attempt.status}")] if is_denied and not attempt.signature else []


def _stream_violations(
    attempt: Attempt, runs: list[Run], stream_events: int
) -> list[tuple[str, str]]:
    if attempt.status not in _SUCCESSES:
        return []
    found = []
    numbers = []
    versions = set()
    end = 0
    for match in EVENT.finditer(attempt.body):
        if match.start() != end:
            break
        end = match.end()
        numbers.append(int(match[1]))
        data = event_data(match[2])
        versions.add(data.get("version", ""))
        if data.get("subject") != attempt.subject:
            found.append(("ORDER", f"event {numbers[-1]} of another stream: {match[2][:80]!r}"))
        elif not any(match[0] in run.body for run in runs):
            found.append(("ORDER", f"event {numbers[-1]} of no run: {match[2][:80]!r}"))
    if len(versions) > 1:
        found.append(("ORDER", f"joined from versions {sorted(versions)}"))
    if not attempt.kind.may_run_twice and not any(r.body.startswith(attempt.body) for r in runs):
        found.append(("ORDER", "events that no single run sent"))
    if attempt.body[end:]:
        found.append(("ORDER", f"no event: {attempt.body[end : end + 80]!r}"))
    first = attempt.after_event + 1
    if numbers != list(range(first, first + len(numbers))):
        found.append(("ORDER", f"events {numbers} after {attempt.after_event}"))
    last = numbers[-1] if numbers else attempt.after_event
    if attempt.is_complete and last != stream_events:
        found.append(("ORDER", f"complete after event {last} of {stream_events}"))
    return found


def event_data(data: bytes) -> dict[str, str]:
    """Return the data of an event, or nothing if it is not that of an upstream."""
    try:
        value = json.loads(data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def outcome_counts(log: SoakLog) -> dict[str, int]:
    """Return how the attempts of each kind ended, to show that a run was sharp."""
    counts: dict[str, int] = {}
    for attempt in log.attempts.values():
        is_whole = attempt.is_complete or attempt.status not in _SUCCESSES
        end = "left" if attempt.has_left else str(attempt.status) + ("" if is_whole else " broken")
        name = f"{attempt.kind.name} {end}"
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def served_share(log: SoakLog, kind: Kind) -> float:
    """Return the share of a kind's subjects that were served whole."""
    subjects = {a.subject for a in log.attempts.values() if a.kind is kind}
    served = {
        a.subject
        for a in log.attempts.values()
        if a.kind is kind and a.is_complete and a.status in _SUCCESSES
    }
    return len(served) / len(subjects) if subjects else 1.0
