"""Generates reference pages in ``docs/`` from the code; a test compares them with it.

Run ``python -m mothstand.docs_pages`` to write the pages.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from absl import logging

from .errors import ANSWERS
from .events import Event
from .settings import folder, gateway, instance, operator

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .settings.ini import SectionModel

_LEVELS = {logging.INFO: "info", logging.WARNING: "warning", logging.ERROR: "error"}


def errors_page() -> str:
    """Return the table of error kinds."""
    lines = [
        "# Errors",
        "",
        "The closed list of error kinds. The body is JSON: `error` with `message`, `type` and",
        "`code` (the kind), `run_state` and `retry_after_s`. Kinds with a time to come back carry",
        "`Retry-After`; the others carry `x-should-retry: false`, so that client libraries do not",
        "repeat them by themselves. A stream that breaks off ends with the same body as an event",
        "and has no end marker.",
        "",
        "| kind | status | run state | come back after | text |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind, row in ANSWERS.items():
        after = "no" if row.retry_after_s is None else f"{row.retry_after_s} s"
        lines.append(
            f"| `{kind.value}` | {row.status} | {row.run_state.value} | {after} | {row.message} |"
        )
    return "\n".join(lines) + "\n"


def events_page() -> str:
    """Return the catalogue of log events."""
    lines = [
        "# Events",
        "",
        "Each log line is `MS` and the number, the name, and the event's fields as JSON.",
        "",
        "| number | name | level | meaning |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| MS{event.number} | `{event.name.lower()}` | {_LEVELS[event.level]} | {event.meaning} |"
        for event in Event
    ]
    return "\n".join(lines) + "\n"


def settings_page() -> str:
    """Return the reference of all settings."""
    lines = ["# Settings", "", "## An instance's file (`mothstand serve --settings FILE`)", ""]
    for name, model in instance.INSTANCE_SECTIONS.items():
        lines += _section_lines(f"[{name}]", model)
    lines += ["## A gateway instance's file (`mothstand gateway --settings FILE`)", ""]
    for name, model in gateway.GATEWAY_SECTIONS.items():
        lines += _section_lines(f"[{name}]", model)
    lines += ["## An operator's file (`--settings` of the other commands)", ""]
    lines += _section_lines("[operator]", operator.OperatorSection)
    lines += ["`[platform]` and `[secrets]` are as above.", ""]
    lines += ["## The operators' folder (`mothstand check`, `diff`, `publish`)", ""]
    lines += [
        "Files `*.ini` are merged in the order of their names; a later file's keys replace an",
        "earlier one's. `#` starts a comment.",
        "",
    ]
    for name, model in folder.SECTION_MODELS.items():
        lines += _section_lines("[policy]" if name == "policy" else f"[{name} NAME]", model)
    return "\n".join(lines)


def _section_lines(header: str, model: type[SectionModel]) -> Iterator[str]:
    summary = (model.__doc__ or "").splitlines()[0].partition(": ")[2]
    yield f"### `{header}`"
    yield ""
    if summary:
        yield summary[0].upper() + summary[1:]
        yield ""
    yield "| key | default | value |"
    yield "| --- | --- | --- |"
    for key, field in model.model_fields.items():
        default = "(needed)" if field.is_required() else f"`{_default_text(field.default)}`"
        yield f"| `{key}` | {default} | {field.description or ''} |"
    yield ""


def _default_text(default: object) -> str:
    return " ".join(default) if isinstance(default, tuple) else str(default)


PAGES = {"ERRORS.md": errors_page, "EVENTS.md": events_page, "SETTINGS.md": settings_page}


def main() -> None:
    """Write all pages."""
    docs = Path(__file__).parents[1] / "docs"
    for name, page in PAGES.items():
        (docs / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    main()
