"""Forwarding against the bare pass-through: requests/s, added latency, processor time per chunk.

Run ``python -m benchmarks.forwarding``. The engine stand-in, the baseline, the instance and the
callers are separate processes on loopback. Compare figures only by their ratios within one run.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles

import aiohttp
import fire

from mothstand.testing.examples import KEYS, MODEL, write_folder
from mothstand.testing.fleet import Fleet, FleetProcess, free_port, wait_until

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_TOKENS = 128


@dataclass(frozen=True, slots=True)
class Figures:
    """Throughput, latency and failures that callers measured at one target."""

    requests_per_s: float
    p50_ms: float
    p95_ms: float
    chunks: int
    failed: int


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _call(session: aiohttp.ClientSession, url: str, body: bytes) -> tuple[float, int, bool]:
    started = time.perf_counter()
    headers = {"authorization": f"Bearer {KEYS['lund']}", "content-type": "application/json"}
    chunks = 0
    async with session.post(f"{url}/v1/chat/completions", data=body, headers=headers) as response:
        async for line in response.content:
            chunks += line.startswith(b"data:")
        failed = response.status != 200
    return time.perf_counter() - started, chunks, failed


async def _drive(url: str, callers: int, requests: int, *, stream: bool) -> Figures:
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": "Rewrite in APA: Andersson."}],
            "max_tokens": _TOKENS,
            "tokens_wanted": _TOKENS if stream else 4,
            "stream": stream,
        }
    ).encode()
    remaining = iter(range(requests))
    results: list[tuple[float, int, bool]] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def caller() -> None:
            for _ in remaining:
                results.append(await _call(session, url, body))

        started = time.perf_counter()
        await asyncio.gather(*(caller() for _ in range(callers)))
        elapsed_s = time.perf_counter() - started
    quantiles_ms = quantiles([1000 * r[0] for r in results], n=20)
    chunks = sum(r[1] for r in results)
    failed = sum(r[2] for r in results)
    return Figures(len(results) / elapsed_s, quantiles_ms[9], quantiles_ms[18], chunks, failed)


def _drive_in_child(url: str, callers: int, requests: int, stream: bool, queue: object) -> None:
    queue.put(asyncio.run(_drive(url, callers, requests, stream=stream)))  # type: ignore[attr-defined]


def drive(url: str, callers: int, requests: int, *, stream: bool) -> Figures:
    """Send requests to a target from a separate process."""
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    child = context.Process(target=_drive_in_child, args=(url, callers, requests, stream, queue))
    child.start()
    figures: Figures = queue.get(timeout=300)
    child.join()
    return figures


def _start_baseline(fleet: Fleet) -> FleetProcess:
    address = f"127.0.0.1:{free_port()}"
    upstream = fleet.processes["llm-a"].address
    arguments = (
        sys.executable,
        "-m",
        "benchmarks.baseline",
        f"--address={address}",
        f"--upstream={upstream}",
    )
    process = FleetProcess("baseline", fleet.popen("baseline", arguments), address)
    fleet.processes["baseline"] = process
    return process


def measure(
    requests: int = 600, streams: int = 120, *, witnessed: bool = False
) -> list[tuple[str, str, Figures, float]]:
    """Return the target, load, figures and processor seconds of each run.

    Parameters
    ----------
    witnessed
        Whether to start a second instance, so that each reservation waits for its witness.
    """
    rows = []
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_platform()
        fleet.start_engine("llm-a", "sto-a", token_delay_s=0.0, prefill_s=0.0, slots=1000)
        baseline = _start_baseline(fleet)
        instance = fleet.start_instance("sto-a-1", "sto-a")
        if witnessed:
            fleet.start_instance("sto-a-2", "sto-a")
        write_folder(Path(folder) / "folder", fleet, paid_tokens={"lund": 10**10})
        path = Path(folder) / "folder" / "10-all.ini"
        path.write_text(path.read_text(encoding="utf-8").replace("slots = 64", "slots = 1000"))
        fleet.publish(Path(folder) / "folder")
        fleet.wait_ready("sto-a-1")
        time.sleep(2.0)
        targets = {
            "engine alone": fleet.processes["llm-a"],
            "bare": baseline,
            "mothstand": instance,
        }
        for target in targets.values():
            wait_until(lambda t=target: not drive(t.url, 1, 20, stream=False).failed, "serves")
        loads = {
            "whole, 1 caller": (1, requests // 2, False),
            "whole, 64 callers": (64, requests * 3, False),
            f"streams of {_TOKENS}, 16 callers": (16, streams, True),
            f"paced {_TOKENS}, 48 callers": (48, streams, True),
        }
        for load, (callers, count, stream) in loads.items():
            if load.startswith("paced"):
                # Tokens that arrive one at a time cannot share a read or a write.
                fleet.set_faults("llm-a", mode="ok", token_delay_s=0.005)
            for name, target in targets.items():
                before = processor_s(target.process.pid)
                figures = drive(target.url, callers, count, stream=stream)
                rows.append((name, load, figures, processor_s(target.process.pid) - before))
    return rows


def main(requests: int = 600, streams: int = 120, witnessed: bool = False) -> None:
    """Print a row for each load and target."""
    rows = measure(requests, streams, witnessed=witnessed)
    print(
        f"{'load':26} {'target':13} {'req/s':>7} {'p50 ms':>8} {'p95 ms':>8} {'us/chunk':>9}"
        f" {'us/req':>8} {'failed':>6}"
    )
    for name, load, figures, seconds in rows:
        per_chunk = 1e6 * seconds / figures.chunks if figures.chunks else 0.0
        count = requests if "whole" in load else streams
        count = {"1 caller": requests // 2, "64 callers": requests * 3}.get(
            load.partition(", ")[2], count
        )
        print(
            f"{load:26} {name:13} {figures.requests_per_s:7.0f} {figures.p50_ms:8.2f}"
            f" {figures.p95_ms:8.2f} {per_chunk:9.1f} {1e6 * seconds / count:8.0f}"
            f" {figures.failed:6}"
        )


if __name__ == "__main__":
    fire.Fire(main)
