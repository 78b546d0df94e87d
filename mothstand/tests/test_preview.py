"""Tests of placement previews: the answer, that asking changes nothing, and the command."""

from __future__ import annotations

import copy
import json
import socket
import sys
import time
from typing import TYPE_CHECKING, Any

import pytest

from ..cli import main
from ..core.admission import Admission
from ..core.config_freshness import ConfigFreshness
from ..core.evacuation import Evacuations, EvacuationState
from ..core.ingress import BusyInstances, IngressPolicy
from ..core.load_sharing import LoadSharing, LoadSharingPolicy
from ..core.placement import Placement, session_key
from ..core.prefill_schedule import CalendarScheduler, PrefillRequest
from ..core.preview_request import PreviewRequest
from ..core.prompt import Prompt, PromptPart
from ..core.rate_limits import RateLimits
from ..core.reachability import Reachability
from ..core.routes import (
    Destination,
    GatewayConfig,
    GatewayService,
    GatewayWorkspace,
    RequestKind,
    RequestLimits,
    Route,
)
from ..core.shutdown import Shutdown
from ..core.upstreams import RegisteredUpstream, UpstreamDirectory
from ..core.warmup import Warmup, WarmupSettings
from ..gateway.accounts import BudgetPreview
from ..gateway.lending import GrpcPeerLink
from ..gateway.metrics import GatewayMetrics
from ..gateway.prefill_link import GrpcPrefillLink
from ..gateway.prefill_scheduling import PrefillScheduling
from ..gateway.preview import PlacementPreview
from ..gateway.redirects import Redirects
from ..operators.preview import preview_lines
from ..testing.budget_fleet import BudgetFleet
from ..testing.eligibility import fleet_view, unrestricted_eligibility
from ..testing.fakes import SkippingClock
from ..testing.fleet import free_port
from ..testing.gateway_fleet import KEY, GatewayFleet
from ..testing.virtual_time import run_in_virtual_time
from ..types import BudgetName, DataCentre

if TYPE_CHECKING:
    from pathlib import Path

_LOCAL = DataCentre("sto-a")
_REMOTE = DataCentre("sto-b")
_GONE = DataCentre("sto-c")
_SECRET = "secret-of-w"


def engine(
    name: str, data_centre: DataCentre = _LOCAL, *, is_draining: bool = False
) -> RegisteredUpstream:
    return RegisteredUpstream(name, "llm", f"{name}:1", data_centre, 48, is_draining)


