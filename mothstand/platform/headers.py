"""Translation between the platform's HTTP headers and the gateway's typed fields."""

from __future__ import annotations

from ..core.prompt import Prompt, parse_parts, parse_token_counts
from ..gateway.headers import (
    CallerFields,
    ForwardFields,
    HeaderTranslator,
    RawHeaders,
    UpstreamFields,
    without,
)

_REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-Milliseconds"
_KEY = "X-Api-Key"
_MODEL = "X-Model"
# Prompt tokens, then the maximum number of output tokens.
_TOKENS = "X-Token-Counts"
_PARTS = "X-Prompt-Prefix"
_LAST_EVENT_ID = "Last-Event-Id"
_UPSTREAM_ID = "X-Expected-Instance"
_WORKSPACE = "X-Tenant"
# 0 is the highest priority.
_PRIORITY = "X-Request-Priority"
_NOT_RUN = "X-Not-Executed"
_RETRY_AFTER = "Retry-After"

_LEAST_URGENT = 9
_MISDIRECTED = 421

#: Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP = frozenset(
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
_RESERVED = frozenset(
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


def _named(headers: RawHeaders, name: str) -> str:
    wanted = name.lower()
    return next((value.strip() for key, value in headers if key.lower() == wanted), "")


class PlatformHeaders(HeaderTranslator):
    """Reads and writes headers under the platform's names."""

    def read_caller(self, headers: RawHeaders) -> CallerFields:
        """Return the fields of a caller's request headers."""
        deadline = _named(headers, _DEADLINE)
        try:
            deadline_s = float(deadline) / 1000 if deadline else None
        except ValueError:
            raise ValueError(f"{_DEADLINE} {deadline!r}: write milliseconds") from None
        return CallerFields(
            request_id=_named(headers, _REQUEST_ID),
            host=_named(headers, "Host"),
            key=_named(headers, _KEY),
            deadline_s=deadline_s,
            last_event_id=_named(headers, _LAST_EVENT_ID),
            prompt=_prompt(headers),
        )

    def to_upstream(self, headers: RawHeaders, fields: ForwardFields) -> RawHeaders:
        """Return a caller's headers as they are forwarded to an upstream."""
        passed = without(headers, _HOP_BY_HOP | _RESERVED | _listed_in_connection(headers))
        passed.append((_UPSTREAM_ID, fields.upstream_id))
        passed.append((_DEADLINE, str(max(1, int(fields.remaining_s * 1000)))))
        passed.append((_PRIORITY, str(min(_LEAST_URGENT, max(0, fields.priority)))))
        if fields.workspace:
            passed.append((_WORKSPACE, fields.workspace))
        if fields.last_event_id:
            passed.append((_LAST_EVENT_ID, fields.last_event_id))
        return tuple(passed)

    def read_upstream(self, status: int, headers: RawHeaders) -> UpstreamFields:
        """Return the fields of an upstream's response headers."""
        return UpstreamFields(
            request_id=_named(headers, _REQUEST_ID),
            not_run=bool(_named(headers, _NOT_RUN)),
            misdirected=status == _MISDIRECTED,
            last=_named(headers, "Connection").lower() == "close",
        )

    def to_caller(self, headers: RawHeaders) -> RawHeaders:
        """Return an upstream's headers as they are sent to the caller."""
        return tuple(without(headers, _HOP_BY_HOP | _listed_in_connection(headers)))

    def of_refusal(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer that the gateway itself produces."""
        headers = [("Content-Type", "application/json")]
        if request_id:
            headers.append((_REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append((_RETRY_AFTER, f"{retry_after_s:.3f}"))
        return tuple(headers)


def _prompt(headers: RawHeaders) -> Prompt:
    counts = _named(headers, _TOKENS)
    if not counts:
        return Prompt()
    input_tokens, max_output_tokens = parse_token_counts(counts)
    parts = parse_parts(_named(headers, _PARTS))
    return Prompt(_named(headers, _MODEL), input_tokens, max_output_tokens, parts)


def _listed_in_connection(headers: RawHeaders) -> frozenset[str]:
    """Return the headers that ``Connection`` lists as specific to the connection."""
    names = _named(headers, "Connection").lower().split(",")
    return frozenset(name.strip() for name in names if name.strip())
