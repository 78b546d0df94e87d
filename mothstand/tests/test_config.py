"""The operators' folder and the fold of its stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..core.config import ConfigFold, Sections, apply_changes, diff_sections
from ..core.records import ConfigPublished, Outcome, RecordId
from ..errors import SettingsError
from ..settings.folder import read_folder, validate_sections
from ..settings.instance import read_instance_settings

if TYPE_CHECKING:
    from pathlib import Path

SECTIONS: Sections = {
    "workspace lund": {"priority": "1"},
    "budget lund": {"workspace": "lund", "paid_tokens": "1000"},
}
_NAMES = st.sampled_from(["workspace a", "workspace b", "policy"])
_VALUES = st.dictionaries(st.sampled_from(["x", "y"]), st.text(max_size=3), max_size=2)
_SECTIONS = st.dictionaries(_NAMES, _VALUES, max_size=3)


def with_paid(tokens: int) -> Sections:
    """Return the sections with another paid total."""
    return {**SECTIONS, "budget lund": {"workspace": "lund", "paid_tokens": str(tokens)}}


class Publishing:
    """Publishes into one fold."""

    def __init__(self) -> None:
        self.fold = ConfigFold(validate_sections)
        self.offset = 0

    def publish(
        self, sections: Sections, *, base: int, author: str = "ito", sequence: int = 1
    ) -> Outcome:
        """Publish sections made from the configuration in force."""
        self.offset += 1
        changes = diff_sections(self.fold.state.sections, sections)
        record_id = RecordId(f"{author}:{self.offset}" if sequence == 1 else author, sequence)
        record = ConfigPublished(record_id, base, changes, author, "2026-12-02T10:00:00+00:00")
        return self.fold.apply(self.offset, record)


class TestFold:
    def test_one_of_two_racing_operators_wins(self) -> None:
        """Symptom: half of one operator's change and half of another's are in force.

        Sequence: Sato and Ito publish from the same base.
        Cause it guards against: merging what was never validated together.
        """
        publishing = Publishing()
        assert publishing.publish(SECTIONS, base=0, author="ito").accepted
        lost = publishing.publish(with_paid(2000), base=0, author="sato")
        assert not lost.accepted
        assert "ito" in lost.reason
        assert publishing.fold.state.config.budgets["lund"].paid_tokens == 1000  # type: ignore[index]

    def test_record_appended_twice_is_applied_once(self) -> None:
        """Symptom: an operator's change is undone by an older one that comes again.

        Sequence: the answer to an append is lost, another operator publishes, the first append is
        sent again.
        Cause it guards against: taking a repeated record for a new one.
        """
        publishing = Publishing()
        record = ConfigPublished(
            RecordId("ito:1", 1), 0, diff_sections({}, SECTIONS), "ito", "2026-12-02T10:00:00+00:00"
        )
        assert publishing.fold.apply(1, record).accepted
        assert not publishing.fold.apply(2, record).accepted
        assert publishing.fold.state.offset == 1

    def test_paid_total_never_goes_down(self) -> None:
        publishing = Publishing()
        publishing.publish(SECTIONS, base=0)
        lowered = publishing.publish(with_paid(900), base=1)
        assert not lowered.accepted
        assert "900" in lowered.reason
        assert "1000" in lowered.reason

    def test_invalid_configuration_is_refused_and_changes_nothing(self) -> None:
        publishing = Publishing()
        publishing.publish(SECTIONS, base=0)
        broken = {
            **SECTIONS,
            "key k": {"workspace": "nobody", "budget": "lund", "sha256": "0" * 64},
        }
        assert not publishing.publish(broken, base=1).accepted
        assert publishing.fold.state.offset == 1
        assert [entry.outcome.accepted for entry in publishing.fold.audit] == [True, False]

    @given(old=_SECTIONS, new=_SECTIONS)
    def test_changes_lead_from_old_to_new(self, old: Sections, new: Sections) -> None:
        assert apply_changes(old, diff_sections(old, new)) == new


class TestFolder:
    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            ("[budget b]\nworkspace = w\npaid_tokens = -5\n", ("10.ini", "paid_tokens", "-5")),
            ("[budget b]\nworkspace = w\n", ("paid_tokens", "missing", "running total")),
            ("[workspace w]\ncolour = red\n", ("colour", "remove it", "priority")),
            ("[wrokspace w]\n", ("wrokspace", "write one of")),
            ("[workspace W!]\n", ("'W!'", "a-z")),
            ("[budget b]\nworkspace = w\npaid_tokens = 5\n", ("'w'", "is not declared")),
            ("no section\n", ("10.ini", "INI")),
            ("[upstream u]\nkind = engine\naddress = nowhere\n", ("address", "IP:PORT")),
        ],
    )
    def test_error_names_file_section_key_value_and_fix(
        self, tmp_path: Path, text: str, parts: tuple[str, ...]
    ) -> None:
        (tmp_path / "10.ini").write_text(text, encoding="utf-8")
        with pytest.raises(SettingsError) as error:
            read_folder(tmp_path)
        for part in parts:
            assert part in str(error.value)

    def test_files_are_merged_in_order_of_name(self, tmp_path: Path) -> None:
        (tmp_path / "20.ini").write_text("[workspace w]\npriority = 2\n", encoding="utf-8")
        (tmp_path / "10.ini").write_text("[workspace w]\npriority = 1\n", encoding="utf-8")
        assert read_folder(tmp_path) == {"workspace w": {"priority": "2"}}

    def test_empty_folder_is_refused(self, tmp_path: Path) -> None:
        with pytest.raises(SettingsError, match=r"no \*\.ini file"):
            read_folder(tmp_path)


class TestInstanceSettings:
    def test_error_quotes_key_and_value(self, tmp_path: Path) -> None:
        path = tmp_path / "a.ini"
        path.write_text("[instance]\nname = a\ndata_centre = x\nledger_shards = 0\n")
        with pytest.raises(SettingsError, match="ledger_shards = '0'"):
            read_instance_settings(path)

    def test_unknown_section_is_refused(self, tmp_path: Path) -> None:
        path = tmp_path / "a.ini"
        path.write_text("[instanec]\n")
        with pytest.raises(SettingsError, match=r"\[instanec\] is unknown"):
            read_instance_settings(path)
