"""Encodes crashes of upstreams and probe requests as records of the store."""

from __future__ import annotations

import random
import re
from datetime import datetime, timedelta

import xxhash
from pydantic import BaseModel

from ..core.quarantine import Trial, UpstreamEnd
from ..core.request_digest import RequestDigest
from ..core.upstreams import UpstreamKey
from .store import KeyedRecord

_TRIAL = "trial"

_CLAIM_BYTES = 8
_CLAIM = re.compile("[0-9a-f]{16}")


class _DatedValue(BaseModel):
    """Value with a time in milliseconds since the Unix epoch."""

    at_ms: int


class _EndValue(_DatedValue):
    """Crash of an upstream during a request; the key begins with the request's digest."""

    upstream: str
    born_ms: int
    request: str
    instance: str
    known_ends: int


class _TrialValue(_DatedValue):
    """Probe of a quarantined request; the key ends with its claim."""

    instance: str


def new_trial(digest: RequestDigest) -> Trial:
    """Return a probe with a new random claim."""
    return Trial(digest, random.randbytes(_CLAIM_BYTES).hex())


def end_key(end: UpstreamEnd) -> str:
    """Return a key of limited length that is the same at all instances that report a crash."""
    upstream = end.upstream
    hashed = xxhash.xxh3_64_hexdigest(f"{upstream.upstream_id} {upstream.born_ms}".encode())
    return f"{end.digest}/end-{hashed}"


def trial_key(trial: Trial) -> str:
    """Return the key of a probe's record."""
    return f"{trial.digest}/{_TRIAL}-{trial.claim}"


def is_trial_key(key: str) -> bool:
    """Return whether a key belongs to a probe's record."""
    return f"/{_TRIAL}-" in key


def trial_of_key(key: str) -> Trial:
    """Return the probe that a key names.

    Raises
    ------
    ValueError
        If the key is not that of a probe.
    """
    digest, _, claim = key.partition(f"/{_TRIAL}-")
    if not _CLAIM.fullmatch(claim):
        raise ValueError(f"a trial's key ends with its claim, but this is {claim!r}")
    return Trial(RequestDigest(digest), claim)


def encode_end(end: UpstreamEnd, at: datetime) -> KeyedRecord:
    """Return the record of a crash."""
    value = _EndValue(
        at_ms=_to_ms(at),
        upstream=end.upstream.upstream_id,
        born_ms=end.upstream.born_ms,
        request=end.request_id,
        instance=end.instance,
        known_ends=end.known_ends,
    )
    return KeyedRecord(end_key(end), value.model_dump_json().encode())


def encode_trial(trial: Trial, instance: str, at: datetime) -> KeyedRecord:
    """Return the record of a probe that an instance sends."""
    value = _TrialValue(instance=instance, at_ms=_to_ms(at))
    return KeyedRecord(trial_key(trial), value.model_dump_json().encode())


def decode_end(record: KeyedRecord) -> UpstreamEnd:
    """Return the crash that a record reports.

    Raises
    ------
    ValueError
        If the record's value is invalid.
    """
    value = _EndValue.model_validate_json(record.value or b"")
    return UpstreamEnd(
        RequestDigest(record.key.partition("/")[0]),
        UpstreamKey(value.upstream, value.born_ms),
        value.request,
        value.instance,
        value.known_ends,
    )


def age_of(record: KeyedRecord, now: datetime) -> timedelta:
    """Return the time since a record was written, by the clocks of its writer and this machine.

    Raises
    ------
    ValueError
        If the record's value is invalid.
    """
    value = _DatedValue.model_validate_json(record.value or b"")
    return max(timedelta(0), timedelta(milliseconds=_to_ms(now) - value.at_ms))


def _to_ms(time: datetime) -> int:
    return int(time.timestamp() * 1000)
