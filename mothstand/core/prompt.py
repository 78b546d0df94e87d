"""What a request says of its prompt: its parts, and how many tokens it may cost."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests with equal leading parts share their prefix cache."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request.

    Parameters
    ----------
    input_tokens
        Tokens of the whole prompt.
    max_output_tokens
        The most that may be generated.
    parts
        In order; the last one is the request's or its session's own.
    """

    model: str = ""
    input_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def max_tokens(self) -> int:
        """The most that the request can cost."""
        return self.input_tokens + self.max_output_tokens


def parse_token_counts(text: str) -> tuple[int, int]:
    """Return prompt tokens and most output tokens of ``PROMPT,OUTPUT``.

    Raises
    ------
    ValueError
        Naming the bad value.
    """
    first, _, second = text.partition(",")
    try:
        counts = int(first), int(second)
    except ValueError:
        raise ValueError(f"token counts {text!r}: write PROMPT,OUTPUT in whole numbers") from None
    if min(counts) < 0:
        raise ValueError(f"token counts {text!r}: write numbers of 0 or more")
    return counts


def parse_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the prompt parts of ``ID:TOKENS,ID:TOKENS``.

    Raises
    ------
    ValueError
        Naming the bad value.
    """
    parts = []
    for entry in filter(None, (piece.strip() for piece in text.split(","))):
        part_id, _, tokens = entry.rpartition(":")
        if not part_id or not tokens.isdecimal():
            raise ValueError(f"prompt part {entry!r}: write ID:TOKENS")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
