"""Suspects of a crash: the whole request that an upstream ran, and the parts of its prompt."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from .prompt import Prompt

#: Digest of a request, or of a prompt part; the former reveals no content.
SuspectId = NewType("SuspectId", str)

#: Digests of prompt parts begin with this, those of requests do not.
_PART_PREFIX = "part-"

_DIGEST_BYTES = 16

#: Maximum parts of a prompt that can be suspected: callers may send any number.
MAX_SUSPECTED_PARTS = 32

#: Maximum characters of a part's id in records and log lines.
_MAX_LABEL = 64

#: Seconds after the first bytes of an answer within which a prompt part crashes its upstream.
_CRASH_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class Suspect:
    """What may have crashed an upstream.

    Parameters
    ----------
    label
        Id of the prompt part, shortened for the log; empty for a whole request.
    """

    suspect_id: SuspectId
    label: str = ""


def is_part(suspect_id: SuspectId) -> bool:
    """Return whether a suspect is a prompt part."""
    return suspect_id.startswith(_PART_PREFIX)


def part_suspect(part_id: str) -> Suspect:
    """Return the suspect for a prompt part, the same for all workspaces and services.

    A part crashes every upstream, whoever sends it. Callers cannot have a part blocked on which
    others get answers, since these clear it.
    """
    hashed = hashlib.blake2b(part_id.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES)
    return Suspect(SuspectId(_PART_PREFIX + hashed.hexdigest()), part_id[:_MAX_LABEL])


def has_lived_on(answering_since_s: float | None, now_s: float) -> bool:
    """Return whether an upstream lived on after it began to write, so that no part crashes it.

    Parameters
    ----------
    answering_since_s
        Time of the first bytes of its answer; None before them.
    """
    return answering_since_s is not None and now_s - answering_since_s >= _CRASH_DELAY_S


def part_suspects(prompt: Prompt) -> tuple[Suspect, ...]:
    """Return the suspects among a prompt's parts; the last part belongs to a single request."""
    parts = prompt.shareable_parts[:MAX_SUSPECTED_PARTS]
    return tuple(part_suspect(part_id) for part_id in {part.part_id: None for part in parts})
