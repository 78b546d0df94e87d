"""Builds, runs and stops one gateway instance."""

from __future__ import annotations

import resource
import uuid
from typing import TYPE_CHECKING

import anyio
from aiohttp import web

from ..core.caller_memory import CallerMemory, CallerMemoryPolicy
from ..core.config_freshness import ConfigFreshness
from ..core.connection_limit import ConnectionLimit
from ..core.eligibility import Eligibility
from ..core.evacuation import Evacuations
from ..core.fleet import Capacity, Member
from ..core.load_sharing import LoadSharing
from ..core.loans import Peer
from ..core.placement import Placement
from ..core.prefill_schedule import CalendarScheduler
from ..core.reachability import Reachability
from ..core.relaying import RelayPeers
from ..core.retry_budget import RetryBudgetSettings
from ..core.shutdown import Shutdown
from ..core.stall_detector import TICK_S, StallDetector
from ..core.warmup import Warmup, WarmupSettings
from ..events import Event, emit
from ..log.health import PlatformHealth
from ..process_signals import STOP_SIGNALS
from ..process_start import BACKLOG
from ..settings.instance import Address
from ..types import BudgetName
from . import allocator
from .accounts import Accounts
from .bootstrap import Bootstrap
from .evacuations import EvacuationTracker, OperatorNewsPolling
from .feeds import ConfigFeed
from .forward import Forwarder
from .lending import BootstrapState, GrpcPeerLink, LendingService, serve_peers
from .member_feed import MemberFeed
from .metrics import GatewayMetrics
from .named_limits import NamedLimits
from .origin_log import OriginLog
from .prefill_link import GrpcPrefillLink, PrefillService
from .prefill_scheduling import PrefillScheduling
from .preview import PREVIEW_PATH, PlacementPreview
from .process_check import ReportedProcessCheck
from .quarantine.crash_detector import CorroboratedCheck, CrashDetector, TcpLivenessCheck
from .quarantine.feed import QuarantineFeed
from .quarantine.guard import CrashGuard
from .reachability_probes import ReachabilityProbes
from .redirects import Redirects
from .relay_client import RelayClient
from .relay_finder import RelayFinder
from .relay_server import RelayServer
from .relays import PeerRelays
from .release_history import FeedPositions, ReleaseHistory
from .resumptions import Resumptions
from .server import GatewayServer
from .startup_wait import StartupWait
from .store_witness import PeerWitness
from .stream_origins import StreamOrigins
from .upstream_client import UpstreamClient
from .upstream_feed import UpstreamFeed

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from ..clock import Clock
    from ..core.routes import GatewayConfig
    from ..core.upstreams import RegisteredUpstream
    from ..process_start import ProcessStart
    from ..settings.gateway import GatewaySettings
    from .headers import HeaderTranslator
    from .platform_parts import PlatformParts

#: Seconds between two checks whether a stop is over.
_STOP_CHECK_INTERVAL_S = 0.1

#: Seconds that running requests get to finish when the process must end. With the library's
#: default of a minute, the grace period would end first and the process be killed with its claims
#: held.
_SHUTDOWN_TIMEOUT_S = 0.2

_TASK_RESTART_DELAY_S = 0.2


