"""Validation of a stream of server-sent events between an engine and a caller.

Another engine can continue a broken stream: `PartialAnswer` holds the state that it needs, and its
events are rewritten as events of the first engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from pydantic_core import from_json, to_json

from .answer_limits import MAX_EVENT_BYTES

_END_MARKER = b"data: [DONE]"
_DATA_FIELD = b"data:"
_EVENT_END = b"\n\n"


class BrokenStreamError(Exception):
    """Raised if an engine's stream is not a single, complete answer.

    Parameters
    ----------
    valid_events
        Events before the fault that must still be sent to the caller.
    """

    def __init__(self, detail: str, *, valid_events: bytes = b"") -> None:
        super().__init__(detail)
        self.valid_events = valid_events


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
class PartialAnswer:
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
    is_text_only: bool = True
    is_finished: bool = False
    usage: Usage | None = None
    common_fields: dict[str, Any] = field(default_factory=dict)

    @property
    def has_begun(self) -> bool:
        """Whether an event was sent."""
        return bool(self.common_fields)

    @property
    def text(self) -> str:
        """Text that was sent so far."""
        return "".join(self.pieces)

    @property
    def can_continue(self) -> bool:
        """Whether another engine can continue: there is text, only text, and its usage is known."""
        has_text_and_usage = bool(self.pieces) and self.usage is not None
        return self.is_text_only and has_text_and_usage and not self.is_finished

    def is_complete(self, max_tokens: int) -> bool:
        """Return whether only the end of the stream is missing.

        Parameters
        ----------
        max_tokens
            Maximum number of tokens of the answer, at which it ends.
        """
        if self.usage is None:
            return False
        return self.is_finished or (
            self.is_text_only and self.usage.completion_tokens >= max_tokens
        )

    def closing_events(self, *, wants_usage: bool) -> bytes:
        """Return the events that end a complete answer whose stream broke before its end."""
        events: list[dict[str, Any]] = []
        if not self.is_finished:
            choice = {"index": 0, "delta": {}, "finish_reason": "length"}
            events.append({**self.common_fields, "choices": [choice]})
        if wants_usage and self.usage is not None:
            events.append({**self.common_fields, "choices": [], "usage": self.usage.as_json()})
        return b"".join(_encode_event(event) for event in events) + _END_MARKER + _EVENT_END

    def add_event(self, value: dict[str, Any]) -> None:
        """Add an event that is sent to the caller."""
        if not self.common_fields:
            self.common_fields = {key: value[key] for key in _COMMON_KEYS if key in value}
        try:
            (choice,) = value["choices"]
            delta = choice["delta"]
            if choice.get("finish_reason") is not None:
                self.is_finished = True
            if not delta.keys() <= _TEXT_DELTA_KEYS:
                self.is_text_only = False
            self.pieces.append(delta.get("content") or "")
        except (TypeError, ValueError, KeyError, AttributeError):
            self.is_text_only = False


#: Fields of the delta of an event that contains only text.
_TEXT_DELTA_KEYS = frozenset({"role", "content"})

#: Fields that all events of an answer share.
_COMMON_KEYS = ("id", "object", "created", "model")


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

    def __init__(self, *, wants_usage: bool, prior_answer: PartialAnswer | None = None) -> None:
        self.answer = prior_answer or PartialAnswer()
        self.is_done = False
        self.has_reported_usage = False
        self._wants_usage = wants_usage
        self._is_continuation = self.answer.has_begun
        self._prior_usage = self.answer.usage
        self._engine_answer_id: str | None = None
        self._buffer = b""

    @property
    def usage(self) -> Usage | None:
        """Usage of the answer so far, of all its engines; None if none was reported."""
        return self.answer.usage

    def feed(self, data: bytes) -> bytes:
        """Add a chunk and return the events to send to the caller.

        Raises
        ------
        BrokenStreamError
            If an event is too long, not JSON, of another answer, an error, or after the end marker.
        """
        data = self._buffer + data if self._buffer else data
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStreamError(f"an event of over {MAX_EVENT_BYTES} bytes")
            self._buffer = data
            return b""
        self._buffer = data[end + 2 :]
        valid_events: list[bytes] = []
        try:
            for event in data[:end].split(_EVENT_END):
                valid_events.append(self._filter_event(event))
        except BrokenStreamError as error:
            # Events before the fault count as sent: another engine continues after them.
            raise BrokenStreamError(str(error), valid_events=b"".join(valid_events)) from error
        return b"".join(valid_events)

    def finish(self) -> None:
        """Check the answer at the end of the connection.

        Raises
        ------
        BrokenStreamError
            If the end marker has not been received.
        """
        if not self.is_done:
            raise BrokenStreamError("the connection ended before the end marker")

    def _filter_event(self, event: bytes) -> bytes:
        """Return the event to send to the caller, or no bytes if it is dropped."""
        if self.is_done:
            raise BrokenStreamError("an event after the end marker")
        if event.startswith(_END_MARKER):
            self.is_done = True
            return event + _EVENT_END
        if not event.startswith(_DATA_FIELD):
            # Comments and other fields only keep the connection open.
            return b""
        try:
            value = from_json(event[len(_DATA_FIELD) :])
        except ValueError as error:
            raise BrokenStreamError("an event is not JSON") from error
        if not isinstance(value, dict) or "error" in value:
            raise BrokenStreamError("the engine sent an error")
        self._check_id(value.get("id"))
        self._note_usage(value)
        choices = value.get("choices")
        if choices:
            self.answer.add_event(value)
        elif not self._wants_usage:
            return b""
        return self._rewrite_as_first_engine(value) if self._is_continuation else event + _EVENT_END

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
        self.has_reported_usage = True
        prior = self._prior_usage
        if prior is not None:
            # The continuing engine's prompt contains the answer so far, which must not count twice.
            usage = Usage(prior.prompt_tokens, prior.completion_tokens + usage.completion_tokens)
        self.answer.usage = usage

    def _rewrite_as_first_engine(self, value: dict[str, Any]) -> bytes:
        """Return an event of a later engine, rewritten as one of the first engine."""
        value["id"] = self.answer.common_fields["id"]
        usage = self.answer.usage
        if value.get("usage") and usage is not None:
            value["usage"] = usage.as_json()
        for choice in value.get("choices") or ():
            if isinstance(choice, dict) and isinstance(choice.get("delta"), dict):
                choice["delta"].pop("role", None)
        return _encode_event(value)


def _encode_event(value: dict[str, Any]) -> bytes:
    return _DATA_FIELD + b" " + to_json(value) + _EVENT_END