class Setup:
    """A preview with real decisions, of an instance with seven engines."""

    def __init__(self, *, min_instances: int = 0) -> None:
        self.clock = clock = SkippingClock()
        now_s = clock.monotonic_s()
        self.engines = {
            e.upstream_id: e
            for e in (
                engine("near"),
                engine("loaded"),
                engine("failed"),
                engine("lost"),
                engine("limited"),
                engine("far", _REMOTE),
                engine("gone", _GONE),
                engine("drains", is_draining=True),
            )
        }
        self.directory = UpstreamDirectory(dict(self.engines))
        fleet = fleet_view("me", read_s=now_s)
        self.limits = RateLimits(fleet)
        self.limits.note_answer(self.engines["limited"], 0.1, now_s)
        self.limits.note_sent(self.engines["limited"], now_s)
        evacuations = Evacuations()
        evacuations.apply(EvacuationState(_GONE, is_evacuated=True, offset=1), now_s)
        self.warmup = Warmup(WarmupSettings(), fleet)
        self.placement = Placement(_LOCAL)
        self.reachability = Reachability()
        sharing = LoadSharing(
            LoadSharingPolicy(min_instances, redirects=True, prefill_schedule=True), fleet
        )
        self.metrics = GatewayMetrics()
        self.busy = BusyInstances()
        self.redirects = Redirects(sharing, fleet, self.busy, clock, self.metrics)
        self.scheduler = CalendarScheduler()
        self.admission = Admission()
        self.budget = BudgetPreview(available_tokens=100_000, is_exhausted=False)
        self.freshness = ConfigFreshness(1000.0)
        self.freshness.note_applied(0, now_s)
        self.has_relay = False
        route = Route(
            "ask",
            "api.example",
            "/ask/",
            RequestKind.STREAMING,
            5.0,
            1.0,
            1,
            (Destination("llm", 1.0),),
            2,
            is_public=False,
            is_resumable=True,
        )
        workspace = GatewayWorkspace("w", (_SECRET,), None, 1_000_000)
        self.config: GatewayConfig | None = GatewayConfig(
            7, (route,), {"llm": GatewayService("llm")}, {"w": workspace}, RequestLimits()
        )
        self.view = PlacementPreview(
            "me",
            lambda: self.config,
            self.freshness,
            Shutdown(8.0),
            unrestricted_eligibility(
                self.directory, evacuations=evacuations, warmup=self.warmup, limits=self.limits
            ),
            self.placement,
            self.reachability,
            lambda _service, _permits: not self.has_relay,
            self.redirects,
            lambda _service, priority: self.admission.peek_admitted_share(
                priority, clock.monotonic_s()
            ),
            lambda _budget, _tokens: self.budget,
            PrefillScheduling(
                sharing,
                self.scheduler,
                GrpcPrefillLink(GrpcPeerLink()),
                clock,
                self.metrics,
            ),
            clock,
        )
        loaded = Prompt("", 50_000, 10, (PromptPart("other", 50_000),))
        self.placement.note_started(self.engines["loaded"], loaded, now_s)
        self.placement.note_failure(self.engines["failed"], now_s)
        self.reachability.note_unreachable(self.engines["lost"], now_s)

    def ask(self, key: str = "", **fields: str) -> dict[str, Any]:
        """Return the preview of a request, by default of 1,000 tokens of the workspace."""
        given = {"route": "ask", "tokens": "1000,20", "parts": "p:900,own:100"}
        if not key:
            given["workspace"] = "w"
        result = self.view.preview(PreviewRequest.parse(given | fields, key))
        # What operators get is JSON.
        return dict(json.loads(json.dumps(result)))

    def state(self) -> tuple[Any, ...]:
        """Return a copy of all state that decides on requests."""
        return copy.deepcopy(
            (
                self.placement,
                self.reachability,
                self.admission,
                self.scheduler,
                self.limits,
                self.warmup,
                self.directory,
                self.freshness,
                self.busy,
                self.metrics.counts,
                vars(self.redirects)["_running"],
                vars(self.redirects)["_decision"],
                vars(self.redirects)["_load"],
                vars(self.redirects)["_nearly_full_s"],
                vars(self.redirects)["_unready_since_s"],
            )
        )


def by_id(result: dict[str, Any]) -> dict[str, dict[str, Any]]:
    return {e["id"]: e for e in result["engines"]}


def kinds(result: dict[str, Any]) -> list[str]:
    return [refusal["kind"] for refusal in result["refusals"]]


