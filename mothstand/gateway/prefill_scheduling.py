"""Holds long prompts until the engine that is chosen for them has time to read them."""

from __future__ import annotations

import math
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..core.prefill_schedule import PrefillPolicy, PrefillRequest, scheduler_member
from ..events import Event, emit
from ..peers.failures import PeerError

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ..clock import Clock
    from ..core.fleet import Member
    from ..core.load_sharing import LoadSharing
    from ..core.prefill_schedule import CalendarScheduler, PrefillEstimate, PrefillGrant
    from ..core.prompt import Prompt
    from ..core.routes import Route
    from ..core.upstreams import RegisteredUpstream, UpstreamKey
    from .call import Call
    from .metrics import GatewayMetrics
    from .prefill_link import PrefillLink

#: Time for which a scheduler that did not answer is not asked: each further call could cost a
#: waiting request another timeout.
_AVOIDED_S = 2.0

#: Part of the time left until the deadline for which a request is held at most.
_MAX_HOLD_SHARE = 0.25

#: Part of the time left until the objective for which a request is held at most: its prompt is
#: still to be read then.
_MAX_OBJECTIVE_SHARE = 0.5

#: Reading times below this are not told apart from none.
_MIN_READ_S = 0.001

#: Engines below which there is nothing to choose for a scheduler.
_MIN_CANDIDATES = 2

#: Weight of the latest short prompt in the mean time to its first event.
_LATEST_WEIGHT = 0.05


@dataclass(slots=True)
class PrefillLease:
    """A reservation for a long prompt, until it is released.

    Parameters
    ----------
    scheduler
        The instance that granted it.
    """

    scheduler: Member
    service: str
    request_id: str
    is_released: bool = False


@dataclass(frozen=True, slots=True)
class PrefillPreview:
    """What would be done with a request as far as long prompts are scheduled.

    Parameters
    ----------
    scheduler
        Instance that would be asked; empty if none would be.
    grant
        Its answer, if it is this instance; another one's calendar is not known here.
    estimates
        The calendar of the engines, under the same condition.
    """

    is_long: bool
    scheduler: str = ""
    grant: PrefillGrant | None = None
    estimates: dict[UpstreamKey, PrefillEstimate] = field(default_factory=dict)


