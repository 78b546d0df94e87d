"""Cost of each part by size, with fitted slopes for docs/CAPACITY.md.

Run ``python -m benchmarks.slopes``. It prints a line for each part: the cost at three sizes or
more, and the slope.
"""

from __future__ import annotations

import json
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING

import fire
from absl import logging

from mothstand.core.accounts import HolderAccount, Lane, WitnessAccount
from mothstand.core.config import FleetConfig
from mothstand.core.ledger_fold import LedgerFold
from mothstand.core.ledger_state import Grant
from mothstand.core.membership import Membership, PeerState, rank_for_shard
from mothstand.core.records import (
    BillLine,
    BillsPosted,
    BudgetPaid,
    EpochOpened,
    GrantAsk,
    GrantAsked,
    LedgerRecord,
    RecordId,
)
from mothstand.ledger.escrow_agent import EscrowAgent
from mothstand.ledger.state import ShardContext, ShardState
from mothstand.log.codec import decode, encode
from mothstand.settings.folder import validate_sections
from mothstand.settings.instance import TimingSection
from mothstand.testing.examples import write_folder
from mothstand.testing.fakes import FakeClock, FakeMembership, FakeWriter, NoPeers
from mothstand.testing.fleet import Fleet
from mothstand.types import NO_EPOCH, BudgetName, DataCentre, Epoch, Member, Shard

from .forwarding import processor_s

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (1_000, 4_000, 16_000)
INSTANCES = (2, 4, 8, 12)
_OBSERVED_S = 8.0


def fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope /= sum((x - mean_x) ** 2 for x, _ in points)
    return slope, mean_y - slope * mean_x


def report(name: str, unit: str, points: list[tuple[float, float]]) -> None:
    """Print the points and the fitted line."""
    slope, intercept = fit(points)
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(f"{name}: {shown} {unit}; slope {slope:.4g}, intercept {intercept:.4g}")


def _member(number: int) -> Member:
    return Member(f"i-{number}", f"i-{number}:x", f"10.0.0.{number}:7000", f"10.0.0.{number}:80")


def _fill(fold: LedgerFold, budgets: int) -> None:
    for number in range(budgets):
        paid = BudgetPaid(RecordId("o", number + 1), BudgetName(f"budget-{number}"), 10**6)
        fold.apply(1, paid)
    opened = EpochOpened(
        RecordId("h", 1), Shard(0), DataCentre("a"), _member(1), _member(2), NO_EPOCH
    )
    fold.apply(2, opened)
    for number in range(budgets):
        ask = GrantAsk(BudgetName(f"budget-{number}"), 1000, 0, 20, 50)
        fold.apply(3 + number, GrantAsked(RecordId("h", 2 + number), Epoch(2), (ask,)))


