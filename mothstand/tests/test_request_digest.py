"""Tests of which requests count as the same one, sent again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from ..core.request_digest import request_digest

if TYPE_CHECKING:
    from ..core.suspects import SuspectId


def digest(**changed: str | bytes) -> SuspectId:
    fields = {
        "workspace": "w",
        "host": "h.example",
        "method": "POST",
        "target": "/a?b",
        "body": b"c",
    }
    return request_digest(**{**fields, **changed})  # type: ignore[arg-type]


class TestSuspectId:
    @pytest.mark.parametrize(
        "changed",
        [{"workspace": "v"}, {"host": "g"}, {"method": "PUT"}, {"target": "/a"}, {"body": b""}],
    )
    def test_differs_with_each_part(self, changed: dict[str, str | bytes]) -> None:
        assert digest(**changed) != digest()

    def test_does_not_depend_on_how_the_host_is_written(self) -> None:
        assert digest(host="H.example:8080") == digest()

    def test_parts_are_delimited(self) -> None:
        assert digest(method="P", target="OST/a?b") != digest(method="POS", target="T/a?b")