class PrefillScheduling:
    """Places long prompts by the schedulers of their engines' data centres.

    Parameters
    ----------
    local_scheduler
        Scheduler of this instance, for the engines that the fleet assigns to it.
    """

    def __init__(
        self,
        sharing: LoadSharing,
        local_scheduler: CalendarScheduler,
        link: PrefillLink,
        clock: Clock,
        metrics: GatewayMetrics,
        policy: PrefillPolicy | None = None,
    ) -> None:
        self._policy = policy or PrefillPolicy()
        self._sharing = sharing
        self._fleet = sharing.fleet
        self._local_scheduler = local_scheduler
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._avoided_until_s: dict[str, float] = {}
        self._short_first_event_s: dict[str, float] = {}
        self._tasks: TaskGroup | None = None

    def preview(
        self,
        prompt: Prompt,
        route: Route,
        first_choice: RegisteredUpstream,
        candidates: list[RegisteredUpstream],
    ) -> PrefillPreview:
        """Return what `place` would do with a request that arrives now; no scheduler is asked."""
        is_long = prompt.input_tokens >= self._policy.long_prompt_tokens
        if not (is_long and self._sharing.prefill_schedule):
            return PrefillPreview(is_long)
        local = {u.upstream_id: u for u in candidates if u.data_centre == first_choice.data_centre}
        scheduler = self._scheduler(first_choice)
        if scheduler is None or len(local) < _MIN_CANDIDATES:
            return PrefillPreview(is_long)
        name = scheduler.peer.instance
        if not self._is_local(scheduler):
            return PrefillPreview(is_long, name)
        request = PrefillRequest(
            service=first_choice.service,
            request_id="",
            prompt=prompt,
            candidates=_preferred_first(first_choice, local),
            max_hold_s=_max_hold_s(route.timeout_s, route.objective_s, route.objective_s),
        )
        now_s = self._clock.monotonic_s()
        return PrefillPreview(
            is_long,
            name,
            self._local_scheduler.preview(request, now_s),
            self._local_scheduler.estimates(request, now_s),
        )

    async def run(self) -> None:
        """Send releases until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await anyio.sleep_forever()
        finally:
            self._tasks = None

    def applies_to(self, call: Call) -> bool:
        """Return whether a request's prompt is scheduled."""
        return self._sharing.prefill_schedule and self._is_long(call)

    async def place(
        self, call: Call, first_choice: RegisteredUpstream, candidates: list[RegisteredUpstream]
    ) -> RegisteredUpstream:
        """Return the upstream for a long prompt, and hold it until it may be sent.

        Parameters
        ----------
        first_choice
            Upstream that is used if no scheduler answers.
        candidates
            Upstreams that the request may be sent to.
        """
        local = {u.upstream_id: u for u in candidates if u.data_centre == first_choice.data_centre}
        scheduler = self._scheduler(first_choice)
        if scheduler is None or len(local) < _MIN_CANDIDATES:
            return first_choice
        # Not the request's id: a caller may use one twice, and each attempt has a reservation.
        reservation_id = uuid.uuid4().hex
        request = PrefillRequest(
            service=first_choice.service,
            request_id=reservation_id,
            prompt=call.fields.prompt,
            candidates=_preferred_first(first_choice, local),
            max_hold_s=self._max_hold_s(call),
        )
        lease = PrefillLease(scheduler, first_choice.service, reservation_id)
        # Set before the call: a scheduler whose answer is lost has reserved all the same.
        call.prefill_lease = lease
        grant = await self._reserve(scheduler, request)
        if grant is None or grant.upstream_id not in local:
            self.note_ended(call)
            return first_choice
        hold_s = min(max(0.0, grant.hold_s), request.max_hold_s)
        self._metrics.counts["prefills_scheduled"] += 1
        self._metrics.record_prefill_hold(hold_s)
        call.prefill_hold_s += hold_s
        if hold_s > 0:
            await self._clock.sleep(hold_s)
        return local[grant.upstream_id]

    def note_first_event(self, call: Call) -> None:
        """Record the first event of an attempt: its prompt has been read."""
        elapsed_s = self._clock.monotonic_s() - call.attempt_began_s
        service = call.service.name
        if call.prefill_lease is not None:
            usual_s = self._short_first_event_s.get(service, 0.0)
            self._release(call, max(_MIN_READ_S, elapsed_s - usual_s))
        elif call.fields.prompt.parts and not self._is_long(call):
            mean_s = self._short_first_event_s.get(service, elapsed_s)
            mean_s += _LATEST_WEIGHT * (elapsed_s - mean_s)
            self._short_first_event_s[service] = mean_s

    def note_ended(self, call: Call) -> None:
        """Release the reservation of a request whose prompt will not be read."""
        self._release(call, 0.0)

    def _is_long(self, call: Call) -> bool:
        return call.fields.prompt.input_tokens >= self._policy.long_prompt_tokens

    def _max_hold_s(self, call: Call) -> float:
        now_s = self._clock.monotonic_s()
        objective_s = call.route.objective_s
        until_objective_s = call.arrived_s + objective_s - now_s
        return _max_hold_s(call.deadline_s - now_s, objective_s, until_objective_s)

    def _scheduler(self, upstream: RegisteredUpstream) -> Member | None:
        now_s = self._clock.monotonic_s()
        avoided = [name for name, until_s in self._avoided_until_s.items() if now_s < until_s]
        return scheduler_member(
            self._fleet, upstream.service, upstream.data_centre, avoided=frozenset(avoided)
        )

    def _is_local(self, scheduler: Member) -> bool:
        return scheduler.peer.instance == self._fleet.local_member.peer.instance

    async def _reserve(self, scheduler: Member, request: PrefillRequest) -> PrefillGrant | None:
        if self._is_local(scheduler):
            return self._local_scheduler.reserve(request, self._clock.monotonic_s())
        try:
            return await self._link.reserve(scheduler.peer.address, request)
        except PeerError as error:
            self._avoid(scheduler, error)
            return None

    def _release(self, call: Call, read_s: float) -> None:
        lease = call.prefill_lease
        if lease is None or lease.is_released:
            return
        lease.is_released = True
        if self._is_local(lease.scheduler):
            self._local_scheduler.release(
                lease.request_id, read_s=read_s, now_s=self._clock.monotonic_s()
            )
        elif self._tasks is not None:
            self._tasks.start_soon(self._send_release, lease, read_s)

    async def _send_release(self, lease: PrefillLease, read_s: float) -> None:
        try:
            await self._link.release(
                lease.scheduler.peer.address, lease.service, lease.request_id, read_s
            )
        except PeerError as error:
            self._avoid(lease.scheduler, error)

    def _avoid(self, scheduler: Member, error: PeerError) -> None:
        name = scheduler.peer.instance
        if self._clock.monotonic_s() < self._avoided_until_s.get(name, -math.inf):
            return
        self._avoided_until_s[name] = self._clock.monotonic_s() + _AVOIDED_S
        self._metrics.counts["prefill_schedulers_avoided"] += 1
        emit(Event.PEER_SUSPECTED, peer=name, error=str(error))


def _preferred_first(
    first_choice: RegisteredUpstream, local: dict[str, RegisteredUpstream]
) -> tuple[UpstreamKey, ...]:
    return (first_choice.key, *(u.key for u in local.values() if u is not first_choice))


def _max_hold_s(until_deadline_s: float, objective_s: float, until_objective_s: float) -> float:
    """Return the longest time for which a request may be held; no objective if that is 0."""
    longest_s = until_deadline_s * _MAX_HOLD_SHARE
    if objective_s > 0:
        longest_s = min(longest_s, until_objective_s * _MAX_OBJECTIVE_SHARE)
    return max(0.0, longest_s)
