"""Reads answers within the memory that they may take."""

from __future__ import annotations

from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING

from ..core.answer_limits import MAX_BODY_BYTES
from .upstream_client import AnswerTooLongError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from ..core.caller_memory import CallerMemory, Holding
    from .upstream_client import UpstreamAnswer

#: The library copies a body to send it behind its head, and reads ahead in a stream.
_COPIES = 2


class AnswerBodies:
    """Bodies that are held in memory until they have been passed on.

    Parameters
    ----------
    memory
        Account of what is held for callers.
    """

    def __init__(self, memory: CallerMemory) -> None:
        self._memory = memory

    @asynccontextmanager
    async def read(self, answer: UpstreamAnswer) -> AsyncIterator[bytes]:
        """Read the complete body of an answer and hold it.

        Raises
        ------
        ConnectionBrokenError
            If the answer broke off.
        AnswerTooLongError
            If the body, or all bodies together, are too long.
        """
        body = bytearray()
        held = self._memory.open(is_answer=True)
        try:
            while piece := await answer.read_piece():
                if not self._memory.grow(held, _COPIES * len(piece)):
                    raise AnswerTooLongError("no memory is left for its body")
                body += piece
                if len(body) > MAX_BODY_BYTES:
                    raise AnswerTooLongError(f"a body of over {MAX_BODY_BYTES} bytes")
            content = bytes(body)
            body.clear()
            yield content
        finally:
            self._memory.close(held)

    @contextmanager
    def stream(self) -> Iterator[HeldStream]:
        """Account for an answer that is passed on piece by piece."""
        held = self._memory.open(is_answer=True)
        try:
            yield HeldStream(self._memory, held)
        finally:
            self._memory.close(held)


class HeldStream:
    """What is held of a stream while its caller takes a piece."""

    def __init__(self, memory: CallerMemory, held: Holding) -> None:
        self._memory = memory
        self._held = held

    def hold(self, piece: bytes, unpassed_bytes: int) -> None:
        """Hold a piece before its events are taken from it: once taken, they must be passed on.

        Parameters
        ----------
        unpassed_bytes
            Bytes of the earlier pieces that are not passed on yet.

        Raises
        ------
        AnswerTooLongError
            If there is no memory for them.
        """
        # While the caller takes its events, about as much as the piece is read ahead.
        size_bytes = _COPIES * len(piece) + len(piece) + unpassed_bytes
        if not self._memory.resize(self._held, size_bytes):
            raise AnswerTooLongError("no memory is left for its events")
