"""Encodes crashes of upstreams and probe requests as records of the store."""

from __future__ import annotations

import random
import re
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import xxhash
from pydantic import BaseModel

from ...core.quarantine import Probe, UpstreamCrash
from ...core.suspects import SuspectId
from ...core.upstreams import UpstreamKey
from ..bounded import Offset, UnixMilliseconds
from ..store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

_PROBE_KEY_PREFIX = "trial"

_CLAIM_BYTES = 8
_CLAIM_PATTERN = re.compile("[0-9a-f]{16}")


class _DatedValue(BaseModel):
    """Value with a time in milliseconds since the Unix epoch."""

    at_ms: UnixMilliseconds


class _CrashValue(_DatedValue):
    """Crash of an upstream; the key begins with the id of the suspect."""

    upstream: str
    born_ms: UnixMilliseconds
    request: str
    instance: str
    known_ends: Offset
    part: str = ""


class _ProbeValue(_DatedValue):
    """Probe of a quarantined suspect; the key ends with its claim."""

    instance: str


def new_probes(suspect_ids: Iterable[SuspectId]) -> tuple[Probe, ...]:
    """Return a probe of each suspect of one attempt, with a new random claim."""
    claim_id = random.randbytes(_CLAIM_BYTES).hex()
    return tuple(Probe(suspect_id, claim_id) for suspect_id in suspect_ids)


def crash_key(crash: UpstreamCrash) -> str:
    """Return a key of limited length that is the same at all instances that report a crash."""
    upstream = crash.upstream
    hashed = xxhash.xxh3_64_hexdigest(f"{upstream.upstream_id} {upstream.born_ms}".encode())
    return f"{crash.suspect_id}/end-{hashed}"


def probe_key(probe: Probe) -> str:
    """Return the key of a probe's record."""
    return f"{probe.suspect_id}/{_PROBE_KEY_PREFIX}-{probe.claim_id}"


def is_probe_key(key: str) -> bool:
    """Return whether a key belongs to a probe's record."""
    return f"/{_PROBE_KEY_PREFIX}-" in key


def probe_of_key(key: str) -> Probe:
    """Return the probe that a key names.

    Raises
    ------
    ValueError
        If the key is not that of a probe.
    """
    suspect_id, _, claim = key.partition(f"/{_PROBE_KEY_PREFIX}-")
    if not _CLAIM_PATTERN.fullmatch(claim):
        raise ValueError(f"the key must end with a claim of 16 hex digits, not {claim!r}")
    return Probe(SuspectId(suspect_id), claim)


def encode_crash(crash: UpstreamCrash, at: datetime) -> KeyedRecord:
    """Return the record of a crash."""
    value = _CrashValue(
        at_ms=_to_ms(at),
        upstream=crash.upstream.upstream_id,
        born_ms=crash.upstream.born_ms,
        request=crash.request_id,
        instance=crash.instance,
        known_ends=crash.known_crashes,
        part=crash.label,
    )
    return KeyedRecord(crash_key(crash), value.model_dump_json().encode())


def encode_probe(probe: Probe, instance: str, at: datetime) -> KeyedRecord:
    """Return the record of a probe that an instance sends."""
    value = _ProbeValue(instance=instance, at_ms=_to_ms(at))
    return KeyedRecord(probe_key(probe), value.model_dump_json().encode())


def decode_crash(record: KeyedRecord) -> UpstreamCrash:
    """Return the crash that a record reports.

    Raises
    ------
    ValueError
        If the record's value is invalid.
    """
    value = _CrashValue.model_validate_json(record.value or b"")
    return UpstreamCrash(
        SuspectId(record.key.partition("/")[0]),
        UpstreamKey(value.upstream, value.born_ms),
        value.request,
        value.instance,
        value.known_ends,
        value.part,
    )


def record_age(record: KeyedRecord, now: datetime) -> timedelta:
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
