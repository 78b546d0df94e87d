"""Claims in the log, so that only one instance dispatches a keyed call that must not repeat."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.intents import RELEASED, Intent, IntentFold
from ..core.records import IntentRecord, RunEnded, RunIntended
from ..errors import ErrorKind, Refusal, RefusedError

if TYPE_CHECKING:
    from ..clock import Clock
    from ..log.writer import LogWriter
    from ..types import Member

#: Maximum wait until a claim is read back from the log.
CLAIM_WAIT_S = 2.0


class IntentClaims:
    """Claims keys in the ``intents`` stream and reads back which claim came first.

    Parameters
    ----------
    writer
        Appends to the stream.
    """

    def __init__(self, local_member: Member, writer: LogWriter[IntentRecord], clock: Clock) -> None:
        self.fold = IntentFold()
        self._local_member = local_member
        self._writer = writer
        self._clock = clock
        self._claiming_keys: set[str] = set()
        self._abandoned_keys: set[str] = set()
        self._progress = anyio.Event()

    def on_record(self, offset: int, record: IntentRecord) -> None:
        """Apply one record of the stream."""
        self.fold.apply(offset, record)
        if record.request_key in self._abandoned_keys and isinstance(record, RunIntended):
            self._abandoned_keys.discard(record.request_key)
            self._release(record.request_key)
        self._progress.set()
        self._progress = anyio.Event()

    async def claim(self, request_key: str, body_digest: str) -> Intent:
        """Return the claim that holds the key.

        The request may be dispatched only if `is_held_locally` is true for the returned claim.

        Raises
        ------
        RefusedError
            ``PLATFORM_UNREACHABLE`` if the claim is not read back in time; nothing has been or
            will be dispatched under this claim then. ``KEY_RUNNING`` if this process is claiming
            the key or its earlier claim on it may still reach the log.
        """
        known = self.fold.find(request_key)
        if known is not None:
            return known
        if request_key in self._claiming_keys or request_key in self._abandoned_keys:
            raise RefusedError(Refusal(ErrorKind.KEY_RUNNING, "it is being started here"))
        self._claiming_keys.add(request_key)
        try:
            return await self._claim(request_key, body_digest)
        finally:
            self._claiming_keys.discard(request_key)

    def is_held_locally(self, intent: Intent) -> bool:
        """Return whether this process holds the claim."""
        return intent.owner == self._local_member and intent.status is None

    def record_end(self, request_key: str, status: int) -> None:
        """Append the status with which the run ended."""
        self._writer.submit(
            lambda record_id: RunEnded(record_id=record_id, request_key=request_key, status=status)
        )

    def release(self, request_key: str) -> None:
        """Free the key of a request that did not run."""
        self._release(request_key)

    def _release(self, request_key: str) -> None:
        intent = self.fold.find(request_key)
        if intent is not None and intent.owner == self._local_member:
            self.record_end(request_key, RELEASED)

    async def _claim(self, request_key: str, body_digest: str) -> Intent:
        self._writer.submit(
            lambda record_id: RunIntended(
                record_id=record_id,
                request_key=request_key,
                body_digest=body_digest,
                owner=self._local_member,
            )
        )
        deadline_s = self._clock.monotonic_s() + CLAIM_WAIT_S
        while (remaining_s := deadline_s - self._clock.monotonic_s()) > 0:
            progress = self._progress
            intent = self.fold.find(request_key)
            if intent is not None:
                return intent
            with anyio.move_on_after(remaining_s):
                await progress.wait()
        # The claim may still reach the log. It is released when it is read back. Until then this
        # process refuses the key, so that no request is dispatched under it.
        self._abandoned_keys.add(request_key)
        raise RefusedError(Refusal(ErrorKind.PLATFORM_UNREACHABLE))
