"""Bodies of chat completions: parses the caller's and makes the engine's."""

from __future__ import annotations

import json
from typing import Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field

#: Characters of the prompt that identify its prefix: system prompts and style guides are longer.
_PREFIX_CHARACTERS = 256


class _TextPart(BaseModel):
    """A part of a message; only text is allowed, since only its tokens have an upper bound."""

    model_config = ConfigDict(extra="allow")
    type: str = Field(pattern="^text$")
    text: str


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")
    role: str
    content: str | list[_TextPart] | None = None


class _StreamOptions(BaseModel):
    model_config = ConfigDict(extra="allow")
    include_usage: bool = False


class ChatBody(BaseModel):
    """The fields of a caller's body that are read; others are passed on unchanged."""

    model_config = ConfigDict(extra="allow")
    model: str
    messages: list[_Message] = Field(min_length=1)
    stream: bool = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = Field(default=None, gt=0, le=1_000_000)
    max_completion_tokens: int | None = Field(default=None, gt=0, le=1_000_000)
    n: int = Field(default=1, ge=1, le=1)

    @property
    def prefix(self) -> str:
        """Hash that is equal for requests that share a cached prompt prefix."""
        first = self.messages[0].content
        text = first if isinstance(first, str) else "".join(p.text for p in first or [])
        return xxhash.xxh3_64_hexdigest(f"{self.model}|{text[:_PREFIX_CHARACTERS]}".encode())

    @property
    def can_continue(self) -> bool:
        """Whether another engine could continue from a part of the answer's text.

        It cannot if the answer is more than text, or follows a grammar, which would start anew.
        """
        extra = self.model_extra or {}
        ends_with_assistant = self.messages[-1].role == "assistant"
        return not ends_with_assistant and not any(
            extra.get(name) for name in _FIELDS_THAT_PREVENT_CONTINUING
        )


#: Fields of a body that make the answer more than text or bind it to a grammar.
_FIELDS_THAT_PREVENT_CONTINUING = (
    "tools",
    "functions",
    "response_format",
    "logprobs",
    "guided_json",
    "guided_regex",
    "guided_choice",
    "guided_grammar",
    "structured_outputs",
)


def engine_body(
    body: bytes, *, max_tokens: int, priority: int, stream: bool, partial_text: str = ""
) -> bytes:
    """Return the body to send to an engine.

    Parameters
    ----------
    body
        The caller's body.
    max_tokens
        Number of tokens that the engine may still generate.
    priority
        The workspace's priority; the engine runs waiting requests of the highest priority first.
    partial_text
        Part of the answer that another engine has generated, for this one to continue.
    """
    value: dict[str, Any] = json.loads(body)
    value.pop("max_completion_tokens", None)
    value["max_tokens"] = max_tokens
    # Engines run the lowest number first. A value that the caller sent is ignored.
    value["priority"] = -priority
    if stream:
        # Usage comes with each event, so that the cost of a stream that breaks off is known.
        value["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
    if partial_text:
        value["messages"].append({"role": "assistant", "content": partial_text})
        value["continue_final_message"] = True
        value["add_generation_prompt"] = False
    return json.dumps(value, ensure_ascii=False).encode()
