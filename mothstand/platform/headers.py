"""Translation between the platform's HTTP headers and the gateway's typed fields."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..core.prompt import Prompt, parse_parts, parse_token_counts
from ..gateway.headers import (
    CallerFields,
    ForwardFields,
    HeaderTranslator,
    RawHeaders,
    UpstreamFields,
    without_headers,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

_REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-Milliseconds"
_KEY = "X-Api-Key"
_MODEL = "X-Model"
# Prompt tokens, then the maximum number of output tokens.
_TOKENS = "X-Token-Counts"
_PARTS = "X-Prompt-Prefix"
_LAST_EVENT_ID = "Last-Event-Id"
_RESUMES = "Resumes"
_UPSTREAM_ID = "X-Expected-Instance"
_WORKSPACE = "X-Tenant"
# 0 is the highest priority.
_PRIORITY = "X-Request-Priority"
_NOT_EXECUTED = "X-Not-Executed"
_RETRY_AFTER = "Retry-After"
_RATE_LIMIT = "Server-Limit"

#: Higher limits count as this one, which no upstream reaches. Instances announce limits to others.
_MAX_RATE_LIMIT_PER_S = 1e9

#: Characters of an invalid header value that are logged.
_MAX_LOGGED_VALUE = 40

_LOWEST_PRIORITY = 9
_MISDIRECTED = 421

#: Statuses by which callers know that a request has not run and will not.
_REFUSAL_STATUSES = frozenset({408, _MISDIRECTED, 429, 503})

#: Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

#: Headers that only the fleet may set: with them, a caller could spend another workspace's tokens,
#: jump queues or take up memory of upstreams.
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        _KEY,
        _WORKSPACE,
        _UPSTREAM_ID,
        _PRIORITY,
        _DEADLINE,
        _LAST_EVENT_ID,
        "X-Expected-Version",
        "X-Hold",
        "X-Pin-Milliseconds",
        "X-Key-Value-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)


def _header_values(headers: RawHeaders, name: str) -> list[str]:
    wanted = name.lower()
    return [value.strip() for key, value in headers if key.lower() == wanted]


def _header_value(headers: RawHeaders, name: str) -> str:
    return next(iter(_header_values(headers, name)), "")


def _as_received(text: str) -> str:
    """Return received text such that the library sends the bytes that were received.

    Received bytes are read as Latin-1, and the library sends UTF-8. Bytes that are not UTF-8 cannot
    be sent unchanged.
    """
    if text.isascii():
        return text
    try:
        return text.encode("latin-1").decode()
    except UnicodeError:
        return text


def _all_as_received(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    return [(name, _as_received(value)) for name, value in headers]


class PlatformHeaders(HeaderTranslator):
    """Reads and writes headers under the platform's names."""

    def read_caller(self, headers: RawHeaders) -> CallerFields:
        """Return the fields of a caller's request headers."""
        for name in (_REQUEST_ID, _MODEL, _TOKENS, _PARTS, _LAST_EVENT_ID):
            value = _header_value(headers, name)
            if not value.isascii() and _as_received(value) == value:
                raise ValueError(f"{name} {value[:_MAX_LOGGED_VALUE]!r}: write UTF-8")
        deadline = _header_value(headers, _DEADLINE)
        try:
            deadline_s = float(deadline) / 1000 if deadline else None
        except ValueError:
            raise ValueError(f"{_DEADLINE} {deadline!r}: write milliseconds") from None
        return CallerFields(
            request_id=_header_value(headers, _REQUEST_ID),
            host=_header_value(headers, "Host"),
            key=_header_value(headers, _KEY),
            deadline_s=deadline_s,
            last_event_id=_header_value(headers, _LAST_EVENT_ID),
            prompt=_read_prompt(headers),
            resumes=_header_value(headers, _RESUMES),
        )

    def to_upstream(self, headers: RawHeaders, fields: ForwardFields) -> RawHeaders:
        """Return a caller's headers as they are forwarded to an upstream."""
        names = _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS | _connection_specific_headers(headers)
        forwarded = _all_as_received(without_headers(headers, names))
        forwarded.append((_UPSTREAM_ID, fields.upstream_id))
        forwarded.append((_DEADLINE, str(max(1, int(fields.remaining_s * 1000)))))
        forwarded.append((_PRIORITY, str(min(_LOWEST_PRIORITY, max(0, fields.priority)))))
        if fields.workspace:
            forwarded.append((_WORKSPACE, fields.workspace))
        if fields.last_event_id:
            forwarded.append((_LAST_EVENT_ID, _as_received(fields.last_event_id)))
        return tuple(forwarded)

    def relayed_to_upstream(self, headers: RawHeaders, elapsed_s: float) -> RawHeaders:
        """Return the headers of a relayed request, with its deadline reduced."""
        forwarded = _all_as_received(
            without_headers(headers, _HOP_BY_HOP_HEADERS | _connection_specific_headers(headers))
        )
        return tuple(
            (
                name,
                _reduced_deadline(value, elapsed_s) if name.lower() == _DEADLINE.lower() else value,
            )
            for name, value in forwarded
        )

    def read_upstream(self, status: int, headers: RawHeaders) -> UpstreamFields:
        """Return the fields of an upstream's response headers."""
        rate_limit_per_s, invalid_rate_limit = _read_rate_limit(headers)
        return UpstreamFields(
            request_id=", ".join(dict.fromkeys(_header_values(headers, _REQUEST_ID))),
            has_not_run=bool(_header_value(headers, _NOT_EXECUTED)),
            is_misdirected=status == _MISDIRECTED,
            closes_connection=_header_value(headers, "Connection").lower() == "close",
            rate_limit_per_s=rate_limit_per_s,
            invalid_rate_limit=invalid_rate_limit,
            has_status_of_refusal=status in _REFUSAL_STATUSES,
        )

    def to_caller(self, headers: RawHeaders) -> RawHeaders:
        """Return an upstream's headers as they are sent to the caller."""
        names = _HOP_BY_HOP_HEADERS | _connection_specific_headers(headers)
        return tuple(_all_as_received(without_headers(headers, names)))

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer that the gateway itself produces."""
        headers = [("Content-Type", "application/json")]
        if request_id:
            headers.append((_REQUEST_ID, _as_received(request_id)))
        if retry_after_s is not None:
            headers.append((_RETRY_AFTER, f"{retry_after_s:.3f}"))
        return tuple(headers)


def _read_rate_limit(headers: RawHeaders) -> tuple[float | None, str]:
    """Return the lowest limit that an answer names, and the first value that is none."""
    values = _header_values(headers, _RATE_LIMIT)
    limits_per_s = []
    invalid = ""
    for value in filter(None, values):
        try:
            limit_per_s = float(value)
        except ValueError:
            limit_per_s = math.nan
        if math.isfinite(limit_per_s) and limit_per_s >= 0:
            limits_per_s.append(min(_MAX_RATE_LIMIT_PER_S, limit_per_s))
        else:
            invalid = invalid or value[:_MAX_LOGGED_VALUE]
    return min(limits_per_s, default=None), invalid


def _reduced_deadline(value: str, elapsed_s: float) -> str:
    return str(max(1, int(float(value) - elapsed_s * 1000)))


def _read_prompt(headers: RawHeaders) -> Prompt:
    counts = _header_value(headers, _TOKENS)
    if not counts:
        return Prompt()
    input_tokens, max_output_tokens = parse_token_counts(counts)
    parts = parse_parts(_header_value(headers, _PARTS))
    return Prompt(_header_value(headers, _MODEL), input_tokens, max_output_tokens, parts)


def _connection_specific_headers(headers: RawHeaders) -> frozenset[str]:
    """Return the headers that ``Connection`` lists as specific to the connection."""
    names = _header_value(headers, "Connection").lower().split(",")
    return frozenset(name.strip() for name in names if name.strip())
