"""Tests that instances outlive any single entry that another writer leaves in the store."""

from __future__ import annotations

import copy
import json
import time
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import httpx
import pytest

from ..core.claims import Claim, Holder
from ..core.fleet import Capacity, Member
from ..core.loans import Peer
from ..core.prompt import parse_parts, parse_token_counts
from ..core.quarantine import UpstreamCrash
from ..core.rate_limits import LimitNotice
from ..core.renewals import Renewal
from ..core.suspects import SuspectId
from ..core.upstreams import UpstreamKey
from ..gateway.ledger_records import decode, encode_claim, encode_renewal
from ..gateway.member_feed import decode_member, encode_member
from ..gateway.quarantine.records import decode_crash, encode_crash, record_age
from ..gateway.store import KeyedRecord
from ..platform.headers import PlatformHeaders
from ..platform.records import decode_config, decode_upstream
from ..testing.gateway_fleet import PREFIX, SERVICE, GatewayFleet, request_headers
from ..testing.registrations import registration
from ..types import BudgetName, DataCentre

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

    from ..testing.fleet import FleetProcess

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


@pytest.mark.processes
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


@pytest.mark.parametrize("counts", ["1,9999999999999999999999999", "9" * 30 + ",1", "1000000001,1"])
def test_request_of_more_tokens_than_sums_hold_is_refused(counts: str) -> None:
    # Guards against an instance that stops because one caller names a number of 25 digits.
    with pytest.raises(ValueError, match="token counts"):
        parse_token_counts(counts)
    with pytest.raises(ValueError, match="prompt part"):
        parse_parts(f"aa:{max(counts.split(','), key=len)}")


@pytest.mark.processes
def test_instances_outlive_a_request_of_too_many_tokens(tmp_path: Path) -> None:
    # Guards against a request that is asked of peers in a number that no message holds.
    with GatewayFleet(tmp_path) as fleet:
        fleet.start_engine("e1")
        fleet.publish(prepaid_tokens=1_000_000)
        instances = [fleet.start_instance(name) for name in ("a", "b")]
        time.sleep(2.0)
        for instance in instances:
            answer = fleet.send_request(instance, f"odd-{instance.name}", tokens="1," + "9" * 25)
            assert answer.status_code == 400
        for instance in instances:
            assert fleet.send_request(instance, f"after-{instance.name}").status_code == 200
            assert "MS1004" not in fleet.log(instance)


_MEMBER = encode_member(Member(Peer("a", "1", "127.0.0.1:1"), DataCentre("sto-a"), Capacity()))
_CLAIM = encode_claim(Claim(BudgetName("b"), Holder("a", "1"), 9, 0, 9, 0, 1.0))
_RENEWAL = encode_renewal(Renewal(Peer("a", "1", "127.0.0.1:1"), 1.0, 0))
_CRASH = encode_crash(
    UpstreamCrash(SuspectId("d"), UpstreamKey("i-1", 1), "r", "a", 0), datetime.now(UTC)
)


@pytest.mark.parametrize("number", ["1e400", "NaN", "1" + "0" * 25, "-1" + "0" * 25, "[]"])
@pytest.mark.parametrize(
    ("record", "decode", "fields"),
    [
        (_MEMBER, decode_member, ("cores", "link_mbit_per_s", "read_to", "lease_s")),
        (_CLAIM, decode, ("claimed", "base", "window", "spent", "demand", "held")),
        (_RENEWAL, decode, ("wall_s",)),
        (_CRASH, decode_crash, ("at_ms", "born_ms", "known_ends")),
    ],
    ids=["member", "claim", "renewal", "crash"],
)
def test_record_of_an_instance_with_a_number_out_of_range_is_refused(
    record: KeyedRecord,
    decode: Callable[[KeyedRecord], object],
    fields: tuple[str, ...],
    number: str,
) -> None:
    # Guards against sums and messages to peers that overflow where the number is used.
    decode(record)
    for field in fields:
        assert record.value is not None
        text = json.dumps({**json.loads(record.value), field: "VALUE"})
        odd = KeyedRecord(record.key, text.replace('"VALUE"', number).encode())
        with pytest.raises(ValueError):
            decode(odd)


def test_old_crash_record_of_any_age_is_skipped() -> None:
    # Guards against a reader that ends for a time that no duration can hold.
    text = json.dumps({**json.loads(_CRASH.value or b""), "at_ms": "VALUE"})
    odd = KeyedRecord(_CRASH.key, text.replace('"VALUE"', "-1" + "0" * 25).encode())
    with pytest.raises(ValueError):
        record_age(odd, datetime.now(UTC))


_CONFIG: dict[str, Any] = {
    "version": 2,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "kind": "idempotent",
            "timeout_ms": 1000,
            "goal_ms": 100,
            "priority": 1,
            "service": "s",
            "attempts": 2,
        }
    ],
    "services": [{"name": "s", "connection_limit": 9, "engine": {"slots": 8, "stride": 1}}],
    "limits": {"header_bytes": 9000, "body_bytes": 9000},
    "tenants": [{"name": "t", "keys": ["k"], "priority": 1, "prepaid": 9}],
}


@pytest.mark.parametrize("number", ["1e400", "NaN", "1" + "0" * 25])
@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        *(("routes", 0, name) for name in ("timeout_ms", "goal_ms", "priority", "attempts")),
        ("services", 0, "connection_limit"),
        ("services", 0, "engine", "slots"),
        ("services", 0, "engine", "stride"),
        ("limits", "header_bytes"),
        ("limits", "body_bytes"),
        ("tenants", 0, "priority"),
        ("tenants", 0, "prepaid"),
    ],
    ids=lambda path: ".".join(map(str, path)),
)
def test_configuration_with_a_number_out_of_range_is_refused_whole(
    path: tuple[str | int, ...], number: str
) -> None:
    # Guards against a version that is in force and overflows in a message to a peer.
    decode_config(json.dumps(_CONFIG).encode())
    decode_config(
        json.dumps(_CONFIG).replace('"prepaid": 9', '"prepaid": 1000000000000000000').encode()
    )
    odd: Any = copy.deepcopy(_CONFIG)
    inner = odd
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = "VALUE"
    with pytest.raises(ValueError, match="not a configuration"):
        decode_config(json.dumps(odd).replace('"VALUE"', number).encode())


@pytest.mark.parametrize("limit", ["1e16", "1e308", "9" * 300, "5e-324", "0"])
def test_any_limit_that_an_upstream_names_can_be_announced(limit: str) -> None:
    # Guards against an instance that no longer announces itself after an answer with a high limit.
    fields = PlatformHeaders().read_upstream(200, (("Server-Limit", limit),))
    notice = LimitNotice(UpstreamKey("i-1", 0), fields.rate_limit_per_s, 0.0)
    member = Member(Peer("a", "inc", "127.0.0.1:1"), DataCentre("a"))
    record = encode_member(member, limit_notices=(notice,))
    assert decode_member(record).limit_notices == (notice,)
