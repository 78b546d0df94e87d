"""One instance: composes its parts, runs them on one loop, and drains its streams at a stop."""

from __future__ import annotations

import os
import uuid
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config as HypercornConfig

from ..core.membership import Membership
from ..core.orders import OrderPlanner
from ..core.records import (
    ConfigPublished,
    ConfigSnapshot,
    IntentRecord,
    LedgerRecord,
    LedgerSnapshot,
)
from ..core.routing import Router
from ..events import Event, emit
from ..ledger.service import LedgerService
from ..ledger.state import ShardContext
from ..log.client import HttpLog
from ..log.health import PlatformHealth
from ..log.instances import HttpInstanceList
from ..log.monitored import MonitoredLog
from ..log.reader import LogReader
from ..log.writer import LogWriter, Pace
from ..peers.client import GrpcPeers
from ..peers.server import PeerService, make_server
from ..settings.folder import data_centres
from ..settings.instance import Address, InstanceSettings
from ..streams import (
    BILLS_STREAM,
    CONFIG_STREAM,
    INTENTS_STREAM,
    ORDERS_STREAM,
    ledger_stream,
)
from ..types import Member
from ..upstreams.client import UpstreamClient
from ..upstreams.orders import HttpEngineControl
from .app import make_app
from .configuration import Configuration
from .context import EntryContext
from .heartbeats import Heartbeats
from .intents import IntentClaims
from .metrics import Metrics
from .orders import OrderIssuer
from .sinks import AnswerStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..process_signals import ProcessSignals
    from ..types import Shard

_TICK_S = 0.2
_INTENTS_INTERVAL_S = 0.005
_BILLS_INTERVAL_S = 0.2
_ORDERS_INTERVAL_S = 1.0
_DRAIN_CHECK_S = 0.05
#: Time at a stop for successors to open their epochs and for the last appends.
_HANDOVER_S = 5.0
_TASK_RESTART_DELAY_S = 0.5
_CLOSE_TIMEOUT_S = 0.5