def fold_cost() -> None:
    """Report memory and time of a ledger fold by number of budgets."""
    memory, seconds = [], []
    for size in SIZES:
        tracemalloc.start()
        fold = LedgerFold(Shard(0))
        _fill(fold, size)
        memory.append((float(size), tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        started = time.process_time()
        _fill(LedgerFold(Shard(0)), size)
        seconds.append((float(size), time.process_time() - started))
    report("ledger fold, memory by budgets", "MB", memory)
    report("ledger fold, time by budgets paid and granted", "s", seconds)


def _make_leader(budgets: int) -> tuple[ShardState, EscrowAgent]:
    context = ShardContext(
        membership=FakeMembership(_member(1), DataCentre("a")),
        calls=NoPeers(),
        clock=FakeClock(),
        timing=TimingSection.model_validate({}),
        config=FleetConfig,
        log_unreachable_s=lambda: 0.0,
        data_centre_count=lambda: 2,
    )
    state = ShardState(Shard(0), context)
    _fill(state.fold, budgets)
    state.holders[Epoch(2)] = HolderAccount(Epoch(2), has_witness=True)
    writer: FakeWriter[LedgerRecord] = FakeWriter("h")
    agent = EscrowAgent(state, writer, lambda: None)  # type: ignore[arg-type]
    for number in range(budgets):
        agent.note_bound(BudgetName(f"budget-{number}"), 10)
    return state, agent


def ask_cost() -> None:
    """Report time of the check of a budget after a request, and of an ask for all budgets."""
    checks, asks = [], []
    for size in SIZES:
        state, agent = _make_leader(size)
        started = time.process_time()
        for number in range(500):
            agent.ask(BudgetName(f"budget-{number}"))
        checks.append((float(size), 1e6 * (time.process_time() - started) / 500))
        state.needed_tokens[BudgetName("budget-0")] = 5000
        started = time.process_time()
        agent.ask_for_waiting()
        asks.append((float(size), 1e3 * (time.process_time() - started)))
    report("look at a budget after a request, by budgets of the shard", "us", checks)
    report("an ask with all budgets along, by budgets of the shard", "ms", asks)


def account_cost() -> None:
    """Report time of reserve, mirror and settle at holder and witness by number of requests."""
    points = []
    for size in SIZES:
        holder, witness = HolderAccount(Epoch(2), has_witness=True), WitnessAccount(Epoch(2))
        name = BudgetName("b")
        grant = Grant(granted_tokens=10**12)
        started = time.process_time()
        for number in range(size):
            reservation = holder.reserve(str(number), name, 10, grant=grant, lane=Lane.WITNESSED)
            batch = holder.next_batch()
            assert reservation is not None
            assert batch is not None
            answer = witness.apply_batch(batch, {name: grant})
            assert answer is not None
            holder.apply_answer(batch.number, answer)
            holder.settle(reservation.number, 5)
            holder.note_posted(reservation.number)
        points.append((float(size), time.process_time() - started))
    report("accounts of both sides, time by requests", "s", points)


def rank_cost() -> None:
    """Report time of a rendezvous ranking by number of instances in a data centre."""
    points = []
    for size in (10, 50, 200):
        names = [f"i-{number}" for number in range(size)]
        started = time.process_time()
        for shard in range(200):
            rank_for_shard(names, DataCentre("a"), Shard(shard))
        points.append((float(size), 1e6 * (time.process_time() - started) / 200))
    report("rendezvous ranking, time by instances", "us", points)


def membership_cost() -> None:
    """Report memory of the membership by number of instances."""
    points = []
    for size in (100, 350, 700):
        tracemalloc.start()
        membership = Membership(_member(0), DataCentre("a"), 1.0)
        peers = [
            PeerState(f"i-{n}", f"10.0.{n // 250}.{n % 250}:7000", DataCentre("a"), 0.0, _member(n))
            for n in range(size)
        ]
        membership.apply_listing(peers, 0.0)
        points.append((float(size), tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
    report("membership, memory by instances", "MB", points)


def config_cost() -> None:
    """Report memory and time of a configuration by number of budgets, each with one key."""
    memory, seconds, size_mb = [], [], []
    for size in SIZES:
        sections = {f"workspace w{i}": {"priority": "1"} for i in range(420)}
        for number in range(size):
            workspace = f"w{number % 420}"
            paid = {"workspace": workspace, "paid_tokens": "1000"}
            sections[f"budget b{number}"] = paid
            digest = f"{number:064x}"
            key = {"workspace": workspace, "budget": f"b{number}", "sha256": digest}
            sections[f"key k{number}"] = key
        tracemalloc.start()
        started = time.process_time()
        config = validate_sections(sections)
        seconds.append((float(size), time.process_time() - started))
        memory.append((float(size), tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        size_mb.append((float(size), len(json.dumps(sections)) / 1e6))
        assert len(config.budgets) == size
    report("configuration, validated memory by budgets", "MB", memory)
    report("configuration, validation time (traced) by budgets", "s", seconds)
    report("configuration, JSON by budgets", "MB", size_mb)


def record_sizes() -> None:
    """Report bytes of records by number of entries."""
    asks, bills, decoding = [], [], []
    for size in (1, 20, 200):
        grant_asks = tuple(
            GrantAsk(BudgetName(f"budget-{n:06}"), 100_000, 5_000_000, 2000, 5000)
            for n in range(size)
        )
        payload = encode((GrantAsked(RecordId("i-1:0123456789ab", 77), Epoch(5), grant_asks),))
        asks.append((float(size), float(len(payload))))
        lines = tuple(
            BillLine(f"lund/{n:032x}", BudgetName(f"budget-{n:06}"), 300) for n in range(size)
        )
        posted = encode((BillsPosted(RecordId("i-1:0123456789ab", 77), lines),))
        bills.append((float(size), float(len(posted))))
        started = time.process_time()
        for _ in range(200):
            decode(payload)
        decoding.append((float(size), 1e6 * (time.process_time() - started) / 200))
    report("grant record, bytes by budgets", "B", asks)
    report("bill record, bytes by lines", "B", bills)
    report("grant record, decoding by budgets", "us", decoding)


def _loopback_bytes() -> int:
    for line in Path("/proc/net/dev").read_text(encoding="utf-8").splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[0])
    return 0


def idle_control() -> None:
    """Report processor time, traffic and memory of an idle instance by number of instances."""
    percent, rate, resident = [], [], []
    for count in INSTANCES:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            fleet.start_platform()
            instances = [
                fleet.start_instance(f"i-{number}", "a", is_listed=False) for number in range(count)
            ]
            fleet.publish_list()
            fleet.publish(write_folder(Path(folder) / "folder", fleet))
            fleet.wait_ready(*(instance.name for instance in instances))
            time.sleep(3.0)
            pids = [instance.process.pid for instance in instances]
            used, moved = sum(map(processor_s, pids)), _loopback_bytes()
            time.sleep(_OBSERVED_S)
            used, moved = sum(map(processor_s, pids)) - used, _loopback_bytes() - moved
            percent.append((float(count), 100 * used / _OBSERVED_S / count))
            rate.append((float(count), moved / _OBSERVED_S / count / 1000))
            resident.append((float(count), sum(map(_resident_mb, pids)) / count))
    report("idle instance, processor by instances of a data centre", "% of a core", percent)
    report("idle instance, loopback traffic by instances", "KB/s", rate)
    report("idle instance, resident memory by instances", "MB", resident)


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


PARTS: tuple[Callable[[], None], ...] = (
    fold_cost,
    ask_cost,
    account_cost,
    rank_cost,
    membership_cost,
    config_cost,
    record_sizes,
    idle_control,
)


def main() -> None:
    """Measure and report all parts."""
    logging.set_verbosity(logging.FATAL)
    for part in PARTS:
        part()


if __name__ == "__main__":
    fire.Fire(main)
