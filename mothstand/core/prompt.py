"""Prompt metadata that a request declares: the parts of the prompt and its token counts."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

#: Maximum tokens of a request or a part of it. Sums over all requests of a budget stay within the
#: integers that messages between instances hold.
MAX_TOKENS = 10**9
_MAX_DIGITS = 20

#: Longer ids of parts are known by their digest: instances remember thousands of them.
_MAX_ID_LENGTH = 64

#: Maximum characters of a caller's text that an error quotes.
_MAX_QUOTED = 80


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
        Tokens of the entire prompt.
    max_output_tokens
        Maximum number of generated tokens.
    parts
        Leading part first; the last one belongs to the request or its session only.
    """

    model: str = ""
    input_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def max_tokens(self) -> int:
        """Maximum cost of the request in tokens."""
        return self.input_tokens + self.max_output_tokens

    @property
    def shareable_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have, too: all but the last one."""
        return self.parts[:-1]


def parse_token_counts(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output tokens of ``PROMPT,OUTPUT``.

    Raises
    ------
    ValueError
        If the text is invalid; the message quotes it.
    """
    first, _, second = text.partition(",")
    try:
        counts = int(first), int(second)
    except ValueError:
        raise ValueError(
            f"token counts {text[:_MAX_QUOTED]!r}: write PROMPT,OUTPUT in whole numbers"
        ) from None
    if min(counts) < 0 or max(counts) > MAX_TOKENS:
        raise ValueError(
            f"token counts {text[:_MAX_QUOTED]!r}: write numbers from 0 to {MAX_TOKENS}"
        )
    return counts


def parse_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the prompt parts of ``ID:TOKENS,ID:TOKENS``.

    Raises
    ------
    ValueError
        If an entry is invalid; the message quotes it.
    """
    parts = []
    for entry in filter(None, (piece.strip() for piece in text.split(","))):
        part_id, _, tokens = entry.rpartition(":")
        if not part_id or not tokens.isdecimal():
            raise ValueError(f"prompt part {entry[:_MAX_QUOTED]!r}: write ID:TOKENS")
        if len(tokens) > _MAX_DIGITS or int(tokens) > MAX_TOKENS:
            raise ValueError(
                f"prompt part {entry[:_MAX_QUOTED]!r}: write at most {MAX_TOKENS} tokens"
            )
        parts.append(PromptPart(_bounded_id(part_id), int(tokens)))
    return tuple(parts)


def _bounded_id(part_id: str) -> str:
    if len(part_id) <= _MAX_ID_LENGTH:
        return part_id
    return xxhash.xxh3_128_hexdigest(part_id.encode("utf-8", "surrogateescape"))