class GatewayInstance:
    """A gateway instance that serves until SIGTERM."""

    def __init__(
        self,
        settings: GatewaySettings,
        parts: PlatformParts,
        clock: Clock,
        process_start: ProcessStart,
    ) -> None:
        self._settings = settings
        self._process_start = process_start
        self._clock = clock
        self._shutdown = Shutdown(settings.timing.grace_s)
        self._local_peer = Peer(
            settings.instance.name, uuid.uuid4().hex[:12], settings.listen.peers
        )
        self._metrics = GatewayMetrics()
        self._health = PlatformHealth(clock)
        self._caller_memory = CallerMemory(
            CallerMemoryPolicy().capacity_bytes(settings.callers.memory_mb),
            clock,
            on_relieved=allocator.trim,
        )
        self._connection_limit = ConnectionLimit.of(_descriptors(settings), backlog=BACKLOG)
        self._store = parts.store
        self._prepaid_tokens: dict[BudgetName, int] = {}
        translator: HeaderTranslator = parts.headers
        self._evacuations = EvacuationTracker(Evacuations(), parts.evacuated_data_centre, clock)
        self._config_feed = ConfigFeed(
            parts.store,
            parts.config_stream,
            parts.config_key,
            clock,
            self._health,
            parts.decode_config,
            self._on_config,
            self._evacuations,
            ConfigFreshness(settings.timing.configuration_ms / 1000),
            self._metrics,
            self._note_config_gap,
        )
        self._placement = Placement(settings.data_centre)
        self._link = GrpcPeerLink()
        retries = _retry_settings(settings)
        self._members = MemberFeed(
            parts.store,
            Member(self._local_peer, settings.data_centre, _capacity(settings)),
            clock,
            self._health,
            self._on_members_changed,
            retries,
            started_s=process_start.started_s,
            paces=self._placement.paces,
            is_busy=lambda: self._redirects.is_busy,
        )
        self._sharing = LoadSharing(settings.load_sharing_policy, self._members.fleet)
        self._redirects = Redirects(
            self._sharing, self._members.fleet, self._members.busy_instances, clock, self._metrics
        )
        self._warmup = Warmup(
            WarmupSettings(settings.warmup.overshoot, settings.warmup.slack), self._members.fleet
        )
        self._upstream_feed = UpstreamFeed(
            parts.store,
            parts.upstreams_stream,
            clock,
            self._health,
            parts.decode_upstream,
            self._forget_upstream,
            settings.timing.registrations_s,
            PeerWitness(self._link, self._members),
            self._note_registration,
            self._note_registrations_gap,
        )
        self._stream_origins = StreamOrigins(
            self._members.fleet,
            self._upstream_feed.directory,
            self._link,
            OriginLog(parts.store, self._members.fleet, clock, self._metrics),
            clock,
            self._metrics,
        )
        self._release_history = ReleaseHistory(
            parts.store,
            parts.upstreams_stream,
            parts.decode_upstream,
            FeedPositions(self._upstream_feed, self._config_feed),
            self._stream_origins,
            self._members.fleet,
            clock,
        )
        self._accounts = Accounts(
            settings,
            self._local_peer,
            parts.store,
            self._link,
            clock,
            self._health,
            self._prepaid,
            self._members,
            started_s=process_start.started_s,
        )
        self._stall_detector = StallDetector()
        self._quarantine_feed = QuarantineFeed(
            parts.store,
            clock,
            self._health,
            self._local_peer.instance,
            self._link,
            self._peer_addresses,
            lambda: self._members.fleet.size,
        )
        self._operator_news = OperatorNewsPolling(
            self._evacuations, self._link, self._config_feed, self._peer_addresses, clock
        )
        self._bootstrap = Bootstrap(
            settings.seeds.peers,
            settings.listen.peers,
            self._link,
            self._config_feed,
            self._upstream_feed,
            self._members,
            self._quarantine_feed,
            self._evacuations,
            clock,
        )
        self._crash_detector = CrashDetector(
            CorroboratedCheck(
                TcpLivenessCheck(settings.timing.connect_timeout_s), self._upstream_addresses
            ),
            clock,
            self._quarantine_feed.report,
        )
        self._probes = ReachabilityProbes(
            Reachability(),
            self._upstream_feed.directory,
            # A connection on a full link takes longer than a request waits for one.
            TcpLivenessCheck(settings.timing.upstream_timeout_s),
            clock,
            self._metrics,
        )
        self._named_limits = NamedLimits(self._members.limits, clock, self._metrics)
        self._client = UpstreamClient(
            settings, translator, self._probes.note_connected, self._named_limits.note_answer
        )
        self._process_check = ReportedProcessCheck(
            self._client,
            parts.report_path,
            parts.decode_born_ms,
            self._upstream_feed.directory,
            clock,
            self._metrics,
        )
        resumptions = Resumptions(
            self._stream_origins, self._process_check, self._upstream_feed.directory, clock
        )
        eligibility = Eligibility(
            self._upstream_feed.directory,
            self._evacuations.evacuations,
            self._warmup,
            self._members.limits,
            settings.region_map,
        )
        self._relay_finder = RelayFinder(
            RelayPeers(settings.instance.name, settings.data_centre),
            self._members.fleet,
            self._link,
            self._probes,
            clock,
            self._metrics,
        )
        self._relay_client = RelayClient(settings, translator)
        self._relay_server = RelayServer(
            settings,
            self._config,
            _capacity(settings),
            self._client,
            translator,
            eligibility,
            self._probes,
            self._crash_detector,
            self._shutdown,
            self._caller_memory,
            clock,
            self._metrics,
        )
        self._prefill_scheduler = CalendarScheduler()
        # A call without an answer closes its channel, and these calls have a short timeout: on the
        # channels of loans, each would break the loans that are running.
        self._prefill_peers = GrpcPeerLink()
        self._prefills = PrefillScheduling(
            self._sharing,
            self._prefill_scheduler,
            GrpcPrefillLink(self._prefill_peers),
            clock,
            self._metrics,
        )
        guard = CrashGuard(self._quarantine_feed, self._crash_detector, clock)
        relays = PeerRelays(self._relay_finder, self._relay_client, self._named_limits.note_answer)
        forwarder = Forwarder(
            self._client,
            translator,
            self._placement,
            eligibility,
            retries,
            lambda: self._members.burst_shares.sharers(clock.monotonic_s()),
            self._stall_detector,
            guard,
            self._probes,
            relays,
            resumptions,
            self._redirects,
            self._prefills,
            self._caller_memory,
            clock,
            self._metrics,
        )
        self._server = GatewayServer(
            self._config,
            self._config_feed.freshness,
            translator,
            self._accounts,
            guard,
            forwarder,
            resumptions,
            self._redirects,
            self._caller_memory,
            self._connection_limit,
            clock,
            self._metrics,
            self._shutdown,
            StartupWait(clock, process_start.started_s, self._can_serve),
        )
        self._preview = PlacementPreview(
            settings.instance.name,
            self._config,
            self._config_feed.freshness,
            self._shutdown,
            eligibility,
            self._placement,
            self._probes.reachability,
            relays.is_unavailable,
            self._redirects,
            forwarder.peek_admitted_share,
            self._accounts.preview,
            self._prefills,
            clock,
        )

    def _forget_upstream(self, upstream: RegisteredUpstream) -> None:
        self._stream_origins.note_upstream(upstream)
        self._process_check.forget(upstream)
        self._placement.forget(upstream)
        self._prefill_scheduler.forget(upstream.key)
        self._warmup.forget(upstream)
        self._named_limits.forget(upstream)
        self._probes.forget(upstream)
        self._client.close_idle_connections(upstream)
        self._crash_detector.note_process_ended(upstream)

    def _note_registration(self, upstream: RegisteredUpstream) -> None:
        self._stream_origins.note_upstream(upstream)
        now_s = self._clock.monotonic_s()
        was_cold = self._warmup.is_cold(upstream, now_s)
        self._warmup.note_cold(upstream, upstream.cold_s, now_s)
        if upstream.cold_s > 0 and not was_cold:
            emit(Event.UPSTREAM_COLD, upstream=upstream.upstream_id, cold_s=upstream.cold_s)

    def _note_registrations_gap(self) -> None:
        self._stream_origins.versions.coverage.note_gap(self._clock.monotonic_s())
        self._release_history.note_gap()

    def _note_config_gap(self) -> None:
        self._stream_origins.routes.coverage.note_gap(self._clock.monotonic_s())
        self._release_history.note_gap()

    def _on_members_changed(self) -> None:
        self._accounts.poll()
        self._stream_origins.note_fleet()

    def _upstream_addresses(self) -> list[str]:
        return [upstream.address for upstream in self._upstream_feed.directory.upstreams.values()]

    def _peer_addresses(self) -> list[str]:
        return [member.peer.address for member in self._members.fleet.other_members()]

    async def run(self) -> None:
        """Serve until SIGTERM."""
        runner = web.ServerRunner(self._server.make_server(), shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        checks = web.ServerRunner(web.Server(self._serve_checks, access_log=None))
        await checks.setup()
        listen = self._settings.listen
        await _listen(runner, listen.callers, self._process_start.callers_socket)
        await _listen(checks, listen.ready)
        metrics = web.ServerRunner(web.Server(self._serve_metrics, access_log=None))
        await metrics.setup()
        await _listen(metrics, listen.metrics)
        relays = web.ServerRunner(
            self._relay_server.make_server(), shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await relays.setup()
        if listen.relay:
            await _listen(relays, listen.relay)
        service = LendingService(
            self._accounts.lend,
            self._accounts.take_over,
            self._bootstrap_state,
            self._upstream_feed.gapless_read_s,
            self._quarantine_feed.apply_from_peer,
            self._relay_server.offer,
            self._stream_origins.keep,
            self._stream_origins.found_here,
        )
        prefill_service = PrefillService(self._prefill_scheduler, self._clock)
        peer_server = await serve_peers(service, listen.peers, prefill_service)
        emit(
            Event.INSTANCE_STARTED,
            instance=self._local_peer.instance,
            incarnation=self._local_peer.incarnation,
            data_centre=self._settings.data_centre,
            cores=self._members.fleet.local_member.capacity.cores,
            link_mbit_per_s=self._members.fleet.local_member.capacity.link_mbit_per_s,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_with_restarts, "config", self._config_feed.run)
            tasks.start_soon(self._run_with_restarts, "operator news", self._operator_news.run)
            tasks.start_soon(self._run_with_restarts, "upstreams", self._upstream_feed.run)
            tasks.start_soon(self._run_with_restarts, "members", self._members.run)
            tasks.start_soon(self._run_with_restarts, "claims", self._accounts.run)
            tasks.start_soon(self._run_with_restarts, "bootstrap", self._bootstrap.run)
            tasks.start_soon(self._run_with_restarts, "stalls", self._detect_stalls)
            tasks.start_soon(self._run_with_restarts, "upstream ends", self._crash_detector.run)
            tasks.start_soon(self._run_with_restarts, "probes", self._probes.run)
            tasks.start_soon(self._run_with_restarts, "relays", self._relay_finder.run)
            tasks.start_soon(self._run_with_restarts, "quarantine", self._quarantine_feed.run)
            tasks.start_soon(self._run_with_restarts, "stream origins", self._stream_origins.run)
            tasks.start_soon(self._run_with_restarts, "history", self._release_history.run)
            tasks.start_soon(self._run_with_restarts, "prefills", self._prefills.run)
            await self._wait_for_stop_signal()
            tasks.start_soon(self._run_with_restarts, "signals", self._log_signals_in_stop)
            await self._wait_for_stop()
            # Requests have to end before claims are lowered: running requests count with their
            # maximum, and the unused part of it would stay claimed.
            await runner.cleanup()
            await relays.cleanup()
            tasks.cancel_scope.cancel()
        await self._accounts.stop(until_s=self._shutdown.deadline_s)
        await checks.cleanup()
        await metrics.cleanup()
        peer_server.close()
        self._link.close()
        self._prefill_peers.close()
        await self._client.aclose()
        await self._relay_client.aclose()
        await self._store.aclose()
        unused = self._accounts.unused_tokens()
        emit(Event.INSTANCE_STOPPED, instance=self._local_peer.instance, still_claimed=unused)

    async def _run_with_restarts(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task and restart it if it fails; meanwhile the instance serves without it."""
        while True:
            try:
                await work()
                return
            except Exception as error:
                emit(Event.TASK_FAILED, task=name, error=repr(error))
                await self._clock.sleep(_TASK_RESTART_DELAY_S)

    async def _detect_stalls(self) -> None:
        while True:
            began_s = self._clock.monotonic_s()
            self._stall_detector.tick(began_s)
            await self._clock.sleep(TICK_S)
            self._metrics.record_loop_delay(self._clock.monotonic_s() - began_s - TICK_S)
            self._config_feed.log_outdated()

    async def _wait_for_stop_signal(self) -> None:
        while await self._process_start.signals.next() not in STOP_SIGNALS:
            emit(Event.SETTINGS_CHANGED, instance=self._local_peer.instance)

    async def _log_signals_in_stop(self) -> None:
        while True:
            number = await self._process_start.signals.next()
            emit(Event.SIGNAL_IN_STOP, instance=self._local_peer.instance, signal=number.name)

    async def _wait_for_stop(self) -> None:
        """Begin the stop, and wait until requests have ended or must end."""
        self._shutdown.began_s = self._clock.monotonic_s()
        emit(
            Event.INSTANCE_STOPPING,
            instance=self._local_peer.instance,
            running=self._running_requests,
        )
        is_giving_back = False
        while not self._shutdown.is_over(self._clock.monotonic_s(), running=self._running_requests):
            if not is_giving_back and self._shutdown.refuses_requests(self._clock.monotonic_s()):
                is_giving_back = True
                self._accounts.begin_stopping()
            await self._clock.sleep(_STOP_CHECK_INTERVAL_S)

    @property
    def _running_requests(self) -> int:
        """Requests of callers and of other instances that are running."""
        return self._server.running_requests + self._relay_server.running_requests

    async def _serve_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the path of placement previews, and all others like the readiness address."""
        if request.path == PREVIEW_PATH:
            return self._preview.respond(request)
        return await self._serve_checks(request)

    async def _serve_checks(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer paths that contain `metrics` with the metrics, and others with readiness."""
        if "metrics" in request.path:
            self._metrics.counts["evacuated_data_centres"] = len(
                self._evacuations.evacuations.evacuated
            )
            quarantined = self._quarantine_feed.quarantine.quarantined(self._clock.monotonic_s())
            self._metrics.counts["quarantined_suspects"] = len(quarantined)
            self._metrics.counts["caller_memory_bytes"] = self._caller_memory.used_bytes
            self._metrics.counts["caller_memory_peak_bytes"] = self._caller_memory.peak_bytes
            self._metrics.counts["caller_memory_capacity_bytes"] = (
                self._caller_memory.capacity_bytes
            )
            self._metrics.counts["caller_memory_evictions"] = self._caller_memory.evictions
            self._metrics.counts["caller_connections"] = self._connection_limit.open
            self._metrics.counts["caller_connections_busy"] = self._connection_limit.busy
            return web.Response(text=self._metrics.text())
        is_outdated = self._config_feed.freshness.is_outdated(self._clock.monotonic_s())
        self._redirects.update_readiness()
        ready = (
            self._can_serve()
            and not self._shutdown.is_stopping
            and not is_outdated
            and self._redirects.accepts_connections
        )
        return web.Response(status=200 if ready else 503)

    def _can_serve(self) -> bool:
        """Return whether requests can be served, as far as this is known now.

        Before it knows the fleet, an instance neither claims tokens nor knows which peers lend
        them. While the store is unreachable this is not required: the outage may last, and some
        routes need no tokens.
        """
        knows_fleet = self._members.is_settled or self._health.is_failing
        knows_upstreams = self._upstream_feed.is_listed or self._health.is_failing
        return self._config() is not None and knows_fleet and knows_upstreams

    def _bootstrap_state(self) -> BootstrapState:
        """Return the state that an instance needs to start while the store is unreachable."""
        return BootstrapState(
            self._config_feed.raw,
            self._upstream_feed.raw_records(),
            self._members.known_records(),
            self._quarantine_feed.known_records(),
            self._evacuations.evacuations.states,
            0 if self._config_feed.config is None else self._config_feed.config.version,
        )

    def _config(self) -> GatewayConfig | None:
        return self._config_feed.config

    def _on_config(self, config: GatewayConfig) -> None:
        # Computed once per configuration since every reservation needs the totals.
        self._prepaid_tokens = {
            BudgetName(w.name): w.prepaid_tokens
            for w in config.workspaces.values()
            if w.prepaid_tokens is not None
        }
        self._stream_origins.note_config(config)
        self._accounts.poll()

    def _prepaid(self) -> dict[BudgetName, int]:
        return self._prepaid_tokens


def _retry_settings(settings: GatewaySettings) -> RetryBudgetSettings:
    """Return the settings of the fleet's retry budget.

    Sending a request takes at most the sum of its connect timeout and its answer timeout.
    """
    retries = settings.retries
    timing = settings.timing
    delivery_s = timing.connect_timeout_s + timing.upstream_timeout_s
    return RetryBudgetSettings(retries.ratio, retries.burst, retries.window_s, delivery_s)


def _capacity(settings: GatewaySettings) -> Capacity:
    section = settings.instance
    return Capacity(section.core_share * section.core_speed, section.link_mbit_per_s)


def _descriptors(settings: GatewaySettings) -> int:
    """Return the file descriptors that the process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return settings.callers.file_descriptors
    return min(settings.callers.file_descriptors, limit)


async def _listen(
    runner: web.ServerRunner, address: str, listener: socket.socket | None = None
) -> None:
    if listener is not None:
        await web.SockSite(runner, listener, backlog=BACKLOG).start()
        return
    parsed = Address.parse(address)
    await web.TCPSite(runner, parsed.host, parsed.port, backlog=BACKLOG).start()
