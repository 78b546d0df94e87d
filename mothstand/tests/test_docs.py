"""Docs that must agree with the code, and rules of the layout."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from ..docs_pages import PAGES
from ..errors import ANSWERS, ErrorKind, RunState
from ..events import Event

ROOT = Path(__file__).parents[2]
CORE = Path(__file__).parents[1] / "core"
_IO_MODULES = {
    "anyio",
    "asyncio",
    "socket",
    "httpx",
    "aiohttp",
    "grpclib",
    "hypercorn",
    "os",
    "time",
}


class TestPages:
    @pytest.mark.parametrize("name", list(PAGES))
    def test_page_matches_the_code(self, name: str) -> None:
        written = (ROOT / "docs" / name).read_text(encoding="utf-8")
        assert written == PAGES[name](), "run 'python -m mothstand.docs_pages'"

    def test_relative_links_point_to_existing_files(self) -> None:
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            text = page.read_text(encoding="utf-8")
            for part in text.split("](")[1:]:
                target = part.partition(")")[0].partition("#")[0]
                if target and "://" not in target:
                    assert (page.parent / target).exists(), f"{page.name}: {target}"


class TestTables:
    def test_every_error_kind_has_an_answer(self) -> None:
        assert set(ANSWERS) == set(ErrorKind)

    def test_kinds_that_may_have_run_have_no_retry_after(self) -> None:
        for kind, row in ANSWERS.items():
            if row.run_state is not RunState.NOT_RUN and kind is not ErrorKind.KEY_RUNNING:
                assert row.retry_after_s is None, kind

    def test_every_event_and_kind_is_used(self) -> None:
        """Symptom: operators wait for an event of the catalogue that never comes.

        Sequence: an event or an error kind is declared and nothing sends it.
        Cause it guards against: tables that promise more than the code does.
        """
        sources = "".join(
            path.read_text(encoding="utf-8")
            for path in CORE.parent.rglob("*.py")
            if "tests" not in path.parts
        )
        unused = [e.name for e in Event if f"Event.{e.name}" not in sources]
        unused += [k.name for k in ErrorKind if sources.count(f"ErrorKind.{k.name}") < 2]
        assert unused == []

    def test_event_numbers_are_unique(self) -> None:
        numbers = [event.number for event in Event]
        assert len(numbers) == len(set(numbers))


class TestLayout:
    @pytest.mark.parametrize("path", sorted(CORE.glob("*.py")), ids=lambda path: path.name)
    def test_core_has_no_io(self, path: Path) -> None:
        """Symptom: a decision depends on the machine's clock or on a socket.

        Sequence: a module of the core imports one that does input or output.
        Cause it guards against: decisions that tests cannot drive.
        """
        tree = ast.parse(path.read_text(encoding="utf-8"))
        imported = {
            name.partition(".")[0]
            for node in ast.walk(tree)
            for name in (
                [alias.name for alias in node.names]
                if isinstance(node, ast.Import)
                else [node.module or ""]
                if isinstance(node, ast.ImportFrom) and node.level == 0
                else []
            )
        }
        assert not imported & _IO_MODULES