class TestPreview:
    def test_choice_is_that_of_the_placement(self) -> None:
        """Guards against a preview whose cost differs from that of the real decision."""
        setup = Setup()
        parts = (PromptPart("p", 900), PromptPart("own", 100))
        prompt = Prompt("", 1000, 20, parts)
        candidates = [setup.engines[name] for name in ("near", "loaded", "failed", "far")]
        # Each choice loads its engine, so that several engines are chosen in turn.
        chosen = set()
        for _ in range(40):
            result = setup.ask()
            now_s = setup.clock.monotonic_s()
            upstream = setup.placement.choose(
                candidates,
                prompt,
                session_key(prompt, "preview"),
                tried_upstreams=frozenset(),
                now_s=now_s,
            )
            assert upstream is not None
            assert result["choice"] == upstream.upstream_id
            usable = [e for e in result["engines"] if e["cost"] is not None and not e["reason"]]
            lowest = min(e["cost"] for e in usable)
            assert by_id(result)[upstream.upstream_id]["cost"] == lowest
            chosen.add(upstream.upstream_id)
            setup.placement.note_started(upstream, Prompt("", 3000, 20), now_s)
        assert chosen == {"near", "loaded", "far"}

    def test_each_engine_that_is_not_eligible_has_its_reason(self) -> None:
        engines = by_id(Setup().ask())
        reasons = {name: e["reason"] for name, e in engines.items()}
        assert reasons == {
            "near": None,
            "loaded": None,
            "far": None,
            "failed": "suspended",
            "lost": "unreachable",
            "limited": "at their rate limit",
            "gone": "evacuated",
            "drains": "draining",
        }
        assert 0 < engines["failed"]["suspended_for_s"] <= 0.5
        assert engines["loaded"]["running"] == 1
        assert engines["loaded"]["unread_tokens"] == 50_000

    def test_cached_parts_are_shown(self) -> None:
        setup = Setup()
        prompt = Prompt("", 900, 20, (PromptPart("p", 900),))
        setup.placement.note_started(setup.engines["near"], prompt, setup.clock.monotonic_s())
        engines = by_id(setup.ask())
        assert engines["near"]["cached_tokens"] == 900
        assert engines["far"]["cached_tokens"] == 0

    def test_suspended_engines_are_used_if_all_are(self) -> None:
        setup = Setup()
        for name in ("near", "loaded", "far"):
            setup.placement.note_failure(setup.engines[name], setup.clock.monotonic_s())
        result = setup.ask()
        assert result["choice"] is not None
        assert by_id(result)[result["choice"]]["reason"] is None
        assert result["refusals"] == []

    def test_no_upstream_is_refused(self) -> None:
        setup = Setup()
        for name in ("near", "loaded", "failed", "lost", "limited", "far"):
            del setup.directory.upstreams[name]
        result = setup.ask()
        assert result["choice"] is None
        assert result["refusals"][0] == {
            "kind": "no_upstream",
            "status": 503,
            "detail": "1 evacuated",
            "message": "No upstream for this can be reached.",
            "retry_after_s": [0.5, 0.5],
            "probability": 1.0,
        }

    def test_upstreams_at_their_rate_limits_are_an_overload(self) -> None:
        setup = Setup()
        for name in ("near", "loaded", "failed", "lost", "far"):
            del setup.directory.upstreams[name]
        result = setup.ask()
        assert kinds(result) == ["overloaded"]
        assert result["refusals"][0]["retry_after_s"] == [2.0, 2.0]

    @pytest.mark.parametrize("has_relay", [False, True])
    def test_unreachable_engines_are_refused_without_a_relay(self, has_relay: bool) -> None:
        setup = Setup()
        setup.has_relay = has_relay
        for name in ("near", "loaded", "failed", "far"):
            setup.reachability.note_probe_failed(setup.engines[name], setup.clock.monotonic_s())
        result = setup.ask()
        assert kinds(result) == ([] if has_relay else ["no_upstream"])
        assert by_id(result)["near"]["reason"] == "unreachable"
        assert any("relays" in note for note in result["notes"]) == has_relay

    def test_unknown_path_and_key_are_refused(self) -> None:
        setup = Setup()
        unknown = setup.ask(route="", host="api.example", path="/other")
        assert kinds(unknown) == ["unknown_path"]
        assert unknown["refusals"][0]["status"] == 404
        assert unknown["refusals"][0]["retry_after_s"] is None
        assert kinds(setup.ask(key="wrong")) == ["unauthorized"]
        assert kinds(setup.ask(key=_SECRET)) == []
        without_key = setup.ask(workspace="")
        assert kinds(without_key) == ["unauthorized"]
        assert any("--workspace or --key" in note for note in without_key["notes"])

    def test_unconfirmed_configuration_refuses_only_for_now(self) -> None:
        """Guards against a preview that says 404 where callers get a 503 to retry."""
        setup = Setup()
        setup.clock.advance_s = 2000.0
        assert kinds(setup.ask(key="wrong")) == ["configuration_stale"]

    def test_instance_without_configuration_is_not_ready(self) -> None:
        setup = Setup()
        setup.config = None
        assert kinds(setup.ask()) == ["not_ready"]

    def test_overload_is_refused_with_a_probability(self) -> None:
        setup = Setup()
        now_s = setup.clock.monotonic_s()
        for _ in range(50):
            setup.admission.record_response_time(2.0, 1.0, now_s)
        result = setup.ask()
        refusal = result["refusals"][0]
        assert refusal["kind"] == "overloaded"
        assert refusal["status"] == 429
        assert refusal["probability"] == pytest.approx(0.75)
        assert refusal["retry_after_s"] == [0.8, 2.4]
        assert result["choice"] is not None

    def test_exhausted_budget_is_refused(self) -> None:
        setup = Setup()
        setup.budget = BudgetPreview(available_tokens=10, is_exhausted=True)
        result = setup.ask()
        assert [(r["kind"], r["status"]) for r in result["refusals"]] == [("budget_exhausted", 402)]

    def test_tokens_that_are_held_elsewhere_are_no_refusal(self) -> None:
        setup = Setup()
        setup.budget = BudgetPreview(available_tokens=10, is_exhausted=False)
        result = setup.ask()
        assert result["refusals"] == []
        assert any("budget_out_of_reach" in note for note in result["notes"])

    def test_busy_instance_refuses(self) -> None:
        setup = Setup()
        clock = setup.clock
        fleet = fleet_view("me", 5, read_s=clock.monotonic_s())
        sharing = LoadSharing(LoadSharingPolicy(2, redirects=True), fleet)
        policy = IngressPolicy(initial_limit_per_core=1.0)
        redirects = Redirects(sharing, fleet, setup.busy, clock, setup.metrics, policy)
        assert redirects.preview("w") is None
        with redirects.running("w"), redirects.running("w"):
            previewed = redirects.preview("w")
            assert previewed is not None
            refusal, (lowest_s, highest_s) = previewed
            assert refusal.kind.value == "instance_busy"
            assert lowest_s == pytest.approx(2.21, abs=0.1)
            assert highest_s == pytest.approx(lowest_s + 0.03)
        assert setup.metrics.counts["requests_redirected"] == 0

    def test_long_prompt_is_held_where_this_instance_schedules(self) -> None:
        setup = Setup(min_instances=1)
        keys = tuple(setup.engines[name].key for name in ("near", "loaded"))
        now_s = setup.clock.monotonic_s()
        for number in range(2):
            prompt = Prompt("", 40_000, 10, (PromptPart(f"x{number}", 40_000),))
            request = PrefillRequest("llm", f"r-{number}", prompt, keys, 2.0)
            assert setup.scheduler.reserve(request, now_s) is not None
        result = setup.ask(tokens="9000,20", parts="p:9000")
        prefill = result["prefill"]
        assert prefill["is_long"]
        assert prefill["scheduler"] == "me"
        # Half of the objective of a second is the longest hold.
        assert prefill["hold_s"] == 0.5
        assert by_id(result)["near"]["prefill"]["wait_s"] > 0.5
        assert not setup.ask()["prefill"]["is_long"]

    def test_grant_that_is_shown_is_the_one_that_is_given(self) -> None:
        """Guards against a preview of the calendar that differs from its reservations."""
        scheduler = CalendarScheduler()
        keys = tuple(engine(f"i-{n}").key for n in range(3))
        for number in range(20):
            part = PromptPart(f"p-{number % 4}", 6_000)
            prompt = Prompt("", 9_000, 10, (part, PromptPart(f"own-{number}", 3_000)))
            request = PrefillRequest("llm", f"r-{number}", prompt, keys, 2.0)
            now_s = number * 0.07
            before = copy.deepcopy(scheduler)
            shown = scheduler.preview(request, now_s)
            assert scheduler == before
            assert shown == scheduler.reserve(request, now_s)

    def test_share_that_is_shown_is_the_one_that_is_admitted(self) -> None:
        admission = Admission()
        for number in range(40):
            admission.record_response_time(0.8, 1.0, number * 0.02)
        admission.admitted_share(0, 0.8)
        for priority in (0, 2):
            before = copy.deepcopy(admission)
            shown = admission.peek_admitted_share(priority, 1.5)
            assert admission == before
            assert shown < 1.0
            assert shown == pytest.approx(admission.admitted_share(priority, 1.5))


