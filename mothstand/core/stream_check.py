"""Validation of a stream of server-sent events between an engine and a caller.

Another engine can continue a broken stream: `PartialAnswer` holds the state that it needs, and its
events are rewritten as events of the first engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from pydantic_core import from_json, to_json

_DONE = b"data: [DONE]"
_DATA = b"data:"
_END = b"\n\n"

#: Maximum size of a buffered event; an engine that sends more without an end is broken.
MAX_EVENT_BYTES = 1_000_000


class BrokenStreamError(Exception):
    """Raised if an engine's stream is not a single, complete answer.

    Parameters
    ----------
    valid_events
        Events before the fault that must still be sent to the caller.
    """

    def __init__(self, detail: str, *, kept: bytes = b"") -> None:
        super().__init__(detail)
        self.kept = kept


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a request as reported by the engine."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total_tokens(self) -> int:
        """Total number of tokens to bill."""
        return self.prompt_tokens + self.completion_tokens

    def as_json(self) -> dict[str, int]:
        """Return the usage in the format of the chat interface."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.total_tokens,
        }


def read_usage(value: object) -> Usage | None:
    """Return the usage in an engine's JSON object, or None if there is no valid one."""
    usage = value.get("usage") if isinstance(value, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt, completion = usage.get("prompt_tokens"), usage.get("completion_tokens")
    if type(prompt) is not int or type(completion) is not int or min(prompt, completion) < 0:
        return None
    return Usage(prompt, completion)


@dataclass(slots=True)
class AnswerSoFar:
    """The part of a streamed answer that was sent, from which another engine can continue.

    Parameters
    ----------
    pieces
        Text of each event.
    is_text_only
        Whether only text was sent, so that an engine can continue from the text alone.
    is_finished
        Whether an engine has sent a finish reason.
    usage
        Combined usage that the engines have reported.
    common_fields
        Fields of the first event that all events share.
    """

    pieces: list[str] = field(default_factory=list)
    plain: bool = True
    finished: bool = False
    usage: Usage | None = None
    head: dict[str, Any] = field(default_factory=dict)

    @property
    def begun(self) -> bool:
        """Whether an event was sent."""
        return bool(self.head)

    @property
    def text(self) -> str:
        """Text that was sent so far."""
        return "".join(self.pieces)

    @property
    def can_continue(self) -> bool:
        """Whether another engine can continue: there is text, only text, and its usage is known."""
        known = bool(self.pieces) and self.usage is not None
        return self.plain and known and not self.finished

    def is_whole(self, max_tokens: int) -> bool:
        """Return whether only the end of the stream is missing.

        Parameters
        ----------
        max_tokens
            Maximum number of tokens of the answer, at which it ends.
        """
        if self.usage is None:
            return False
        return self.finished or (self.plain and self.usage.completion_tokens >= max_tokens)

    def closing(self, *, wants_usage: bool) -> bytes:
        """Return the events that end a complete answer whose engine crashed."""
        events: list[dict[str, Any]] = []
        if not self.finished:
            choice = {"index": 0, "delta": {}, "finish_reason": "length"}
            events.append({**self.head, "choices": [choice]})
        if wants_usage and self.usage is not None:
            events.append({**self.head, "choices": [], "usage": self.usage.as_json()})
        return b"".join(_event(event) for event in events) + _DONE + _END

    def note(self, value: dict[str, Any]) -> None:
        """Add an event that is sent to the caller."""
        if not self.head:
            self.head = {key: value[key] for key in _HEAD_KEYS if key in value}
        try:
            (choice,) = value["choices"]
            delta = choice["delta"]
            if choice.get("finish_reason") is not None:
                self.finished = True
            if not delta.keys() <= _PLAIN_KEYS:
                self.plain = False
            self.pieces.append(delta.get("content") or "")
        except (TypeError, ValueError, KeyError, AttributeError):
            self.plain = False


#: Fields of the delta of an event that contains only text.
_PLAIN_KEYS = frozenset({"role", "content"})

#: Fields that all events of an answer share.
_HEAD_KEYS = ("id", "object", "created", "model")


class StreamCheck:
    """Forwards events as long as they belong to one answer.

    Parameters
    ----------
    wants_usage
        Whether the caller asked for the closing usage event; otherwise it is dropped.
    prior_answer
        Part of the same answer that another engine has sent, if any.

    Attributes
    ----------
    has_reported_usage
        Whether the engine has reported usage.

    Notes
    -----
    A late event of another answer, on a reused connection, is detected by its id. A truncated
    answer is detected by the missing end marker, which `finish` requires.
    """

    def __init__(self, *, wants_usage: bool, before: AnswerSoFar | None = None) -> None:
        self.so_far = before or AnswerSoFar()
        self.done = False
        self.reports_usage = False
        self._wants_usage = wants_usage
        self._continues = self.so_far.begun
        self._usage_before = self.so_far.usage
        self._engine_answer_id: str | None = None
        self._rest = b""

    @property
    def usage(self) -> Usage | None:
        """Usage of the answer so far, of all its engines; None if none was reported."""
        return self.so_far.usage

    def feed(self, data: bytes) -> bytes:
        """Add a chunk and return the events to send to the caller.

        Raises
        ------
        BrokenStreamError
            If an event is too long, not JSON, of another answer, an error, or after the end marker.
        """
        data = self._rest + data if self._rest else data
        end = data.rfind(_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStreamError(f"an event of over {MAX_EVENT_BYTES} bytes")
            self._rest = data
            return b""
        self._rest = data[end + 2 :]
        kept: list[bytes] = []
        try:
            for event in data[:end].split(_END):
                kept.append(self._pass(event))
        except BrokenStreamError as error:
            # Events before the fault count as sent: another engine continues after them.
            raise BrokenStreamError(str(error), kept=b"".join(kept)) from error
        return b"".join(kept)

    def finish(self) -> None:
        """Check the answer at the end of the connection.

        Raises
        ------
        BrokenStreamError
            If the end marker has not been received.
        """
        if not self.done:
            raise BrokenStreamError("the connection ended before the end marker")

    def _pass(self, event: bytes) -> bytes:
        """Return the event to send to the caller, or no bytes if it is dropped."""
        if self.done:
            raise BrokenStreamError("an event after the end marker")
        if event.startswith(_DONE):
            self.done = True
            return event + _END
        if not event.startswith(_DATA):
            # Comments and other fields only keep the connection open.
            return b""
        try:
            value = from_json(event[len(_DATA) :])
        except ValueError as error:
            raise BrokenStreamError("an event is not JSON") from error
        if not isinstance(value, dict) or "error" in value:
            raise BrokenStreamError("the engine sent an error")
        self._check_id(value.get("id"))
        self._note_usage(value)
        choices = value.get("choices")
        if choices:
            self.so_far.note(value)
        elif not self._wants_usage:
            return b""
        return self._as_first(value) if self._continues else event + _END

    def _check_id(self, answer_id: object) -> None:
        if not isinstance(answer_id, str):
            raise BrokenStreamError("an event has no id")
        if self._engine_answer_id is None:
            self._engine_answer_id = answer_id
        elif self._engine_answer_id != answer_id:
            raise BrokenStreamError(f"an event of {answer_id!r} in {self._engine_answer_id!r}")

    def _note_usage(self, value: dict[str, Any]) -> None:
        usage = read_usage(value)
        if usage is None:
            return
        self.reports_usage = True
        before = self._usage_before
        if before is not None:
            # The continuing engine's prompt contains the answer so far, which must not count twice.
            usage = Usage(before.prompt_tokens, before.completion_tokens + usage.completion_tokens)
        self.so_far.usage = usage

    def _as_first(self, value: dict[str, Any]) -> bytes:
        """Return an event of a later engine, rewritten as one of the first engine."""
        value["id"] = self.so_far.head["id"]
        usage = self.so_far.usage
        if value.get("usage") and usage is not None:
            value["usage"] = usage.as_json()
        for choice in value.get("choices") or ():
            if isinstance(choice, dict) and isinstance(choice.get("delta"), dict):
                choice["delta"].pop("role", None)
        return _event(value)


def _event(value: dict[str, Any]) -> bytes:
    return _DATA + b" " + to_json(value) + _END
