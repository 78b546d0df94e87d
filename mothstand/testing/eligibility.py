"""Parts of the eligibility decision without restrictions, and with ones that tests choose."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.caller_memory import CallerMemory
from ..core.eligibility import Eligibility
from ..core.evacuation import Evacuations
from ..core.fleet import FleetView, Member
from ..core.homes import RegionMap
from ..core.ingress import BusyInstances
from ..core.load_sharing import LoadSharing, LoadSharingPolicy
from ..core.loans import Peer
from ..core.prefill_schedule import CalendarScheduler
from ..core.rate_limits import RateLimits
from ..core.warmup import Warmup, WarmupSettings
from ..gateway.lending import GrpcPeerLink
from ..gateway.origin_log import OriginLog
from ..gateway.prefill_link import GrpcPrefillLink
from ..gateway.prefill_scheduling import PrefillScheduling
from ..gateway.redirects import Redirects
from ..gateway.resumptions import Resumptions
from ..gateway.stream_origins import StreamOrigins
from ..types import DataCentre
from .fakes import AnyProcess, UnreachablePeers
from .memory_store import MemoryStore, StoreLink

if TYPE_CHECKING:
    from ..clock import Clock
    from ..core.upstreams import UpstreamDirectory
    from ..gateway.lending import PeerLink
    from ..gateway.metrics import GatewayMetrics
    from ..gateway.store import Store


#: Bound for all that an instance of a test holds for callers.
CALLER_MEMORY_BYTES = 48_000_000


def fleet_view(name: str, others: int = 0, *, read_s: float = 0.0) -> FleetView:
    """Return the view of an instance on a fleet with other instances, as read at a time."""
    data_centre = DataCentre("sto-a")
    view = FleetView(Member(Peer(name, "1", f"{name}:1"), data_centre))
    for number in range(others):
        other = f"other-{number}"
        view.apply_announcement(Member(Peer(other, "1", f"{other}:1"), data_centre), read_s)
    view.expire_members(read_s)
    return view


def origins_of(
    fleet: FleetView,
    directory: UpstreamDirectory,
    link: PeerLink,
    clock: Clock,
    metrics: GatewayMetrics,
    store: Store | None = None,
) -> StreamOrigins:
    """Return the origins that an instance knows, by default with a store of its own."""
    store = StoreLink(MemoryStore()) if store is None else store
    log = OriginLog(store, fleet, clock, metrics)
    return StreamOrigins(fleet, directory, link, log, clock, metrics)


def lone_resumptions(
    directory: UpstreamDirectory, clock: Clock, metrics: GatewayMetrics
) -> Resumptions:
    """Return the decision on resumptions of an instance without peers."""
    origins = origins_of(fleet_view("me"), directory, UnreachablePeers(), clock, metrics)
    origins.note_history_read()
    return Resumptions(origins, AnyProcess(), directory, clock)


def lone_redirects(clock: Clock, metrics: GatewayMetrics) -> Redirects:
    """Return the redirects of an instance whose settings switch them off."""
    fleet = fleet_view("me")
    sharing = LoadSharing(LoadSharingPolicy(), fleet)
    return Redirects(sharing, fleet, BusyInstances(), clock, metrics)


def lone_prefills(clock: Clock, metrics: GatewayMetrics) -> PrefillScheduling:
    """Return the scheduling of long prompts of an instance whose settings switch it off."""
    sharing = LoadSharing(LoadSharingPolicy(), fleet_view("me"))
    link = GrpcPrefillLink(GrpcPeerLink())
    return PrefillScheduling(sharing, CalendarScheduler(), link, clock, metrics)


def caller_memory(clock: Clock) -> CallerMemory:
    """Return an account of what is held for callers."""
    return CallerMemory(CALLER_MEMORY_BYTES, clock)


def unrestricted_eligibility(
    directory: UpstreamDirectory,
    *,
    evacuations: Evacuations | None = None,
    warmup: Warmup | None = None,
    limits: RateLimits | None = None,
    region_map: RegionMap | None = None,
) -> Eligibility:
    """Return an eligibility decision that excludes nothing but by the given parts."""
    return Eligibility(
        directory,
        Evacuations() if evacuations is None else evacuations,
        Warmup(WarmupSettings(), fleet_view("me")) if warmup is None else warmup,
        RateLimits(fleet_view("me")) if limits is None else limits,
        RegionMap() if region_map is None else region_map,
    )