class TestPureRead:
    @pytest.mark.parametrize("min_instances", [0, 1])
    def test_asking_changes_nothing(self, min_instances: int) -> None:
        """Guards against previews that change where requests go or count as requests.

        State entries, decayed sums and reservations would come about with every question.
        """
        setup = Setup(min_instances=min_instances)
        now_s = setup.clock.monotonic_s()
        for _ in range(50):
            setup.admission.record_response_time(2.0, 1.0, now_s)
        for name in ("peer-1", "peer-2"):
            setup.placement.paces.apply_report(name, ["near"], now_s)
        # Reports and reservations have expired by then, and means have decayed.
        setup.clock.advance_s = 30.0
        before = setup.state()
        for fields in (
            {},
            {"tokens": "90000,20", "parts": "a:80000,b:10000"},
            {"route": "", "host": "api.example", "path": "/other"},
        ):
            setup.ask(**fields)
        assert setup.state() == before

    def test_asking_for_a_budget_changes_no_claims(self) -> None:
        """Guards against entries of budgets that come about by asking, and would be claimed."""
        fleet = BudgetFleet(1, 2, 200_000)
        run_in_virtual_time(lambda: fleet.run(4.0, requests_per_s=40))
        assert fleet.counts["budget_exhausted"]
        accounts = next(iter(fleet.instances.values())).accounts
        budget, unknown = BudgetName("seniors"), BudgetName("unknown")
        claims = accounts.shard_of(budget).claim_manager.claims
        before = copy.deepcopy(claims)
        assert accounts.preview(budget, 17_000).is_exhausted
        assert not accounts.preview(budget, 0).is_exhausted
        assert accounts.preview(unknown, 1) == BudgetPreview(0, is_exhausted=True)
        assert claims == before


