"""Digest that identifies a request which its caller sends again."""

from __future__ import annotations

import hashlib

from .suspects import SuspectId

_DIGEST_BYTES = 16


def request_digest(
    *, workspace: str, host: str, method: str, target: str, body: bytes
) -> SuspectId:
    """Return the digest of the parts that stay the same when a caller sends a request again.

    Id, deadline, priority and last received event change each time and are not included.

    Parameters
    ----------
    workspace
        Workspace of the caller; empty on public routes.
    host
        Host as the caller wrote it, with or without a port.
    target
        Path and query.
    """
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (workspace, host.partition(":")[0].lower(), method, target):
        encoded = part.encode("utf-8", "surrogateescape")
        # The length prefix separates parts that are equal only when joined.
        hashed.update(len(encoded).to_bytes(4, "big") + encoded)
    hashed.update(body)
    return SuspectId(hashed.hexdigest())
