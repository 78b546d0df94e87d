"""Refusals as HTTP answers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import Send

    from ..errors import Refusal

REQUEST_ID_HEADER = "x-request-id"


def refusal_body(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal, in the shape that chat-completions clients read."""
    message = f"{refusal.answer.message} {refusal.detail}".strip()
    error = {
        "message": message,
        "type": refusal.kind.value,
        "code": refusal.kind.value,
        "param": None,
        "run_state": refusal.answer.run_state.value,
        "retry_after_s": refusal.effective_retry_after_s,
    }
    return json.dumps({"error": error}).encode()


def refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers of a refusal: when to come back, and whether that is safe."""
    headers = {"content-type": "application/json"}
    if refusal.effective_retry_after_s is None:
        # Client libraries repeat requests on 5xx by themselves unless told not to.
        headers["x-should-retry"] = "false"
    else:
        headers["retry-after"] = f"{refusal.effective_retry_after_s:g}"
    return headers


def refusal_event(refusal: Refusal) -> bytes:
    """Return the event that ends a stream which cannot be completed; no end marker follows."""
    return b"data: " + refusal_body(refusal) + b"\n\n"


async def send_complete(send: Send, status: int, headers: dict[str, str], body: bytes) -> None:
    """Send an answer in one piece."""
    pairs = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]
    pairs.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})


async def send_refusal(send: Send, refusal: Refusal, request_id: str = "") -> None:
    """Send a refusal."""
    headers = refusal_headers(refusal)
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    await send_complete(send, refusal.answer.status, headers, refusal_body(refusal))