class TestLines:
    def test_text_names_choice_reasons_and_refusal(self) -> None:
        setup = Setup()
        setup.budget = BudgetPreview(available_tokens=10, is_exhausted=True)
        text = "\n".join(preview_lines(setup.ask(key=_SECRET)))
        assert "refused: budget_exhausted (402), no Retry-After; w: 1020 tokens do not fit" in text
        assert "choice: " in text
        assert "evacuated" in text
        assert _SECRET not in text


def run_command(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], *options: str
) -> tuple[int, str, str]:
    """Run the command; return exit code, output and error output."""
    monkeypatch.setattr(sys, "argv", ["mothstand", "preview", *options])
    try:
        main()
        code = 0
    except SystemExit as stop:
        code = int(stop.code or 0)
    captured = capsys.readouterr()
    return code, captured.out, captured.err


class TestCommand:
    @pytest.mark.parametrize(
        ("options", "quoted"),
        [
            (("--instance=here", "--route=ask"), "'here'"),
            (("--instance=127.0.0.1:0", "--route=ask"), "'127.0.0.1:0'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--tokens=9000"), "'9000'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--tokens=1,-2"), "'1,-2'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--tokens=9,1", "--parts=ab"), "'ab'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--tokens=9,1", "--parts=a:10"), "'a:10'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--length-hint=1.5"), "'1.5'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--host=h"), "'ask'"),
            (("--instance=127.0.0.1:1", "--host=h"), "'h'"),
            (("--instance=127.0.0.1:1", "--route=ask", "--workspace=w", "--key=k"), "'w'"),
        ],
    )
    def test_invalid_input_is_quoted_in_one_line(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        options: tuple[str, ...],
        quoted: str,
    ) -> None:
        code, out, err = run_command(monkeypatch, capsys, *options)
        assert (code, out, err.count("\n")) == (2, "", 1)
        assert quoted in err

    def test_invalid_key_is_not_printed(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        options = ("--instance=127.0.0.1:1", "--route=ask", f"--key={_SECRET}\n")
        code, out, err = run_command(monkeypatch, capsys, *options)
        assert code == 2
        assert _SECRET not in out + err

    @pytest.mark.parametrize("is_silent", [False, True])
    def test_dead_instance_is_told_within_a_second(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        is_silent: bool,
    ) -> None:
        """Guards against a command that hangs at an instance that is gone or frozen."""
        port = free_port()
        with socket.socket() as frozen:
            if is_silent:
                # Connections are accepted by the system, and never answered.
                frozen.bind(("127.0.0.1", port))
                frozen.listen()
            began_s = time.monotonic()
            options = (f"--instance=127.0.0.1:{port}", "--route=ask", f"--key={_SECRET}")
            code, out, err = run_command(monkeypatch, capsys, *options)
        # The time-out of a second, and the start of the event loop.
        assert time.monotonic() - began_s < 1.5
        assert (code, out, err.count("\n")) == (1, "", 1)
        assert f"127.0.0.1:{port}" in err
        assert _SECRET not in err

    def test_running_instance_answers_and_keeps_its_other_answers(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        with GatewayFleet(tmp_path) as fleet:
            fleet.publish(prepaid_tokens=10_000)
            fleet.start_engine("i-1")
            instance = fleet.start_instance("gw-1")
            assert fleet.send_request(instance, "r-1").status_code == 200
            address = f"--instance={fleet.metrics_address(instance)}"
            options = (address, "--route=ask", f"--key={KEY}", "--tokens=100,20", "--json")
            code, out, err = run_command(monkeypatch, capsys, *options)
            assert (code, err) == (0, "")
            answer = json.loads(out)
            assert (answer["choice"], answer["refusals"]) == ("i-1", [])
            assert KEY not in out
            exhausting = (address, "--route=ask", "--workspace=seniors", "--tokens=10000,20")
            code, out, err = run_command(monkeypatch, capsys, *exhausting)
            assert "refused: budget_exhausted (402)" in out
            code, out, err = run_command(monkeypatch, capsys, address, "--route=nowhere")
            assert (code, out) == (2, "")
            assert "'nowhere'" in err
            assert fleet.is_ready(instance)
            assert "requests_answered" in fleet.metrics(instance)
            assert len(fleet.journal(fleet.engines[0])) == 1
