"""Home regions: the regions to which a route or a workspace restricts its requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import DataCentre, Region


def permitted_regions(
    route_homes: frozenset[Region], workspace_homes: frozenset[Region]
) -> frozenset[Region] | None:
    """Return the regions in which a request may run, or None for any.

    Parameters
    ----------
    route_homes, workspace_homes
        Empty for no restriction. If both are given, both apply, and nothing may be left.
    """
    if route_homes and workspace_homes:
        return route_homes & workspace_homes
    return route_homes or workspace_homes or None


@dataclass(frozen=True, slots=True)
class RegionMap:
    """The region of each data centre."""

    regions: Mapping[DataCentre, Region] = field(default_factory=dict)

    def permits(self, permitted: frozenset[Region] | None, data_centre: DataCentre) -> bool:
        """Return whether a request with these permitted regions may run in a data centre.

        A data centre of unknown region is in no permitted one.
        """
        return permitted is None or self.regions.get(data_centre) in permitted
