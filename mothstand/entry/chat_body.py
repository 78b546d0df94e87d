"""The body of a chat completion: what is read of a caller's, and what engines get."""

from __future__ import annotations

import json
from typing import Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field

#: Characters of the prompt that name its prefix: a system prompt or style guide is longer.
_PREFIX_CHARACTERS = 256


class _TextPart(BaseModel):
    """A part of a message; only text has a bound on its tokens."""

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
    """What is read of a caller's body; the rest is passed on as it is."""

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
        """What requests that share a cached prompt prefix have in common."""
        first = self.messages[0].content
        text = first if isinstance(first, str) else "".join(p.text for p in first or [])
        return xxhash.xxh3_64_hexdigest(f"{self.model}|{text[:_PREFIX_CHARACTERS]}".encode())

    @property
    def can_continue(self) -> bool:
        """Whether another engine could go on from a part of the answer's text.

        Not where the answer is more than text, or made under a grammar that would start anew.
        """
        extra = self.model_extra or {}
        ends_with_assistant = self.messages[-1].role == "assistant"
        return not ends_with_assistant and not any(
            extra.get(name) for name in _FIELDS_THAT_PREVENT_CONTINUING
        )


#: Fields of a body by which its answer is more than text, or bound to a grammar.
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
    """Return the body that an engine gets.

    Parameters
    ----------
    body
        The caller's.
    max_tokens
        How many tokens the engine may still make.
    priority
        The workspace's; of those that wait at the engine, the highest goes first.
    text_so_far
        A part of the answer that another engine has made, for this one to go on with.
    """
    value: dict[str, Any] = json.loads(body)
    value.pop("max_completion_tokens", None)
    value["max_tokens"] = max_tokens
    # Engines take the lowest number first. The caller's own value, if any, does not count.
    value["priority"] = -priority
    if stream:
        # Usage with each event: what a cut stream has cost is known at any moment.
        value["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
    if partial_text:
        value["messages"].append({"role": "assistant", "content": partial_text})
        value["continue_final_message"] = True
        value["add_generation_prompt"] = False
    return json.dumps(value, ensure_ascii=False).encode()
