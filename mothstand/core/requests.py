"""What a shard's leaseholder knows of requests that came with an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class KnownRequest:
    """A request that was started under a key.

    Parameters
    ----------
    owner
        Incarnation of the instance that runs or ran it, where retries can join.
    finished_at_s
        Monotonic time of its settlement; None while it runs.
    """

    owner: str
    finished_at_s: float | None = None


class RequestIndex:
    """Running and finished requests of one shard, by request id.

    Parameters
    ----------
    kept_s
        How long a finished request is remembered. A retry after that is a new request.
    """

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self._requests: dict[str, KnownRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def find(self, request_id: str, now_s: float) -> KnownRequest | None:
        """Return what is known of a request, or None."""
        known = self._requests.get(request_id)
        if known is None or self._is_expired(known, now_s):
            return None
        return known

    def start(self, request_id: str, owner: str) -> None:
        """Remember that `owner` runs the request."""
        self._requests[request_id] = KnownRequest(owner)

    def forget(self, request_id: str) -> None:
        """Forget a request that was given up before it ran."""
        self._requests.pop(request_id, None)

    def finish(self, request_id: str, now_s: float) -> None:
        """Remember that the request ended."""
        known = self._requests.get(request_id)
        if known is not None:
            known.finished_at_s = now_s

    def expire(self, now_s: float) -> None:
        """Drop what is past its time."""
        expired = [key for key, known in self._requests.items() if self._is_expired(known, now_s)]
        for key in expired:
            del self._requests[key]

    def _is_expired(self, known: KnownRequest, now_s: float) -> bool:
        return known.finished_at_s is not None and now_s - known.finished_at_s > self.retention_s
