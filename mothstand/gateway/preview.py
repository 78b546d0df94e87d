"""Tells operators where a request would go now and why, without sending it.

A preview is a read: it sends, counts, reserves and records nothing, so that asking about an
instance under load does not change its decisions.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from aiohttp import web

from ..core.admission import RETRY_AFTER_RANGE_S
from ..core.config_freshness import OUTDATED_RETRY_AFTER_S
from ..core.homes import permitted_regions
from ..core.placement import session_key
from ..core.preview_request import PreviewRequest
from ..core.routes import request_priority
from ..core.shutdown import STOPPING_RETRY_AFTER_S
from ..errors import DECIDED_BY_CONFIGURATION, ErrorKind, Refusal
from ..types import BudgetName
from .forward import no_upstream_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..core.config_freshness import ConfigFreshness
    from ..core.eligibility import Eligibility
    from ..core.placement import CandidateView, Placement
    from ..core.reachability import Reachability
    from ..core.routes import GatewayConfig, GatewayService, GatewayWorkspace, Route
    from ..core.shutdown import Shutdown
    from ..core.upstreams import RegisteredUpstream
    from ..types import DataCentre, Region
    from .accounts import BudgetPreview
    from .prefill_scheduling import PrefillPreview, PrefillScheduling
    from .redirects import Redirects

#: Path of previews at the metrics address.
PREVIEW_PATH = "/placement"

#: Header of a preview's key. It is not in the query, which proxies and logs may record.
KEY_HEADER = "X-Api-Key"

_DRAINING = "draining"
_UNREACHABLE = "unreachable"
_SUSPENDED = "suspended"


class PlacementPreview:
    """Answers where a request would go now, from the state that decides on requests.

    Parameters
    ----------
    is_relay_unavailable
        Returns whether no peer can relay a request of a service to a permitted data centre.
    admitted_share
        Returns the share of a service's requests of a priority that is admitted now.
    budget
        Returns what is known of a budget for a number of tokens.
    """

    def __init__(
        self,
        instance: str,
        config: Callable[[], GatewayConfig | None],
        freshness: ConfigFreshness,
        shutdown: Shutdown,
        eligibility: Eligibility,
        placement: Placement,
        reachability: Reachability,
        is_relay_unavailable: Callable[[str, Callable[[DataCentre], bool]], bool],
        redirects: Redirects,
        admitted_share: Callable[[str, int], float],
        budget: Callable[[BudgetName, int], BudgetPreview],
        prefills: PrefillScheduling,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._config = config
        self._freshness = freshness
        self._shutdown = shutdown
        self._eligibility = eligibility
        self._placement = placement
        self._reachability = reachability
        self._is_relay_unavailable = is_relay_unavailable
        self._redirects = redirects
        self._admitted_share = admitted_share
        self._budget = budget
        self._prefills = prefills
        self._clock = clock

    def respond(self, request: web.BaseRequest) -> web.Response:
        """Answer an HTTP request for a preview; an invalid one gets a 400 with the reason."""
        try:
            asked = PreviewRequest.parse(request.query, request.headers.get(KEY_HEADER, ""))
            return web.json_response(self.preview(asked))
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)

    def preview(self, asked: PreviewRequest) -> dict[str, Any]:
        """Return where a request would go now, as a value for JSON.

        Raises
        ------
        ValueError
            If the configuration in force has no such route or workspace.
        """
        now_s = self._clock.monotonic_s()
        config = self._config()
        result: dict[str, Any] = {
            "instance": self._instance,
            "config_version": None if config is None else config.version,
            "route": None,
            "service": None,
            "workspace": None,
            "priority": None,
            "engines": [],
            "choice": None,
            "prefill": None,
            "budget": None,
            "refusals": [],
            "notes": [],
        }
        if asked.length_hint is not None:
            result["notes"].append("placement does not use the length hint")
        if config is None:
            self._refuse(result, Refusal(ErrorKind.NOT_READY), now_s)
            return result
        self._check_instance(result, now_s)
        route = _route(config, asked)
        if route is None:
            self._refuse(result, Refusal(ErrorKind.UNKNOWN_PATH, asked.path), now_s)
            return result
        result["route"] = route.name
        has_key = not route.is_public and bool(config.workspaces)
        workspace = _workspace(config, asked) if has_key else None
        if has_key and workspace is None:
            self._refuse(result, Refusal(ErrorKind.UNAUTHORIZED), now_s)
            if not asked.key:
                result["notes"].append("the route needs a key: give --workspace or --key")
            return result
        name = "" if workspace is None else workspace.name
        service = config.service(route.service_for(asked.request_id))
        priority = request_priority(route, workspace)
        result |= {"workspace": name or None, "service": service.name, "priority": priority}
        if len(route.destinations) > 1:
            result["notes"].append(
                f"the route is split between {len(route.destinations)} services; "
                f"request id {asked.request_id!r} goes to {service.name}"
            )
        redirect = self._redirects.preview(name)
        if redirect is not None:
            self._refuse(result, redirect[0], now_s, retry_after_range_s=redirect[1])
        self._place(result, asked, route, workspace, service, now_s)
        self._check_admission(result, service, priority, now_s)
        self._check_budget(result, asked, workspace, now_s)
        return result

    def _check_instance(self, result: dict[str, Any], now_s: float) -> None:
        if self._freshness.is_outdated(now_s):
            stale = Refusal(ErrorKind.CONFIGURATION_STALE, retry_after_s=OUTDATED_RETRY_AFTER_S)
            self._refuse(result, stale, now_s)
        if self._shutdown.refuses_requests(now_s):
            stopping = Refusal(ErrorKind.STOPPING, retry_after_s=STOPPING_RETRY_AFTER_S)
            self._refuse(result, stopping, now_s)

    def _place(
        self,
        result: dict[str, Any],
        asked: PreviewRequest,
        route: Route,
        workspace: GatewayWorkspace | None,
        service: GatewayService,
        now_s: float,
    ) -> None:
        """Add engines, choice and prefill schedule, and the refusal if there is no engine."""
        homes: frozenset[Region] = frozenset() if workspace is None else workspace.homes
        permitted = permitted_regions(route.homes, homes)
        eligible = self._eligibility.eligible(service, permitted, now_s)
        direct = self._reachability.reachable(eligible.upstreams)
        is_cut_off = bool(eligible.upstreams) and not direct
        candidates = direct
        if is_cut_off and not self._is_out_of_reach(service, permitted, now_s):
            candidates = eligible.upstreams
            result["notes"].append(
                "no eligible engine could be connected to from here: "
                "a peer relays the request, if one can"
            )
        cold_ids = frozenset(eligible.cold_ids)
        subject = session_key(asked.prompt, asked.request_id)
        views = self._placement.explain(
            candidates, asked.prompt, subject, cold_upstreams=cold_ids, now_s=now_s
        )
        chosen = next((view.upstream for view in views if view.is_chosen), None)
        if chosen is None:
            retry_s = None
            if eligible.rate_limited and not eligible.upstreams:
                retry_s = self._eligibility.limits.retry_after_s(eligible.rate_limited)
            detail = eligible.exclusions_summary or service.name
            self._refuse(result, no_upstream_refusal(detail, retry_s), now_s)
        prefill = None
        if chosen is not None:
            usable = [
                u
                for u in self._placement.unsuspended(candidates, now_s)
                if u.upstream_id not in cold_ids
            ]
            prefill = self._prefills.preview(asked.prompt, route, chosen, usable)
            result["choice"] = _choice(chosen, prefill)
            result["prefill"] = _prefill_fields(asked, prefill)
        has_unsuspended = any(not view.suspended_for_s for view in views)
        result["engines"] = [
            self._engine(view, prefill, cold_ids, is_usable=has_unsuspended) for view in views
        ]
        result["engines"] += self._others(asked, subject, service, permitted, candidates, now_s)

    def _is_out_of_reach(
        self, service: GatewayService, permitted: frozenset[Region] | None, now_s: float
    ) -> bool:
        return self._reachability.is_confirmed(service.name, now_s) and self._is_relay_unavailable(
            service.name, lambda dc: self._eligibility.region_map.permits(permitted, dc)
        )

    def _engine(
        self,
        view: CandidateView,
        prefill: PrefillPreview | None,
        cold_ids: frozenset[str],
        *,
        is_usable: bool,
    ) -> dict[str, Any]:
        """Return the fields of an engine that the placement decides on.

        Parameters
        ----------
        is_usable
            Whether some engine is not suspended, so that suspended ones are not used.
        """
        reason = _SUSPENDED if view.suspended_for_s and is_usable else None
        if reason is None and not self._reachability.is_reachable(view.upstream):
            reason = _UNREACHABLE
        estimate = None if prefill is None else prefill.estimates.get(view.upstream.key)
        return {
            **_known_fields(view),
            "reason": reason,
            "is_cold": view.upstream.upstream_id in cold_ids,
            "is_home": view.is_home,
            "cost": view.cost,
            "prefill": None if estimate is None else asdict(estimate),
        }

    def _others(
        self,
        asked: PreviewRequest,
        subject: str,
        service: GatewayService,
        permitted: frozenset[Region] | None,
        candidates: list[RegisteredUpstream],
        now_s: float,
    ) -> list[dict[str, Any]]:
        """Return the fields of the engines of the service that are no candidates."""
        registered = self._eligibility.directory.upstreams.values()
        known = {u.key for u in candidates}
        others = [u for u in registered if u.service == service.name and u.key not in known]
        return [
            {
                **_known_fields(view),
                "reason": self._reason(view.upstream, service, permitted, now_s),
                "is_cold": self._eligibility.is_cold(view.upstream, service, now_s),
                "is_home": False,
                "cost": None,
                "prefill": None,
            }
            for view in self._placement.explain(others, asked.prompt, subject, now_s=now_s)
        ]

    def _reason(
        self,
        upstream: RegisteredUpstream,
        service: GatewayService,
        permitted: frozenset[Region] | None,
        now_s: float,
    ) -> str:
        if upstream.is_draining:
            return _DRAINING
        is_cold = self._eligibility.is_cold(upstream, service, now_s)
        exclusion = self._eligibility.exclusion(upstream, service, permitted, is_cold, now_s)
        return _UNREACHABLE if exclusion is None else exclusion.value

    def _check_admission(
        self, result: dict[str, Any], service: GatewayService, priority: int, now_s: float
    ) -> None:
        share = self._admitted_share(service.name, priority)
        if share < 1.0:
            detail = f"{service.name}: slow, {share:.2f} of such requests are taken on"
            self._refuse(
                result,
                Refusal(ErrorKind.OVERLOADED, detail),
                now_s,
                retry_after_range_s=RETRY_AFTER_RANGE_S,
                probability=1.0 - share,
            )

    def _check_budget(
        self,
        result: dict[str, Any],
        asked: PreviewRequest,
        workspace: GatewayWorkspace | None,
        now_s: float,
    ) -> None:
        tokens = asked.prompt.max_tokens
        if workspace is None or workspace.prepaid_tokens is None or not tokens:
            return
        budget = self._budget(BudgetName(workspace.name), tokens)
        result["budget"] = {
            "needed_tokens": tokens,
            "available_tokens": budget.available_tokens,
            "is_exhausted": budget.is_exhausted,
        }
        if tokens <= budget.available_tokens:
            return
        if budget.is_exhausted:
            detail = f"{workspace.name}: {tokens} tokens do not fit"
            self._refuse(result, Refusal(ErrorKind.BUDGET_EXHAUSTED, detail), now_s)
            return
        result["notes"].append(
            "the tokens are not held here: the request asks the store or peers for them, and is "
            f"refused with {ErrorKind.BUDGET_OUT_OF_REACH.value} if they give none"
        )

    def _refuse(
        self,
        result: dict[str, Any],
        refusal: Refusal,
        now_s: float,
        *,
        retry_after_range_s: tuple[float, float] | None = None,
        probability: float = 1.0,
    ) -> None:
        """Add a refusal; the first certain one is what the caller gets."""
        if refusal.kind in DECIDED_BY_CONFIGURATION and not self._freshness.is_confirmed(now_s):
            detail = f"{refusal.kind.value}: {refusal.detail}"
            refusal = Refusal(ErrorKind.CONFIGURATION_STALE, detail)
        retry_after_s = refusal.effective_retry_after_s
        if retry_after_range_s is None and retry_after_s is not None:
            retry_after_range_s = (retry_after_s, retry_after_s)
        result["refusals"].append(
            {
                "kind": refusal.kind.value,
                "status": refusal.answer.status,
                "detail": refusal.detail,
                "message": refusal.answer.message,
                "retry_after_s": None if retry_after_range_s is None else [*retry_after_range_s],
                "probability": probability,
            }
        )


def _route(config: GatewayConfig, asked: PreviewRequest) -> Route | None:
    if not asked.route:
        return config.route_for(asked.host, asked.path)
    for route in config.routes:
        if route.name == asked.route:
            return route
    names = ", ".join(sorted(r.name for r in config.routes))
    raise ValueError(f"route {asked.route!r}: there is none; write one of {names}")


def _workspace(config: GatewayConfig, asked: PreviewRequest) -> GatewayWorkspace | None:
    if not asked.workspace:
        return config.workspace_for(asked.key)
    if asked.workspace not in config.workspaces:
        raise ValueError(
            f"workspace {asked.workspace!r}: there is none; write a name of the configuration "
            f"in force, version {config.version}"
        )
    return config.workspaces[asked.workspace]


def _choice(chosen: RegisteredUpstream, prefill: PrefillPreview) -> str:
    """Return the engine that the request would be sent to, as far as is known here."""
    return chosen.upstream_id if prefill.grant is None else prefill.grant.upstream_id


def _prefill_fields(asked: PreviewRequest, prefill: PrefillPreview) -> dict[str, Any]:
    grant = prefill.grant
    return {
        "prompt_tokens": asked.prompt.input_tokens,
        "is_long": prefill.is_long,
        "scheduler": prefill.scheduler or None,
        "hold_s": None if grant is None else grant.hold_s,
        "read_s": None if grant is None else grant.read_s,
    }


def _known_fields(view: CandidateView) -> dict[str, Any]:
    return {
        "id": view.upstream.upstream_id,
        "data_centre": view.upstream.data_centre,
        "version": view.upstream.version,
        "running": view.running,
        "unread_tokens": view.unread_tokens,
        "suspended_for_s": view.suspended_for_s,
        "cached_tokens": view.cached_tokens,
        "is_slow": view.is_slow,
    }
