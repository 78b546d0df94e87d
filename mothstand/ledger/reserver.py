"""Reserves and settles tokens in epochs that this instance leads or spends as their witness."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..core.accounts import HolderAccount, Lane, MirrorAnswer, MirrorBatch, Reservation
from ..core.ledger_state import EpochState, Grant
from ..errors import ErrorKind, Refusal
from ..events import Event, emit
from ..peers.failures import PeerError
from .calls import KnownKey, NotHolder, ReserveCall, ReserveReply, Ticket
from .remote_reserve import remote_call_wait_s, reserve_remote

if TYPE_CHECKING:
    from ..core.accounts import WitnessAccount
    from ..types import BudgetName, Epoch
    from .escrow_agent import EscrowAgent
    from .state import ShardState

_MIRROR_RETRY_S = 0.05


@dataclass(slots=True)
class _PendingAcknowledgement:
    """A reservation that waits for the witness's acknowledgement."""

    done: anyio.Event = field(default_factory=anyio.Event)
    is_acknowledged: bool = False


class Reserver:
    """Serves the reservations of one shard."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._agent: EscrowAgent | None = None
        self._pending_acknowledgements: dict[tuple[Epoch, int], _PendingAcknowledgement] = {}
        self._mirror_requested = anyio.Event()
        self.is_witness_reachable = True

    def attach(self, agent: EscrowAgent) -> None:
        """Set the agent that asks for escrow; agent and reserver refer to each other."""
        self._agent = agent

    @property
    def agent(self) -> EscrowAgent:
        """The agent that asks for escrow."""
        assert self._agent is not None, "attach() comes first"
        return self._agent

    def request_mirror(self) -> None:
        """Wake the mirror loop."""
        self._mirror_requested.set()

    async def reserve(self, call: ReserveCall) -> ReserveReply:
        """Reserve the request's upper bound, or return the reason for a refusal."""
        state = self._state
        if call.is_keyed:
            known = self._find_key(call)
            if known is not None:
                return known
        leads = state.leading() is not None
        promoted = None if leads else state.promoted()
        if not leads and promoted is None:
            return NotHolder(self._holder_hint())
        if call.is_keyed:
            # Registered before the first await, so that a second request of the same key finds it.
            state.requests.start(call.request_id, call.owner)
        if promoted is None:
            reply = await self._reserve_as_holder(call)
        else:
            reply = await self._reserve_as_witness(promoted, call)
        if call.is_keyed and not isinstance(reply, Ticket):
            state.requests.forget(call.request_id)
        return reply

    def settle(self, ticket: Ticket, used_tokens: int, request_id: str) -> bool:
        """Settle a reservation; return False if this instance cannot.

        It cannot if no account here has the reservation, or if it is the epoch's witness and has
        not sealed its account yet.
        """
        state = self._state
        if ticket.key_holder == state.context.membership.local_member.address:
            self._finish_key(request_id, used_tokens)
            return True
        holder = state.holders.get(ticket.epoch)
        witness = state.witnesses.get(ticket.epoch)
        if holder is not None and ticket.number > 0:
            settled = holder.settle(ticket.number, used_tokens)
            if settled is not None:
                self.agent.add_demand(settled.budget, used_tokens)
            if holder.has_witness:
                self.request_mirror()
        elif witness is not None and witness.is_sealed:
            witness.settle(ticket.number, used_tokens)
        else:
            # An unsealed witness receives settlements from its holder, in order.
            return False
        self._finish_key(request_id, used_tokens)
        state.announce()
        return True

    def _finish_key(self, request_id: str, used_tokens: int) -> None:
        requests = self._state.requests
        if used_tokens > 0:
            requests.finish(request_id, self._state.context.clock.monotonic_s())
        else:
            # Nothing was billed: the key is free for another attempt.
            requests.forget(request_id)

    def note_posted(self, ticket: Ticket) -> None:
        """Note that the bill of a reservation is in the log."""
        holder = self._state.holders.get(ticket.epoch)
        witness = self._state.witnesses.get(ticket.epoch)
        if holder is not None and ticket.number > 0:
            holder.note_posted(ticket.number)
            self.request_mirror()
        elif witness is not None and witness.is_sealed:
            witness.note_posted(ticket.number)

    def mirror(self, batch: MirrorBatch) -> MirrorAnswer | None:
        """Answer a holder's batch; return None if this process is not the epoch's witness."""
        witness = self._state.witnesses.get(batch.epoch)
        if witness is None or batch.epoch not in self._state.fold.epochs:
            # A process restarted at the witness's address has no account of the epoch. Answering
            # "nothing spent" would free what the former process acknowledged.
            return None
        grants = self._state.fold.epochs[batch.epoch].grants
        return witness.apply_batch(batch, grants)

    async def run_mirror(self) -> None:
        """Send batches to the witness of the led epoch, one at a time, until cancelled."""
        while True:
            await self._mirror_requested.wait()
            leading = self._state.leading()
            batch = None if leading is None else leading[1].next_batch()
            if leading is None or batch is None or leading[0].witness is None:
                self._mirror_requested = anyio.Event()
                self._release_lost_epochs()
                continue
            await self._send(leading[0], leading[1], batch)

    async def _send(
        self, epoch_state: EpochState, account: HolderAccount, batch: MirrorBatch
    ) -> None:
        context = self._state.context
        assert epoch_state.witness is not None
        try:
            answer = await context.calls.mirror(
                epoch_state.witness,
                self._state.shard,
                batch,
                timeout_s=context.timing.mirror_timeout_s,
            )
        except PeerError as error:
            self._note_witness_state(is_reachable=False, detail=str(error))
            self._resolve_waiting(batch, frozenset())
            await context.clock.sleep(_MIRROR_RETRY_S)
            return
        self._note_witness_state(is_reachable=True, detail="")
        self.apply_mirror_answer(account, batch, answer)
        if answer.is_sealed:
            emit(Event.EPOCH_LOST, shard=self._state.shard, epoch=batch.epoch)
            self._release_lost_epochs()

    def apply_mirror_answer(
        self, account: HolderAccount, batch: MirrorBatch, answer: MirrorAnswer
    ) -> tuple[Reservation, ...]:
        """Apply the witness's answer to a batch; return the reservations that may now be used."""
        usable = account.apply_answer(batch.number, answer)
        numbers = frozenset(r.number for r in usable)
        self._resolve_waiting(batch, numbers)
        for reservation in batch.reservations:
            self.agent.on_reservation_decided(
                batch.epoch, reservation.number, reservation.number in numbers
            )
        return usable

    def _note_witness_state(self, *, is_reachable: bool, detail: str) -> None:
        if self.is_witness_reachable and not is_reachable:
            emit(Event.WITNESS_LOST, shard=self._state.shard, detail=detail)
        self.is_witness_reachable = is_reachable

    def _resolve_waiting(self, batch: MirrorBatch, usable: frozenset[int]) -> None:
        for reservation in batch.reservations:
            pending = self._pending_acknowledgements.pop((batch.epoch, reservation.number), None)
            if pending is not None:
                pending.is_acknowledged = reservation.number in usable
                pending.done.set()

    def _release_lost_epochs(self) -> None:
        """Wake the requests that wait in epochs which this instance no longer leads."""
        leading = self._state.leading()
        current = None if leading is None else leading[0].epoch
        for key in [key for key in self._pending_acknowledgements if key[0] != current]:
            self._pending_acknowledgements.pop(key).done.set()

    def _find_key(self, call: ReserveCall) -> ReserveReply | None:
        state = self._state
        now_s = state.context.clock.monotonic_s()
        known = state.requests.find(call.request_id, now_s)
        if known is None:
            return None
        running = known.finished_at_s is None
        if running and state.context.membership.find(known.owner, now_s) is None:
            return self._reassign_reservation(call)
        return KnownKey(owner=known.owner, is_finished=not running)

    def _reassign_reservation(self, call: ReserveCall) -> ReserveReply | None:
        """Assign the reservation of a dead owner's request to its retry, so both get one bill."""
        for epoch, account in [*self._state.holders.items(), *self._state.witnesses.items()]:
            if epoch not in self._state.fold.epochs:
                continue
            for reservation in account.open_reservations.values():
                if reservation.request_id == call.request_id:
                    reservation.owner = call.owner
                    self._state.requests.start(call.request_id, call.owner)
                    return self._ticket(self._state.fold.epochs[epoch], reservation)
        return None

    def _ticket(self, epoch_state: EpochState, reservation: Reservation) -> Ticket:
        witness = epoch_state.witness
        return Ticket(
            shard=self._state.shard,
            epoch=epoch_state.epoch,
            number=reservation.number,
            holder=epoch_state.holder.address,
            witness=witness.address if witness else "",
        )

    async def _reserve_as_witness(
        self, promoted: tuple[EpochState, WitnessAccount], call: ReserveCall
    ) -> ReserveReply:
        epoch_state, account = promoted
        grant = epoch_state.grants.get(call.budget, Grant())
        reservation = account.reserve_own(
            call.request_id, call.budget, call.bound_tokens, grant=grant, owner=call.owner
        )
        if reservation is not None:
            return self._ticket(epoch_state, reservation)
        remote_ticket = None if call.is_from_remote else await reserve_remote(self._state, call)
        return remote_ticket or Refusal(
            ErrorKind.BUDGET_OUT_OF_REACH,
            "the platform is out and the leaseholder is gone; "
            f"{account.free_own_tokens(call.budget, grant)} tokens can be spent here",
        )

    def _holder_hint(self) -> str:
        current = self._state.current_epoch()
        if current is None or current.is_closed:
            return ""
        return current.holder.address

    async def _reserve_as_holder(self, call: ReserveCall) -> ReserveReply:
        state = self._state
        self.agent.note_bound(call.budget, call.bound_tokens)
        timing = state.context.timing
        wait_s = remote_call_wait_s(timing) if call.is_from_remote else timing.grant_wait_s
        deadline_s = state.context.clock.monotonic_s() + wait_s
        can_ask_remote = not call.is_from_remote
        while True:
            leading = state.leading()
            if leading is None:
                return NotHolder(self._holder_hint())
            ticket = await self._try_reserve(leading, call)
            if ticket is not None:
                self.agent.ask(call.budget)
                return ticket
            remaining_s = deadline_s - state.context.clock.monotonic_s()
            # A remote data centre's request waits here only if the log can supply the tokens.
            is_wait_over = remaining_s <= 0 or (call.is_from_remote and self.log_lacks_tokens(call))
            refusal = self.shortage_refusal(call, is_wait_over=is_wait_over)
            if can_ask_remote and not self._is_exhausted(refusal) and self.log_lacks_tokens(call):
                can_ask_remote = False
                remote_ticket = await reserve_remote(state, call)
                if remote_ticket is not None:
                    return remote_ticket
                continue
            if refusal is not None or is_wait_over:
                return refusal or Refusal(ErrorKind.LEDGER_UNAVAILABLE)
            await self._wait_for_escrow(call, remaining_s)

    @staticmethod
    def _is_exhausted(refusal: Refusal | None) -> bool:
        return refusal is not None and refusal.kind is ErrorKind.BUDGET_EXHAUSTED

    def log_lacks_tokens(self, call: ReserveCall) -> bool:
        """Return whether the log is unreachable or has fewer tokens than the call needs."""
        free = self._state.fold.ungranted_tokens(call.budget)
        return self._state.context.is_log_unreachable or free < call.bound_tokens

    async def _try_reserve(
        self, leading: tuple[EpochState, HolderAccount], call: ReserveCall
    ) -> Ticket | None:
        epoch_state, account = leading
        grant = epoch_state.grants.get(call.budget, Grant())
        for lane in self.lanes(account, call.budget):
            reservation = _reserve_in_lane(account, call, grant, lane)
            if reservation is None:
                continue
            if lane is Lane.OWN or await self._wait_for_acknowledgement(
                epoch_state.epoch, reservation
            ):
                return self._ticket(epoch_state, reservation)
            account.settle(reservation.number, 0)
        if self.is_witness_reachable or not account.has_witness:
            return None
        # The witness became unreachable while this request waited for it.
        reservation = _reserve_in_lane(account, call, grant, Lane.OWN)
        return None if reservation is None else self._ticket(epoch_state, reservation)

    def lanes(self, account: HolderAccount, budget: BudgetName) -> list[Lane]:
        """Return the lanes that a request may use now, in order.

        Notes
        -----
        The allowance is for an unreachable witness and is withheld while the log has tokens left.
        At the budget's end it is spent: withholding it would refuse requests that are paid for.
        """
        if not account.has_witness or not self.is_witness_reachable:
            return [Lane.OWN]
        if self._state.fold.ungranted_tokens(budget) > 0:
            return [Lane.WITNESSED]
        return [Lane.WITNESSED, Lane.OWN]

    async def _wait_for_acknowledgement(self, epoch: Epoch, reservation: Reservation) -> bool:
        pending = _PendingAcknowledgement()
        self._pending_acknowledgements[epoch, reservation.number] = pending
        self.request_mirror()
        with anyio.move_on_after(2 * self._state.context.timing.mirror_timeout_s):
            await pending.done.wait()
        self._pending_acknowledgements.pop((epoch, reservation.number), None)
        return pending.is_acknowledged

    async def _wait_for_escrow(self, call: ReserveCall, remaining_s: float) -> None:
        needed = self._state.needed_tokens
        needed[call.budget] = needed.get(call.budget, 0) + call.bound_tokens
        try:
            progress = self._state.progress
            self.agent.ask(call.budget)
            with anyio.move_on_after(min(remaining_s, 0.1)):
                await progress.wait()
        finally:
            needed[call.budget] -= call.bound_tokens

    def shortage_refusal(self, call: ReserveCall, *, is_wait_over: bool) -> Refusal | None:
        """Return why the budget does not cover the call, or None if waiting may help."""
        leading = self._state.leading()
        if leading is None:
            return None
        epoch_state, account = leading
        fold = self._state.fold
        paid_tokens = max(fold.paid_tokens.get(call.budget, 0), self._configured_paid_tokens(call))
        spent_tokens = sum(account.spent_tokens(call.budget, lane) for lane in Lane)
        open_tokens = account.open_tokens(call.budget)
        returned_tokens = epoch_state.grants.get(call.budget, Grant()).returned_tokens
        other_epochs_tokens = fold.reported_tokens(call.budget, excluded_epoch=epoch_state.epoch)
        unspent_tokens = paid_tokens - other_epochs_tokens - (spent_tokens - open_tokens)
        numbers = (
            f"needs up to {call.bound_tokens} tokens, {unspent_tokens} of {paid_tokens} are unspent"
        )
        if call.bound_tokens > unspent_tokens:
            return Refusal(ErrorKind.BUDGET_EXHAUSTED, numbers)
        if self._state.context.is_log_unreachable:
            return Refusal(ErrorKind.BUDGET_OUT_OF_REACH, f"{numbers}; the platform is out")
        if not is_wait_over:
            return None
        if open_tokens - returned_tokens > 0:
            return Refusal(ErrorKind.BUDGET_RESERVED, f"{numbers}, {open_tokens} reserved here")
        return Refusal(ErrorKind.BUDGET_OUT_OF_REACH, numbers)

    def _configured_paid_tokens(self, call: ReserveCall) -> int:
        budget = self._state.context.config().budgets.get(call.budget)
        return 0 if budget is None else budget.paid_tokens


def _reserve_in_lane(
    account: HolderAccount, call: ReserveCall, grant: Grant, lane: Lane
) -> Reservation | None:
    return account.reserve(
        call.request_id,
        call.budget,
        call.bound_tokens,
        grant=grant,
        lane=lane,
        owner=call.owner,
    )
