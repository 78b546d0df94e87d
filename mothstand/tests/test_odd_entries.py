"""Tests that instances outlive any single entry that another writer leaves in the store."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import httpx
import pytest

from ..platform.records import decode_upstream
from ..testing.gateway_fleet import PREFIX, SERVICE, GatewayFleet, request_headers
from ..testing.registrations import registration

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from ..testing.fleet import FleetProcess

pytestmark = pytest.mark.processes

_ENTRY = registration(SERVICE, "127.0.0.1:9")

#: Values that stand for a field, as JSON.
_ODD_NUMBERS = (
    "1e400",
    "-1e300",
    "NaN",
    "Infinity",
    "-1",
    "0",
    "1" + "0" * 400,
    "1" + "0" * 25,
    "1e15",
)
_ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "999.1.1.1:80",
    "...:80",
    "127.0.0.1:00000000080",
    "1:2:3",
    "\\ud800:80",
    "",
)


def _with(field: str, value: str) -> bytes:
    """Return a registration with a field's value, which may be no JSON that can be written."""
    text = json.dumps({**_ENTRY, field: "VALUE"})
    return text.replace('"VALUE"', value).encode()


def _odd_registrations() -> Iterator[bytes]:
    for address in _ODD_ADDRESSES:
        yield _with("address", f'"{address}"')
    for field in ("slots", "cold_remaining_ms", "born", "sequence"):
        for number in _ODD_NUMBERS:
            yield _with(field, number)
    for field in ("service", "zone", "version"):
        yield _with(field, '"' + "x" * 60_000 + '"')
        yield _with(field, '"\\ud800"')
        yield _with(field, "[" * 50_000 + "]" * 50_000)
    yield b"[" * 100_000
    yield b"\xff\xfe\x00"


def _put(fleet: GatewayFleet, topic: str, key: str, value: bytes) -> None:
    params = {"topic": topic, "key": key}
    httpx.post(f"{fleet.store.url}/put", params=params, content=value).raise_for_status()


def _assert_serves(fleet: GatewayFleet, instance: FleetProcess, name: str) -> None:
    """Assert that an instance runs, serves and logs no internal error."""
    statuses = []
    for number in range(60):
        # No two have a part of their prompts in common, so that all upstreams are candidates.
        headers = request_headers(f"{name}-{number}", parts=f"{number + 1:x}:100")
        answer = httpx.post(instance.url + PREFIX, headers=headers, content=b"body", timeout=10)
        statuses.append(answer.status_code)
    assert instance.process.poll() is None, fleet.log(instance)[-2000:]
    assert "MS9001" not in fleet.log(instance)
    assert statuses == [200] * len(statuses)


def test_odd_registrations_neither_end_an_instance_nor_stop_it_from_following(
    tmp_path: Path,
) -> None:
    # Guards against instances that end, or go on with old upstreams, for one entry in the list.
    with GatewayFleet(tmp_path) as fleet:
        fleet.start_engine("e1")
        fleet.publish(prepaid_tokens=10_000_000)
        follower = fleet.start_instance("follower")
        for number, value in enumerate(_odd_registrations()):
            _put(fleet, "keyed.servers", f"odd-{number}", value)
        time.sleep(1.0)
        _assert_serves(fleet, follower, "before")
        engine = fleet.start_engine("e2")
        fleet.delete("keyed.servers", "e1")
        time.sleep(1.0)
        lister = fleet.start_instance("lister")
        for instance in (follower, lister):
            _assert_serves(fleet, instance, f"after-{instance.name}")
        assert len(fleet.journal(engine)) == 120


@pytest.mark.parametrize(
    "value",
    [
        *(_with("address", f'"{address}"') for address in _ODD_ADDRESSES if "00080" not in address),
        *(_with("slots", n) for n in ("0", "-1", "1e15", "1" + "0" * 25, "1" + "0" * 400)),
        *(_with("cold_remaining_ms", n) for n in ("1e400", "-1e300", "NaN", "Infinity", "1e15")),
        *(_with("born", n) for n in ("-1", "1e15", "1" + "0" * 25, "1" + "0" * 400)),
        *(_with(field, '"' + "x" * 60_000 + '"') for field in ("service", "zone", "version")),
    ],
)
def test_registration_with_a_value_out_of_range_is_refused(value: bytes) -> None:
    # Guards against a value that overflows only where it is used.
    with pytest.raises(ValueError, match="not a registration"):
        decode_upstream("i-1", value)
