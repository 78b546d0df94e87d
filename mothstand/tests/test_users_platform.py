"""Tests of the translation between the users' platform and the fleet's types."""

from __future__ import annotations

import json
import struct
from typing import TYPE_CHECKING

import pytest

from ..core.routes import RequestKind
from ..gateway.headers import ForwardFields
from ..gateway.store import KeyedRecord
from ..platform.headers import PlatformHeaders
from ..platform.records import decode_config, decode_upstream
from ..platform.store import decode_page, encode_record

if TYPE_CHECKING:
    from ..gateway.headers import RawHeaders

_CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "ficu95.example",
            "path_prefix": "/pufi/",
            "kind": "streaming",
            "timeout_ms": 15000,
            "goal_ms": 300,
            "priority": 0,
            "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "path_prefix": "/pufi/deep/",
            "kind": "idempotent",
            "timeout_ms": 800,
            "priority": 2,
            "service": "a",
            "a field of tomorrow": 1,
        },
    ],
    "services": [{"name": "a", "connection_limit": 9, "engine": {"slots": 64, "stride": 4}}],
    "limits": {"header_bytes": 100, "body_bytes": 200, "idle_timeout_ms": 1500},
    "tenants": [{"name": "huka", "keys": ["k1", "k2"], "prepaid": 2137699}],
}


class TestConfig:
    def test_configuration_is_decoded_into_fleet_types(self) -> None:
        config = decode_config(json.dumps(_CONFIG).encode())
        assert config.version == 7
        assert config.services["a"].tokens_per_event == 4
        assert config.limits.idle_timeout_s == 1.5
        workspace = config.workspace_for("k2")
        assert workspace is not None
        assert (workspace.name, workspace.prepaid_tokens) == ("huka", 2137699)
        route = config.routes[0]
        assert (route.kind, route.timeout_s) == (RequestKind.STREAMING, 15.0)

    def test_route_with_longest_prefix_is_chosen(self) -> None:
        config = decode_config(json.dumps(_CONFIG).encode())
        route = config.route_for("FICU95.example:8740", "/pufi/deep/x")
        assert route is not None and route.name == "r-2"
        assert config.route_for("ficu95.example", "/other/") is None

    def test_split_follows_weights_and_is_stable_per_request(self) -> None:
        route = decode_config(json.dumps(_CONFIG).encode()).routes[0]
        chosen = [route.service_for(f"request-{n}") for n in range(2000)]
        assert 0.06 < chosen.count("b") / 2000 < 0.14
        assert chosen == [route.service_for(f"request-{n}") for n in range(2000)]

    @pytest.mark.parametrize(
        "data", [b"", b"{}", b'{"version": "x"}', b'{"version":1,"routes":[{}]}']
    )
    def test_malformed_configuration_is_rejected(self, data: bytes) -> None:
        with pytest.raises(ValueError, match="not a configuration"):
            decode_config(data)


_REGISTRATION: dict[str, object] = {
    "service": "a",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "draining",
    "sequence": 3,
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
}


class TestUpstream:
    def test_registration_is_decoded(self) -> None:
        upstream = decode_upstream("i-1", json.dumps(_REGISTRATION).encode())
        assert (upstream.address, upstream.data_centre, upstream.is_draining) == (
            "10.0.0.9:80",
            "z",
            True,
        )

    def test_process_start_time_is_decoded(self) -> None:
        data = json.dumps({**_REGISTRATION, "born": 1_796_000_000_123}).encode()
        assert decode_upstream("i-1", data).born_ms == 1_796_000_000_123

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b"\xff\x00", b'{"service": "a"}', b"[" * 5000, b"null"]
    )
    def test_malformed_registration_is_rejected(self, data: bytes) -> None:
        with pytest.raises(ValueError, match="not a registration"):
            decode_upstream("i-1", data)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("service", ""),
            ("service", 7),
            ("address", "elsewhere"),
            ("address", None),
            ("zone", ["z"]),
            ("slots", "6"),
            ("slots", 0),
            ("slots", True),
            ("state", "resting"),
            ("state", None),
            ("sequence", "3"),
            ("version", 1),
            ("cold_remaining_ms", "0"),
            ("born", 1.5),
            ("born", "1796000000123"),
            ("born", None),
        ],
    )
    def test_registration_with_invalid_field_is_rejected(self, field: str, value: object) -> None:
        """Guards against sending requests to an address that no upstream has.

        Another writer adds an entry with an unknown state or a number as text; it was accepted,
        since any state except draining counted as ready and values were converted.
        """
        data = json.dumps({**_REGISTRATION, field: value}).encode()
        with pytest.raises(ValueError, match=field):
            decode_upstream("i-1", data)

    @pytest.mark.parametrize("field", [f for f in _REGISTRATION if f != "models"])
    def test_registration_without_a_field_is_rejected(self, field: str) -> None:
        data = {name: value for name, value in _REGISTRATION.items() if name != field}
        with pytest.raises(ValueError, match=field):
            decode_upstream("i-1", json.dumps(data).encode())

    @pytest.mark.parametrize("upstream_id", ["", "i 1", "i-1\r\nHost: x", "\ufffd", "i" * 201])
    def test_id_unfit_for_a_header_is_rejected(self, upstream_id: str) -> None:
        with pytest.raises(ValueError, match="cannot be an upstream's id"):
            decode_upstream(upstream_id, json.dumps(_REGISTRATION).encode())


