"""Tests of the known evacuations when news of them come late, twice or in another order."""

from __future__ import annotations

from ..core.evacuation import Evacuations, EvacuationState
from ..types import DataCentre

_A, _B = DataCentre("sto-a"), DataCentre("sto-b")


def begun(offset: int, data_centre: DataCentre = _A) -> EvacuationState:
    return EvacuationState(data_centre, True, offset)


def ended(offset: int, data_centre: DataCentre = _A) -> EvacuationState:
    return EvacuationState(data_centre, False, offset)


class TestEvacuations:
    def test_begins_and_ends_in_order_of_offsets(self) -> None:
        evacuations = Evacuations()
        assert evacuations.apply(begun(3), 10.0)
        assert evacuations.is_evacuated(_A)
        assert not evacuations.is_evacuated(_B)
        assert evacuations.apply(ended(5), 12.0)
        assert not evacuations.is_evacuated(_A)
        assert evacuations.ended_s(_A) == 12.0

    def test_late_state_does_not_replace_a_newer_one(self) -> None:
        # Guards against an ended evacuation that a peer's older state begins again.
        evacuations = Evacuations()
        evacuations.apply(ended(5), 1.0)
        assert not evacuations.apply(begun(3), 2.0)
        assert not evacuations.is_evacuated(_A)

    def test_listing_without_an_evacuation_ends_it(self) -> None:
        # Guards against an evacuation that lasts forever when the record of its end was dropped.
        evacuations = Evacuations()
        evacuations.apply(begun(3), 1.0)
        assert evacuations.apply_listing([], 7, 2.0) == [ended(6)]
        assert not evacuations.is_evacuated(_A)

    def test_out_of_date_listing_does_not_end_an_evacuation(self) -> None:
        # Guards against requests to an evacuated data centre after a read that is seconds old.
        evacuations = Evacuations()
        evacuations.apply(begun(3), 1.0)
        assert evacuations.apply_listing([], 3, 2.0) == []
        assert evacuations.is_evacuated(_A)

    def test_listing_begins_evacuations(self) -> None:
        evacuations = Evacuations()
        assert evacuations.apply_listing([begun(3, _B)], 4, 1.0) == [begun(3, _B)]
        assert evacuations.evacuated == [_B]
        assert evacuations.states == (begun(3, _B),)
