"""Reads whole bodies of answers within the memory that they may take."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ..core.answer_limits import (
    MAX_BODY_BYTES,
    MAX_SMALL_BODY_BYTES,
    HeldBytes,
    HeldBytesExceededError,
)
from .upstream_client import AnswerTooLongError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from .upstream_client import UpstreamAnswer


class AnswerBodies:
    """Bodies that are held in memory until they have been passed on."""

    def __init__(self) -> None:
        self._held = HeldBytes()

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
        taken_bytes = 0
        try:
            while piece := await answer.read_piece():
                body += piece
                if len(body) > MAX_BODY_BYTES:
                    raise AnswerTooLongError(f"a body of over {MAX_BODY_BYTES} bytes")
                if len(body) > MAX_SMALL_BODY_BYTES:
                    self._held.take(len(piece))
                    taken_bytes += len(piece)
            yield bytes(body)
        except HeldBytesExceededError as error:
            raise AnswerTooLongError(str(error)) from error
        finally:
            self._held.give_back(taken_bytes)
