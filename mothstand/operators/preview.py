"""Asks a gateway instance where a request would go now, and formats its answer."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from ..errors import SettingsError
from ..gateway.preview import KEY_HEADER, PREVIEW_PATH

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.preview_request import PreviewRequest

#: Time within which an instance must answer: it reads its memory, so a longer wait shows nothing.
_TIMEOUT_S = 1.0

_MAX_PORT = 65_535


class PreviewUnavailableError(Exception):
    """Raised if an instance does not answer a preview."""


async def ask_preview(instance: str, asked: PreviewRequest) -> dict[str, Any]:
    """Return the preview of the instance at a metrics address.

    Raises
    ------
    SettingsError
        If the address is invalid, or the instance knows no such route or workspace.
    PreviewUnavailableError
        If it gives no answer within a second.
    """
    _check_address(instance)
    headers = {KEY_HEADER: asked.key} if asked.key else {}
    url = f"http://{instance}{PREVIEW_PATH}"
    try:
        # The client's own timeout applies to each step of the call, not to all of them.
        with anyio.fail_after(_TIMEOUT_S):
            async with httpx.AsyncClient(
                timeout=_TIMEOUT_S, verify=False, trust_env=False
            ) as client:
                response = await client.get(url, params=asked.fields, headers=headers)
    except httpx.InvalidURL:
        raise SettingsError(_address_message(instance)) from None
    except TimeoutError:
        raise PreviewUnavailableError(_no_answer(instance, f"{_TIMEOUT_S:.0f} s passed")) from None
    except httpx.HTTPError as error:
        reason = str(error) or type(error).__name__
        raise PreviewUnavailableError(_no_answer(instance, reason)) from None
    return _read(instance, response)


def _read(instance: str, response: httpx.Response) -> dict[str, Any]:
    try:
        answer = json.loads(response.text)
        if response.status_code == httpx.codes.BAD_REQUEST:
            raise SettingsError(str(answer["error"]))
        if response.status_code == httpx.codes.OK and "refusals" in answer:
            return dict(answer)
    except (KeyError, TypeError, json.JSONDecodeError):
        pass
    raise PreviewUnavailableError(
        f"{instance} gives no preview (status {response.status_code}): give the metrics address "
        "of a gateway instance of this version"
    )


def _check_address(instance: str) -> None:
    host, _, port = instance.rpartition(":")
    if not host or "/" in instance or not (port.isascii() and port.isdecimal()):
        raise SettingsError(_address_message(instance))
    if not 0 < int(port) <= _MAX_PORT:
        raise SettingsError(_address_message(instance))


def _address_message(instance: str) -> str:
    return f"instance {instance!r}: write its metrics address as IP:PORT"


def _no_answer(instance: str, reason: str) -> str:
    return f"instance {instance} does not answer ({reason}): check that it runs, and its address"


def preview_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Return the lines of a preview for people."""
    yield f"instance {answer['instance']}, configuration {answer['config_version']}"
    yield ", ".join(
        f"{name} {'-' if answer[name] is None else answer[name]}"
        for name in ("route", "service", "workspace", "priority")
    )
    for refusal in answer["refusals"]:
        yield _refusal_line(refusal)
    if not answer["refusals"]:
        yield "not refused"
    yield f"choice: {answer['choice'] or 'none'}"
    if answer["prefill"] is not None:
        yield _prefill_line(answer["prefill"])
    if answer["budget"] is not None:
        yield _budget_line(answer["budget"])
    for note in answer["notes"]:
        yield f"note: {note}"
    if answer["engines"]:
        yield from _engine_lines(answer)


def _refusal_line(refusal: dict[str, Any]) -> str:
    probability = refusal["probability"]
    verdict = "refused" if probability >= 1 else f"refused with a probability of {probability:.0%}"
    text = f"{verdict}: {refusal['kind']} ({refusal['status']}), {_retry_text(refusal)}"
    return f"{text}; {refusal['detail']}" if refusal["detail"] else text


def _retry_text(refusal: dict[str, Any]) -> str:
    if refusal["retry_after_s"] is None:
        return "no Retry-After"
    lowest_s, highest_s = refusal["retry_after_s"]
    if lowest_s == highest_s:
        return f"Retry-After {lowest_s:g} s"
    return f"Retry-After {lowest_s:.3g} to {highest_s:.3g} s"


def _prefill_line(prefill: dict[str, Any]) -> str:
    length = "long" if prefill["is_long"] else "not long"
    text = f"prompt: {prefill['prompt_tokens']} tokens, {length}"
    if prefill["scheduler"] is None:
        return f"{text}; not scheduled"
    if prefill["hold_s"] is None:
        return f"{text}; {prefill['scheduler']} is asked for the engine and the time"
    return (
        f"{text}; scheduled here, held for {prefill['hold_s']:.3f} s, "
        f"read in {prefill['read_s']:.3f} s"
    )


def _budget_line(budget: dict[str, Any]) -> str:
    text = f"budget: {budget['needed_tokens']} tokens needed, {budget['available_tokens']} held"
    return f"{text}; exhausted" if budget["is_exhausted"] else text


def _engine_lines(answer: dict[str, Any]) -> Iterator[str]:
    engines = sorted(answer["engines"], key=lambda e: (e["cost"] is None, e["cost"] or 0, e["id"]))
    rows = [
        ("engine", "data centre", "cost", "running", "unread", "cached", "state"),
        *(_engine_row(engine, is_choice=engine["id"] == answer["choice"]) for engine in engines),
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        yield "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()


def _engine_row(engine: dict[str, Any], *, is_choice: bool) -> tuple[str, ...]:
    states = ["choice"] if is_choice else []
    if engine["reason"] is not None:
        states.append(engine["reason"])
    if engine["suspended_for_s"]:
        states.append(f"suspended for {engine['suspended_for_s']:.1f} s")
    states += [name for name in ("home", "slow", "cold") if engine[f"is_{name}"]]
    if engine["prefill"] is not None:
        wait_s, read_s = engine["prefill"]["wait_s"], engine["prefill"]["read_s"]
        states.append(f"free in {wait_s:.3f} s, reads in {read_s:.3f} s")
    return (
        engine["id"],
        engine["data_centre"],
        "-" if engine["cost"] is None else f"{engine['cost']:.0f}",
        str(engine["running"]),
        f"{engine['unread_tokens']:.0f}",
        str(engine["cached_tokens"]),
        ", ".join(dict.fromkeys(states)) or "eligible",
    )