class TestStoreFormat:
    def test_records_round_trip_through_binary_form(self) -> None:
        body = encode_record(KeyedRecord("k", b"value")) + encode_record(KeyedRecord("gone", None))
        page = decode_page(struct.pack(">QQ", 9, 0) + body, 7)
        assert page.records == (KeyedRecord("k", b"value", 7), KeyedRecord("gone", None, 8))
        assert page.next_offset == 9

    @pytest.mark.parametrize("content", [b"", b"\x05k", b"\x01\xff\xff"])
    def test_undecodable_record_does_not_end_the_page(self, content: bytes) -> None:
        """Guards against an instance that misses all later changes of upstreams.

        Another writer adds an empty record, or one shorter than its key; each read of the page
        then failed as truncated.
        """
        strange = struct.pack(">I", len(content)) + content
        body = strange + encode_record(KeyedRecord("k", b"value"))
        page = decode_page(struct.pack(">QQ", 9, 0) + body, 7)
        assert page.records[1] == KeyedRecord("k", b"value", 8)
        assert page.next_offset == 9

    def test_truncated_page_is_rejected(self) -> None:
        body = encode_record(KeyedRecord("k", b"value"))
        with pytest.raises(ValueError, match="cut off"):
            decode_page(struct.pack(">QQ", 9, 0) + body[:-1], 7)


class TestHeaders:
    headers = (
        ("Host", "ficu95.example"),
        ("X-Request-Id", "9c41"),
        ("X-Api-Key", "secret"),
        ("X-Tenant", "somebody else"),
        ("x-hold", "stolen"),
        ("Kv-From", "1.2.3.4:5/h"),
        ("Connection", "keep-alive, X-Private"),
        ("X-Private", "1"),
        ("Transfer-Encoding", "chunked"),
        ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"),
        ("X-Prompt-Prefix", "5c:800,91:410,e4:250"),
        ("X-Deadline-Milliseconds", "5000"),
        ("X-Custom", "kept"),
    )

    def test_caller_headers_are_read(self) -> None:
        fields = PlatformHeaders().read_caller(self.headers)
        assert (fields.request_id, fields.key, fields.deadline_s) == ("9c41", "secret", 5.0)
        assert fields.prompt.max_tokens == 1540
        assert [part.tokens for part in fields.prompt.parts] == [800, 410, 250]

    def test_caller_cannot_set_reserved_headers(self) -> None:
        """Guards against spending another workspace's tokens or sending the key to an upstream.

        A caller sends headers that only the fleet may set, and they were forwarded.
        """
        fields = ForwardFields("i-1", "huka", 1.5, 1, "12")
        sent = PlatformHeaders().to_upstream(self.headers, fields)
        names = [name.lower() for name, _ in sent]
        for forbidden in ("x-api-key", "x-hold", "kv-from", "x-private", "transfer-encoding"):
            assert forbidden not in names
        values = dict(sent)
        assert names.count("x-tenant") == 1 and values["X-Tenant"] == "huka"
        assert values["X-Deadline-Milliseconds"] == "1500"
        assert values["X-Expected-Instance"] == "i-1"
        assert values["Last-Event-Id"] == "12"
        assert values["X-Custom"] == "kept"

    @pytest.mark.parametrize(
        "header",
        [
            ("X-Token-Counts", "many,1"),
            ("X-Token-Counts", "-1,1"),
            ("X-Deadline-Milliseconds", "soon"),
        ],
    )
    def test_malformed_header_is_rejected(self, header: tuple[str, str]) -> None:
        with pytest.raises(ValueError, match=header[1]):
            PlatformHeaders().read_caller((header,))

    def test_upstream_headers_are_read(self) -> None:
        translator = PlatformHeaders()
        assert translator.read_upstream(503, (("X-Not-Executed", "1"),)).has_not_run
        assert not translator.read_upstream(503, ()).has_not_run
        assert translator.read_upstream(421, ()).is_misdirected


def _sent(headers: RawHeaders) -> dict[str, bytes]:
    """Return header values as the library sends them."""
    return {name: value.encode() for name, value in headers}


def _received(headers: dict[str, bytes]) -> RawHeaders:
    return tuple((name, value.decode("latin-1")) for name, value in headers.items())


class TestUnusualBytes:
    def test_bytes_of_header_values_reach_upstream_and_caller_unchanged(self) -> None:
        # Guards against a request that runs under an id that no caller sent, and gets 502.
        headers = {"X-Request-Id": "r-é".encode(), "X-Model": "模".encode(), "X-A": b"a"}
        translator = PlatformHeaders()
        fields = ForwardFields("i-1", "låneavd", 1.0, 0, "händelse".encode().decode("latin-1"))
        forwarded = _sent(translator.to_upstream(_received(headers), fields))
        assert {name: forwarded[name] for name in headers} == headers
        assert forwarded["X-Tenant"] == "låneavd".encode()
        assert forwarded["Last-Event-Id"] == "händelse".encode()
        relayed = _sent(translator.relayed_to_upstream(_received(forwarded), 0.0))
        assert relayed == forwarded
        assert _sent(translator.to_caller(_received(headers))) == headers
        request_id = translator.read_caller(_received(headers)).request_id
        assert _sent(translator.refusal_headers(request_id, None))["X-Request-Id"] == "r-é".encode()

    @pytest.mark.parametrize("name", ["X-Request-Id", "X-Model", "Last-Event-Id"])
    def test_value_that_cannot_be_forwarded_unchanged_is_malformed(self, name: str) -> None:
        with pytest.raises(ValueError, match=name):
            PlatformHeaders().read_caller(_received({name: b"r-\xe9"}))
