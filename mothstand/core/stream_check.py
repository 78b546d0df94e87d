"""Checks a stream of server-sent events on its way from an engine to a caller."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic_core import from_json

_DONE = b"data: [DONE]"
_DATA = b"data:"
_END = b"\n\n"

#: Longest event that is buffered; an engine that sends more without an end is broken.
MAX_EVENT_BYTES = 1_000_000


class BrokenStreamError(Exception):
    """The engine's stream is not a whole, single answer."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of a request, as the engine counts them."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total_tokens(self) -> int:
        """Tokens to bill."""
        return self.prompt_tokens + self.completion_tokens


def read_usage(value: object) -> Usage | None:
    """Return the usage in an engine's JSON object, or None when it holds none that is valid."""
    usage = value.get("usage") if isinstance(value, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt, completion = usage.get("prompt_tokens"), usage.get("completion_tokens")
    if type(prompt) is not int or type(completion) is not int or min(prompt, completion) < 0:
        return None
    return Usage(prompt, completion)


class StreamCheck:
    """Passes events on while they belong to one answer.

    Parameters
    ----------
    wants_usage
        Whether the caller asked for the closing usage event; else it is held back.

    Notes
    -----
    A late event of another answer, on a connection that was reused, shows by its id. A truncated
    answer shows by the missing end marker, which `finish` asks for.
    """

    def __init__(self, *, wants_usage: bool) -> None:
        self.usage: Usage | None = None
        self.done = False
        self._wants_usage = wants_usage
        self._answer_id: str | None = None
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return what of `data` is to be sent on.

        Raises
        ------
        BrokenStreamError
            If an event is not JSON, of another answer, an error, or after the end marker.
        """
        data = self._rest + data if self._rest else data
        end = data.rfind(_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStreamError(f"an event of over {MAX_EVENT_BYTES} bytes")
            self._rest = data
            return b""
        self._rest = data[end + 2 :]
        events = data[: end + 2]
        kept = [event + _END for event in events[:-2].split(_END) if self._passes(event)]
        return b"".join(kept)

    def finish(self) -> None:
        """Take the end of the connection.

        Raises
        ------
        BrokenStreamError
            If the end marker has not come.
        """
        if not self.done:
            raise BrokenStreamError("the connection ended before the end marker")

    def _passes(self, event: bytes) -> bool:
        if self.done:
            raise BrokenStreamError("an event after the end marker")
        if event.startswith(_DONE):
            self.done = True
            return True
        if not event.startswith(_DATA):
            # Comments and other fields keep a connection open; they carry nothing.
            return False
        try:
            value = from_json(event[len(_DATA) :])
        except ValueError as error:
            raise BrokenStreamError("an event is not JSON") from error
        if not isinstance(value, dict) or "error" in value:
            raise BrokenStreamError("the engine sent an error")
        self._check_id(value.get("id"))
        self.usage = read_usage(value) or self.usage
        return bool(value.get("choices")) or self._wants_usage

    def _check_id(self, answer_id: object) -> None:
        if not isinstance(answer_id, str):
            raise BrokenStreamError("an event has no id")
        if self._answer_id is None:
            self._answer_id = answer_id
        elif self._answer_id != answer_id:
            raise BrokenStreamError(f"an event of {answer_id!r} in {self._answer_id!r}")
