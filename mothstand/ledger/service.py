"""The ledger interface of one instance: finds leaseholders, reserves, settles and bills."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..core.membership import rank_for_shard, shard_of
from ..core.records import BillLine, BillsPosted, LedgerRecord, LedgerSnapshot
from ..errors import ErrorKind, Refusal
from ..events import Event, emit
from ..peers.failures import PeerError
from ..types import Shard
from .calls import KnownKey, NotHolder, ReserveCall, Ticket
from .shard import ShardNode

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.accounts import MirrorAnswer, MirrorBatch
    from ..log.writer import LogWriter
    from ..types import BudgetName
    from .calls import ReserveReply
    from .state import ShardContext

#: Time that a request waits for a takeover: suspicion of the holder and the new epoch's append.
_FIND_HOLDER_S = 3.0
_FIND_HOLDER_RETRY_S = 0.1
_POSTED_INTERVAL_S = 1.0
_SETTLE_RETRY_S = 0.25
_MAX_SETTLE_ATTEMPTS = 240


class LedgerService:
    """All ledger shards of one instance.

    Parameters
    ----------
    shard_count
        The fleet's number of ledger shards.
    make_writer
        Returns the writer of a shard's stream.
    bills
        Appends to the bills stream.
    """

    def __init__(
        self,
        shard_count: int,
        context: ShardContext,
        make_writer: Callable[[Shard], LogWriter[LedgerRecord | LedgerSnapshot]],
        bills: LogWriter[BillsPosted],
    ) -> None:
        self.shard_count = shard_count
        self._context = context
        self._bills = bills
        self._unsettled_count = 0
        self._paid_tokens: dict[Shard, dict[BudgetName, int]] = {}
        bills.on_appended(self._on_bills_appended)
        self._posted_tickets: list[Ticket] = []
        self._tickets_by_request: dict[str, Ticket] = {}
        self.shards = {
            Shard(number): ShardNode(Shard(number), make_writer(Shard(number)), context, self._bill)
            for number in range(shard_count)
        }

    # -- calls from peers ---------------------------------------------------------------------

    async def reserve_local(self, call: ReserveCall) -> ReserveReply:
        """Reserve if this instance leads the shard."""
        return await self.shards[call.shard].reserver.reserve(call)

    def settle_local(self, ticket: Ticket, used_tokens: int, request_id: str) -> bool:
        """Settle a reservation here; return False if this instance cannot."""
        return self.shards[ticket.shard].reserver.settle(ticket, used_tokens, request_id)

    def note_posted_local(self, ticket: Ticket) -> None:
        """Note that the bill of a reservation is in the log."""
        self.shards[ticket.shard].reserver.note_posted(ticket)

    def mirror_local(self, shard: Shard, batch: MirrorBatch) -> MirrorAnswer | None:
        """Answer a batch as its witness; return None if this process is not the witness."""
        return self.shards[shard].reserver.mirror(batch)

    # -- calls from this instance's requests --------------------------------------------------

    async def reserve(
        self, budget: BudgetName, request_id: str, bound_tokens: int, *, is_keyed: bool
    ) -> Ticket | Refusal | KnownKey:
        """Reserve a request's upper bound at the budget's leaseholder.

        Returns
        -------
        Ticket | Refusal | KnownKey
            A reservation, the reason why there is none, or the owner of the request's key.
        """
        call = ReserveCall(
            shard=Shard(shard_of(budget, self.shard_count)),
            request_id=request_id,
            budget=budget,
            bound_tokens=bound_tokens,
            owner=self._context.membership.local_member.incarnation,
            is_keyed=is_keyed,
        )
        clock = self._context.clock
        deadline_s = clock.monotonic_s() + _FIND_HOLDER_S
        while True:
            reply = await self._reserve_once(call)
            if not isinstance(reply, NotHolder):
                return reply
            if clock.monotonic_s() >= deadline_s:
                return Refusal(ErrorKind.LEDGER_UNAVAILABLE, f"shard {call.shard} has no holder")
            await clock.sleep(_FIND_HOLDER_RETRY_S)

    async def settle(
        self, ticket: Ticket, budget: BudgetName, request_id: str, used_tokens: int
    ) -> None:
        """Bill a request and settle its reservation; retry until holder or witness accepts.

        The bill is queued for the log before the first await, so that it is not lost if the
        caller disconnects.
        """
        if used_tokens > 0:
            self._tickets_by_request[request_id] = ticket
            self._bill(BillLine(request_id, budget, used_tokens))
        self._unsettled_count += 1
        try:
            await self._settle_until_accepted(ticket, request_id, used_tokens)
            if ticket.key_holder:
                # Best effort: if it fails, retries are told for longer than necessary that the
                # request still runs.
                await self._settle_at(ticket.key_holder, ticket, request_id, used_tokens)
        finally:
            self._unsettled_count -= 1

    @property
    def unsettled_count(self) -> int:
        """Number of settlements that no side of their epoch has accepted yet."""
        return self._unsettled_count

    def partners(self) -> set[str]:
        """Return the names of the peers that share an epoch with this instance."""
        local_name = self._context.membership.local_member.name
        pairs = (node.state.epoch_member_names() for node in self.shards.values())
        return {name for pair in pairs if local_name in pair for name in pair if name != local_name}

    def hand_over(self, has_peers: bool) -> bool:
        """Hand over the led shards at a stop; return whether some are still to be taken over.

        Parameters
        ----------
        has_peers
            Whether another instance can take over. If not, the epochs are closed here, so that
            their unspent tokens go back to the log.
        """
        leading = [node for node in self.shards.values() if node.state.leading() is not None]
        if not has_peers:
            for node in leading:
                node.close()
        return bool(leading) and has_peers

    # -- background work ----------------------------------------------------------------------

    def on_config(self) -> None:
        """Group the configured budgets by shard, once for each configuration."""
        paid_tokens: dict[Shard, dict[BudgetName, int]] = {}
        for name, budget in self._context.config().budgets.items():
            shard = Shard(shard_of(name, self.shard_count))
            paid_tokens.setdefault(shard, {})[name] = budget.paid_tokens
        self._paid_tokens = paid_tokens

    def tick(self) -> None:
        """Run the due work of every shard."""
        for shard, node in self.shards.items():
            node.tick(self._paid_tokens.get(shard, {}))

    async def run(self) -> None:
        """Send batches to witnesses and report posted bills, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for node in self.shards.values():
                tasks.start_soon(node.reserver.run_mirror)
            tasks.start_soon(self._run_posted_reports)

    async def _run_posted_reports(self) -> None:
        while True:
            await self._context.clock.sleep(_POSTED_INTERVAL_S)
            posted_tickets, self._posted_tickets = self._posted_tickets, []
            by_holder: dict[str, list[Ticket]] = {}
            for ticket in posted_tickets:
                by_holder.setdefault(ticket.holder, []).append(ticket)
            for address, tickets in by_holder.items():
                await self._report_posted(address, tuple(tickets))

    async def _report_posted(self, address: str, tickets: tuple[Ticket, ...]) -> None:
        if address == self._context.membership.local_member.address:
            for ticket in tickets:
                self.note_posted_local(ticket)
            return
        try:
            await self._context.calls.report_posted(address, tickets, timeout_s=1.0)
        except PeerError:
            # If this instance dies, the holder may post the bills again; duplicates are dropped.
            return

    def _bill(self, line: BillLine) -> None:
        self._bills.submit(lambda record_id: BillsPosted(record_id=record_id, lines=(line,)))

    def _on_bills_appended(self, records: tuple[BillsPosted, ...]) -> None:
        for record in records:
            for line in record.lines:
                ticket = self._tickets_by_request.pop(line.request_id, None)
                if ticket is not None:
                    self._posted_tickets.append(ticket)

    async def _reserve_once(self, call: ReserveCall) -> ReserveReply:
        asked: set[str] = set()
        queue = self._likely_holders(call.shard)
        while queue:
            address = queue.pop(0)
            if not address or address in asked:
                continue
            asked.add(address)
            reply = await self._reserve_at(address, call)
            if not isinstance(reply, NotHolder):
                return reply
            queue.insert(0, reply.hint)
        return NotHolder("")

    def _likely_holders(self, shard: Shard) -> list[str]:
        """Return addresses to try: the epoch's holder and witness, then by rendezvous."""
        current = self.shards[shard].state.current_epoch()
        named = []
        if current is not None:
            named.append(current.holder.address)
            if current.witness is not None:
                named.append(current.witness.address)
        membership = self._context.membership
        alive = membership.local_alive(self._context.clock.monotonic_s())
        order = rank_for_shard(alive, membership.data_centre, shard)
        return [*named, *(alive[name].address for name in order)]

    async def _reserve_at(self, address: str, call: ReserveCall) -> ReserveReply:
        if address == self._context.membership.local_member.address:
            return await self.reserve_local(call)
        timing = self._context.timing
        timeout_s = timing.grant_wait_s + 4 * timing.mirror_timeout_s
        try:
            return await self._context.calls.reserve(address, call, timeout_s=timeout_s)
        except PeerError:
            # The peer may have reserved: the tokens then stay reserved until the epoch ends or, for
            # a keyed request, until its retry.
            return NotHolder("")

    async def _settle_until_accepted(
        self, ticket: Ticket, request_id: str, used_tokens: int
    ) -> None:
        for attempt in range(_MAX_SETTLE_ATTEMPTS):
            for address in (ticket.holder, ticket.witness):
                if address and await self._settle_at(address, ticket, request_id, used_tokens):
                    return
            if attempt == 0:
                emit(Event.SETTLE_PENDING, request_id=request_id, epoch=ticket.epoch)
            await self._context.clock.sleep(_SETTLE_RETRY_S)

    async def _settle_at(
        self, address: str, ticket: Ticket, request_id: str, used_tokens: int
    ) -> bool:
        if address == self._context.membership.local_member.address:
            return self.settle_local(ticket, used_tokens, request_id)
        try:
            return await self._context.calls.settle(
                address, ticket, used_tokens, request_id, timeout_s=1.0
            )
        except PeerError:
            return False
