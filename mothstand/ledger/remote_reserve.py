"""Reserves at another data centre's leaseholder what this one has no escrow for.

No escrow moves: the other leaseholder reserves in its own epoch, as for a request of its own data
centre. It works while the platform is out; and where only this data centre is cut off from it, the
other one can get more escrow from the log.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..peers.failures import PeerError
from .calls import Ticket

if TYPE_CHECKING:
    from ..core.ledger_state import EpochState
    from ..settings.instance import TimingSection
    from ..types import BudgetName
    from .calls import ReserveCall
    from .state import ShardState


#: Data centres that are asked for one request, the most promising first.
_MAX_DATA_CENTRES_ASKED = 2


async def reserve_remote(state: ShardState, call: ReserveCall) -> Ticket | None:
    """Return a reservation in another data centre's epoch, or None if none has room.

    Notes
    -----
    One after the other: two at once could both reserve. A leaseholder that is not known to be alive
    is not asked, lest a request waits out a timeout for each data centre in a partition. A
    reservation whose answer is lost holds its tokens until its epoch ends.
    """
    timing = state.context.timing
    remote_call = replace(call, is_keyed=False, is_from_remote=True)
    timeout_s = 2 * timing.mirror_timeout_s + remote_call_wait_s(timing)
    for epoch in remote_epochs_with_tokens(state, call.budget, call.bound_tokens):
        try:
            reply = await state.context.calls.reserve(
                epoch.holder.address, remote_call, timeout_s=timeout_s
            )
        except PeerError:
            continue
        if isinstance(reply, Ticket):
            key_holder = state.context.membership.local_member.address if call.is_keyed else ""
            return replace(reply, key_holder=key_holder)
    return None


def remote_call_wait_s(timing: TimingSection) -> float:
    """Return how long a leaseholder waits for the log on behalf of another data centre.

    Two of them are asked one after the other, and the request has no longer than here.
    """
    return timing.grant_wait_s / 2


def remote_epochs_with_tokens(
    state: ShardState, budget: BudgetName, bound_tokens: int
) -> list[EpochState]:
    """Return other data centres' open epochs that may have the tokens, the most first.

    They may have less: their spend is known from their last asks only. While this data centre
    cannot reach the log, others may get from it what they do not have yet.
    """
    now_s = state.context.clock.monotonic_s()
    candidates: list[tuple[int, EpochState]] = []
    for epoch in state.remote_epochs(budget):
        if epoch.is_closed:
            continue
        grant = epoch.grants[budget]
        free_tokens = grant.granted_tokens - grant.returned_tokens - grant.reported_tokens
        if free_tokens < bound_tokens and not state.context.is_log_unreachable:
            continue
        if state.context.membership.find(epoch.holder.incarnation, now_s) is not None:
            candidates.append((free_tokens, epoch))
    candidates.sort(key=lambda pair: -pair[0])
    return [epoch for _, epoch in candidates[:_MAX_DATA_CENTRES_ASKED]]
