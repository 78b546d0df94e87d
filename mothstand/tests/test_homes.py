"""Tests that requests run only in the home regions of their route and workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

from ..core.homes import RegionMap, permitted_regions
from ..testing.fleet import wait_until
from ..testing.gateway_fleet import GatewayFleet
from ..types import DataCentre, Region

if TYPE_CHECKING:
    from pathlib import Path

_SE, _FI = Region("se-east"), Region("fi-south")
_REGIONS = RegionMap({DataCentre("sto-a"): _SE, DataCentre("hel-a"): _FI})


class TestPermittedRegions:
    def test_homes_of_route_and_workspace_both_apply(self) -> None:
        nothing: frozenset[Region] = frozenset()
        assert permitted_regions(nothing, nothing) is None
        assert permitted_regions(frozenset({_SE}), nothing) == {_SE}
        assert permitted_regions(nothing, frozenset({_FI})) == {_FI}
        assert permitted_regions(frozenset({_SE, _FI}), frozenset({_FI})) == {_FI}

    def test_no_region_is_left_if_homes_are_disjoint(self) -> None:
        # Guards against an empty set of regions that is taken for no restriction.
        permitted = permitted_regions(frozenset({_SE}), frozenset({_FI}))
        assert permitted == frozenset()
        assert not _REGIONS.permits(permitted, DataCentre("sto-a"))

    def test_data_centre_of_unknown_region_is_in_no_home(self) -> None:
        assert not _REGIONS.permits(frozenset({_SE}), DataCentre("osl-a"))
        assert _REGIONS.permits(None, DataCentre("osl-a"))


class TestFleetInTwoRegions:
    @pytest.mark.parametrize(
        ("route_homes", "workspace_homes", "served_by"),
        [(("fi-south",), (), "hel"), ((), ("fi-south",), "hel"), (("fi-south",), ("se-east",), "")],
    )
    def test_request_runs_in_its_home_from_any_instance(
        self,
        tmp_path: Path,
        route_homes: tuple[str, ...],
        workspace_homes: tuple[str, ...],
        served_by: str,
    ) -> None:
        # Guards against an instance outside of the home regions that uses its own upstreams.
        with GatewayFleet(tmp_path) as fleet:
            fleet.publish(
                prepaid_tokens=10_000, route_homes=route_homes, workspace_homes=workspace_homes
            )
            engines = {
                "sto": fleet.start_engine("sto", data_centre="sto-a"),
                "hel": fleet.start_engine("hel", data_centre="hel-a"),
            }
            instance = fleet.start_instance("one", regions="sto-a=se-east, hel-a=fi-south")
            wait_until(lambda: "upstreams_listed" in fleet.log(instance), "upstreams known")
            for number in range(6):
                answer = fleet.send_request(instance, f"r{number}")
                assert answer.status_code == (
                    httpx.codes.OK if served_by else httpx.codes.SERVICE_UNAVAILABLE
                )
            runs = {name: len(fleet.journal(engine)) for name, engine in engines.items()}
            assert runs == {name: 6 if name == served_by else 0 for name in engines}
            if not served_by:
                assert "2 outside of the home regions" in fleet.log(instance)
