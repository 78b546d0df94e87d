"""Data centres that operators have evacuated: their upstreams get no new requests.

An instance learns of an evacuation from the operators' stream. While the store rejects it, it
learns of it from other instances, in any order and late. Each state carries the offset of the
stream at which it was current, so that a late one never replaces a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import DataCentre


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """Whether a data centre was evacuated at an offset of the operators' stream."""

    data_centre: DataCentre
    is_evacuated: bool
    offset: int


@dataclass(slots=True)
class Evacuations:
    """The evacuated data centres, as far as this instance knows."""

    _states: dict[DataCentre, EvacuationState] = field(default_factory=dict)
    _ended_s: dict[DataCentre, float] = field(default_factory=dict)

    def apply(self, state: EvacuationState, now_s: float) -> bool:
        """Apply a state unless it is stale; return whether an evacuation began or ended."""
        known = self._states.get(state.data_centre)
        if known is not None and state.offset <= known.offset:
            return False
        self._states[state.data_centre] = state
        was_evacuated = known is not None and known.is_evacuated
        if was_evacuated and not state.is_evacuated:
            self._ended_s[state.data_centre] = now_s
        return was_evacuated != state.is_evacuated

    def apply_listing(
        self, listed: Iterable[EvacuationState], end_offset: int, now_s: float
    ) -> list[EvacuationState]:
        """Apply a complete listing of the operators' stream, and return the changes.

        Parameters
        ----------
        listed
            All evacuations that are in force.
        end_offset
            End of the stream when the listing began. Evacuations that the listing lacks have ended,
            unless they are newer than the listing.
        """
        states = list(listed)
        missing = self._states.keys() - {state.data_centre for state in states}
        states += [EvacuationState(name, False, end_offset - 1) for name in missing]
        return [state for state in states if self.apply(state, now_s)]

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether a data centre is evacuated."""
        state = self._states.get(data_centre)
        return state is not None and state.is_evacuated

    def ended_s(self, data_centre: DataCentre) -> float | None:
        """Return the time at which the latest evacuation was seen to have ended, or None."""
        return self._ended_s.get(data_centre)

    @property
    def evacuated(self) -> list[DataCentre]:
        """The evacuated data centres, in order of their names."""
        return sorted(name for name in self._states if self.is_evacuated(name))

    @property
    def states(self) -> tuple[EvacuationState, ...]:
        """All known states, for other instances."""
        return tuple(self._states.values())