class Instance:
    """One entry instance of the fleet.

    Parameters
    ----------
    settings
        Settings file of the instance.
    signals
        Signals of the process, of which SIGTERM and SIGINT stop the instance.
    """

    def __init__(self, settings: InstanceSettings, clock: Clock, signals: ProcessSignals) -> None:
        self._settings = settings
        self._signals = signals
        self._clock = clock
        name = settings.instance.name
        self.local_member = Member(
            name=name,
            incarnation=f"{name}:{uuid.uuid4().hex[:12]}",
            address=settings.listen.peers,
            callers_address=settings.listen.callers,
        )
        timing = settings.timing
        self._http_log = HttpLog.from_settings(settings)
        self._log_health = PlatformHealth(clock)
        self._log = MonitoredLog(self._http_log, self._log_health)
        self._peers = GrpcPeers(settings.secrets.fleet_key)
        self._upstreams = UpstreamClient(timing)
        self._router = Router(settings.data_centre)
        self._membership = Membership(
            self.local_member, settings.data_centre, timing.suspect_after_s
        )
        self._configuration = Configuration(self._on_config)
        self._data_centres = 1
        self._writers: list[LogWriter[Any]] = []
        self._fetching_addresses: set[str] = set()
        self._tasks: TaskGroup | None = None
        self._ledger = LedgerService(
            settings.instance.ledger_shards,
            self._shard_context(),
            self._make_ledger_writer,
            self._make_writer(
                BILLS_STREAM,
                Pace(_BILLS_INTERVAL_S, timing.bills_append_s, timing.bills_append_lines),
            ),
        )
        self._claims = IntentClaims(
            self.local_member, self._make_writer(INTENTS_STREAM, Pace(_INTENTS_INTERVAL_S)), clock
        )
        self._config_writer = self._make_writer(CONFIG_STREAM, Pace(1.0))
        self._listing = HttpInstanceList(
            settings.platform.address, caller=name, timeout_s=timing.log_timeout_s
        )
        self._heartbeats = Heartbeats(
            self._membership,
            self._router,
            self._listing,
            self._peers,
            clock,
            timing,
            self._on_peer_config,
            self._ledger.partners,
            seeds=settings.peers.seeds,
        )
        self._config_reader = LogReader(
            self._log,
            CONFIG_STREAM,
            self._apply_config,
            clock=clock,
            load_snapshot=self._load_config,
        )
        self._readers = self._make_readers()
        self._engine_control = HttpEngineControl(timing.connect_timeout_s)
        self._orders = OrderIssuer(
            OrderPlanner(name, settings.data_centre),
            self._engine_control,
            self._membership,
            lambda: self._configuration.state,
            self._make_writer(ORDERS_STREAM, Pace(_ORDERS_INTERVAL_S)),
            clock,
            timing.orders_look_s,
        )
        self._context = EntryContext(
            config=lambda: self._configuration.state,
            ledger=self._ledger,
            membership=self._membership,
            router=self._router,
            upstreams=self._upstreams,
            clock=clock,
            metrics=Metrics(),
            answers=AnswerStore(),
            spawn=self._spawn,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and return; later signals change nothing."""
        server = make_server(
            PeerService(self._ledger, self._membership, lambda: self._configuration.state),
            self._settings.secrets,
        )
        listen = Address.parse(self._settings.listen.peers)
        await server.start(listen.host, listen.port)
        stop_serving = anyio.Event()
        served = anyio.Event()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for loop in self._loops():
                tasks.start_soon(self._keep_running, loop)
            tasks.start_soon(self._serve_callers, stop_serving, served)
            emit(
                Event.INSTANCE_STARTED,
                incarnation=self.local_member.incarnation,
                callers=self.local_member.callers_address,
                peers=self.local_member.address,
                pid=os.getpid(),
            )
            await self._signals.stop_requested()
            await self._drain()
            stop_serving.set()
            await served.wait()
            tasks.cancel_scope.cancel()
        server.close()
        await server.wait_closed()
        self._peers.close()
        await self._upstreams.aclose()
        await self._http_log.aclose()
        await self._listing.aclose()
        await self._engine_control.aclose()
        emit(Event.INSTANCE_STOPPED, incarnation=self.local_member.incarnation)

    # -- composition --------------------------------------------------------------------------

    def _shard_context(self) -> ShardContext:
        return ShardContext(
            membership=self._membership,
            calls=self._peers,
            clock=self._clock,
            timing=self._settings.timing,
            config=lambda: self._configuration.state.config,
            log_unreachable_s=self._log_health.failing_s,
            data_centre_count=lambda: self._data_centres,
        )

    def _make_writer(self, stream: str, pace: Pace) -> LogWriter[Any]:
        writer: LogWriter[Any] = LogWriter(
            self._log,
            stream,
            author=self.local_member.incarnation,
            clock=self._clock,
            pace=pace,
        )
        self._writers.append(writer)
        return writer

    def _make_ledger_writer(self, shard: Shard) -> LogWriter[LedgerRecord | LedgerSnapshot]:
        return self._make_writer(ledger_stream(shard), Pace(self._settings.timing.ledger_append_s))

    def _make_readers(self) -> list[LogReader]:
        readers = [self._config_reader]
        readers.append(LogReader(self._log, INTENTS_STREAM, self._apply_intent, clock=self._clock))
        for shard, node in self._ledger.shards.items():
            apply: Callable[[int, Any], None] = node.on_record
            readers.append(
                LogReader(
                    self._log,
                    ledger_stream(shard),
                    _ledger_only(apply),
                    clock=self._clock,
                    load_snapshot=_ledger_snapshot_only(node.load),
                )
            )
        return readers

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            *(reader.run for reader in self._readers),
            *(writer.run for writer in self._writers),
            self._heartbeats.run_list,
            self._heartbeats.run_probes,
            self._ledger.run,
            self._run_ticks,
            self._run_orders,
        ]

    # -- callbacks of the parts ----------------------------------------------------------------

    def _apply_config(self, offset: int, record: object) -> None:
        if isinstance(record, ConfigPublished | ConfigSnapshot):
            self._configuration.on_record(offset, record)

    def _load_config(self, snapshot: object) -> None:
        if isinstance(snapshot, ConfigSnapshot):
            self._configuration.load(snapshot)

    def _apply_intent(self, offset: int, record: object) -> None:
        if isinstance(record, IntentRecord):
            self._claims.on_record(offset, record)

    def _on_config(self) -> None:
        # Counted once per configuration, since the count is read after each request.
        self._data_centres = max(1, len(data_centres(self._configuration.state.config)))
        self._ledger.on_config()

    def _on_peer_config(self, address: str, offset: int) -> None:
        """Fetch a peer's configuration if it is newer and the platform is unreachable."""
        behind = offset > self._configuration.state.offset
        if behind and self._log_health.failing_s() > 0 and address not in self._fetching_addresses:
            self._fetching_addresses.add(address)
            self._spawn(self._fetch_config(address))

    async def _fetch_config(self, address: str) -> None:
        try:
            await self._configuration.fetch(self._peers, address)
        finally:
            self._fetching_addresses.discard(address)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        assert self._tasks is not None, "run() comes first"
        self._tasks.start_soon(_run_coroutine, work)

    # -- loops ------------------------------------------------------------------------------------

    async def _wait_until_ready_to_lead(self) -> None:
        while not self._ready_to_lead():
            await self._clock.sleep(_TICK_S)

    async def _run_ticks(self) -> None:
        await self._wait_until_ready_to_lead()
        while True:
            self._ledger.tick()
            self._context.answers.expire(self._clock.monotonic_s())
            self._snapshot_config()
            await self._clock.sleep(_TICK_S)

    async def _run_orders(self) -> None:
        await self._wait_until_ready_to_lead()
        await self._orders.run()

    def _snapshot_config(self) -> None:
        now_s = self._clock.monotonic_s()
        names = sorted([self.local_member.name, *self._membership.peers])
        self._configuration.snapshot_if_due(
            self._config_writer, names.index(self.local_member.name), now_s
        )

    def _ready_to_lead(self) -> bool:
        """Whether peers were probed and streams read, without which no epoch may be opened."""
        return self._heartbeats.has_probed and all(reader.is_caught_up for reader in self._readers)

    async def _keep_running(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a background loop, restarted on errors so that they do not end the instance."""
        while True:
            try:
                await loop()
            except Exception as error:
                emit(Event.TASK_FAILED, task=str(loop), error=repr(error))
                await self._clock.sleep(_TASK_RESTART_DELAY_S)

    async def _serve_callers(self, stop: anyio.Event, served: anyio.Event) -> None:
        config = HypercornConfig()
        config.bind = [self._settings.listen.callers]
        config.accesslog = None
        config.errorlog = None
        # Requests were drained before `stop`: only idle connections remain.
        config.graceful_timeout = _CLOSE_TIMEOUT_S
        config.keep_alive_timeout = 75.0
        app = make_app(self._context, self._claims)
        await serve(app, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]
        served.set()

    async def _drain(self) -> None:
        """Stop gracefully: refuse new work, finish running answers, append epochs and bills."""
        self._context.activity.is_stop_announced = True
        self._membership.is_stopping = True
        # The balancer sends requests until its next check of /health. They are served until then,
        # so that a planned stop costs no refusals.
        await self._clock.sleep(self._settings.timing.lame_duck_s)
        self._context.activity.is_refusing = True
        emit(Event.INSTANCE_STOPPING, running=self._context.activity.running_requests)
        with anyio.move_on_after(self._settings.timing.drain_s):
            while self._context.activity.running_requests or self._ledger.unsettled_count:
                await self._clock.sleep(_DRAIN_CHECK_S)
        for writer in self._writers:
            writer.disable_linger()
        with anyio.move_on_after(_HANDOVER_S):
            while self._ledger.hand_over(self._has_local_peers()) or self._pending_appends():
                await self._clock.sleep(_DRAIN_CHECK_S)

    def _has_local_peers(self) -> bool:
        return bool(self._membership.local_alive(self._clock.monotonic_s()))

    def _pending_appends(self) -> int:
        return sum(writer.pending for writer in self._writers)


def _ledger_only(apply: Callable[[int, Any], None]) -> Callable[[int, Any], None]:
    def apply_ledger(offset: int, record: object) -> None:
        if isinstance(record, LedgerRecord | LedgerSnapshot):
            apply(offset, record)

    return apply_ledger


def _ledger_snapshot_only(load: Callable[[LedgerSnapshot], None]) -> Callable[[object], None]:
    def load_ledger(snapshot: object) -> None:
        if isinstance(snapshot, LedgerSnapshot):
            load(snapshot)

    return load_ledger


async def _run_coroutine(work: Coroutine[Any, Any, None]) -> None:
    await work
