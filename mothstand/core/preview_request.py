"""Request whose placement an operator asks for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .prompt import Prompt, parse_parts, parse_token_counts

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Id of a request for which the operator gives none.
_DEFAULT_REQUEST_ID = "preview"


@dataclass(frozen=True, slots=True)
class PreviewRequest:
    """What is asked about.

    Parameters
    ----------
    route
        Name of the route; if empty, `host` and `path` give it.
    workspace
        Name of the workspace; if empty, `key` gives it.
    fields
        The fields as text, without the key, to send them to an instance.
    """

    route: str
    host: str
    path: str
    workspace: str
    key: str = field(repr=False)
    request_id: str
    prompt: Prompt
    length_hint: int | None
    fields: dict[str, str]

    @classmethod
    def parse(cls, fields: Mapping[str, str], key: str) -> PreviewRequest:
        """Return the request that fields describe; a missing or an empty one is not given.

        Raises
        ------
        ValueError
            If a field is invalid. The message quotes its value and says what to write, but never
            contains the key.
        """
        given = {name: value for name, value in fields.items() if value}
        route, host, path = (given.get(name, "") for name in ("route", "host", "path"))
        if route and (host or path):
            raise ValueError(f"route {route!r}: give either --route, or --host and --path")
        if not route and not (host and path):
            raise ValueError(f"host {host!r}, path {path!r}: give --route, or --host and --path")
        workspace = given.get("workspace", "")
        if workspace and key:
            raise ValueError(f"workspace {workspace!r}: give either --workspace or --key")
        if not (key.isascii() and key.isprintable()):
            raise ValueError("key: write it as callers send it, in printable ASCII characters")
        prompt = _prompt(given.get("tokens", ""), given.get("parts", ""))
        return cls(
            route=route,
            host=host,
            path=path.partition("?")[0],
            workspace=workspace,
            key=key,
            request_id=given.get("request", _DEFAULT_REQUEST_ID),
            prompt=prompt,
            length_hint=_length_hint(given.get("length_hint", "")),
            fields=given,
        )


def _prompt(tokens: str, parts: str) -> Prompt:
    prompt_parts = parse_parts(parts)
    if prompt_parts and not tokens:
        raise ValueError(f"prompt parts {parts!r}: give --tokens PROMPT,OUTPUT, too")
    input_tokens, output_tokens = parse_token_counts(tokens) if tokens else (0, 0)
    if sum(part.tokens for part in prompt_parts) > input_tokens:
        raise ValueError(
            f"prompt parts {parts!r}: their tokens exceed the {input_tokens} of the prompt; "
            "correct --tokens or --parts"
        )
    return Prompt("", input_tokens, output_tokens, prompt_parts)


def _length_hint(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f"length hint {text!r}: write a whole number of 0 or more")
    return int(text)
