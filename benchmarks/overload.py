"""Overload: goodput, time to first token at high priority, and latency of refusals.

Run ``python -m benchmarks.overload``. One engine of 8 slots serves behind one instance. Requests
arrive at a fixed rate, however slowly earlier ones are answered; a quarter have high priority.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles

import aiohttp
import fire

from mothstand.testing.examples import KEYS, MODEL, write_folder
from mothstand.testing.fleet import Fleet, wait_until

from .forwarding import drive

_SLOTS = 8
_TOKENS = 20
_TOKEN_DELAY_S = 0.01
_SECONDS = 8.0
_MULTIPLES = (0.5, 1.0, 2.0, 5.0)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Status and latencies of one request."""

    is_high_priority: bool
    status: int
    first_token_s: float
    total_s: float


async def _call(
    session: aiohttp.ClientSession, url: str, *, is_high_priority: bool, number: int
) -> CallResult:
    key = KEYS["lund" if is_high_priority else "kushiro"]
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": f"{number} entry"}],
        "max_tokens": _TOKENS,
        "tokens_wanted": _TOKENS,
        "stream": True,
    }
    started = time.perf_counter()
    first_token_s = 0.0
    headers = {"authorization": f"Bearer {key}"}
    async with session.post(f"{url}/v1/chat/completions", json=body, headers=headers) as response:
        async for _ in response.content:
            first_token_s = first_token_s or time.perf_counter() - started
    return CallResult(
        is_high_priority, response.status, first_token_s, time.perf_counter() - started
    )


async def _offer(url: str, rate: float) -> list[CallResult]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        started = time.perf_counter()
        for number in range(int(rate * _SECONDS)):
            await asyncio.sleep(max(0.0, started + number / rate - time.perf_counter()))
            call = _call(session, url, is_high_priority=number % 4 == 0, number=number)
            tasks.append(asyncio.create_task(call))
        return list(await asyncio.gather(*tasks))


def _offer_in_child(url: str, rate: float, queue: object) -> None:
    queue.put(asyncio.run(_offer(url, rate)))  # type: ignore[attr-defined]


def offer(url: str, rate: float) -> list[CallResult]:
    """Send requests at a fixed rate from a separate process."""
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    child = context.Process(target=_offer_in_child, args=(url, rate, queue))
    child.start()
    results: list[CallResult] = queue.get(timeout=120)
    child.join()
    return results


def p95_ms(values: list[float]) -> float:
    """Return the 95th percentile in milliseconds of values in seconds; 0 for fewer than two."""
    return 1000 * quantiles(values, n=20)[18] if len(values) > 1 else 0.0


def main() -> None:
    """Print a row for each multiple of the engine's capacity."""
    capacity = _SLOTS / (_TOKENS * _TOKEN_DELAY_S)
    with tempfile.TemporaryDirectory() as temporary, Fleet(Path(temporary)) as fleet:
        fleet.start_platform()
        fleet.start_engine(
            "llm-a", "sto-a", token_delay_s=_TOKEN_DELAY_S, prefill_s=0.0, slots=_SLOTS
        )
        instance = fleet.start_instance("sto-a-1", "sto-a")
        folder = write_folder(Path(temporary) / "folder", fleet)
        path = folder / "10-all.ini"
        text = path.read_text(encoding="utf-8").replace("slots = 64", f"slots = {_SLOTS}")
        text = text.replace(
            "[workspace kushiro]\npriority = 1", "[workspace kushiro]\npriority = 0"
        )
        path.write_text(text, encoding="utf-8")
        fleet.publish(folder)
        wait_until(lambda: not drive(instance.url, 1, 10, stream=False).failed, "serves")
        print(f"capacity {capacity:.0f} requests/s of {_TOKENS} tokens, {_SLOTS} slots")
        print("offered  goodput/s  high: served %  first p95 ms  low: served %  refused p95 ms")
        for multiple in _MULTIPLES:
            results = offer(instance.url, multiple * capacity)
            served = [s for s in results if s.status == 200]
            refused_s = [s.total_s for s in results if s.status != 200]
            high = [s for s in results if s.is_high_priority]
            low = [s for s in results if not s.is_high_priority]
            print(
                f"{multiple:6.1f}x {len(served) / _SECONDS:10.1f}"
                f" {100 * sum(s.status == 200 for s in high) / len(high):14.1f}"
                f" {p95_ms([s.first_token_s for s in high if s.status == 200]):13.0f}"
                f" {100 * sum(s.status == 200 for s in low) / len(low):14.1f}"
                f" {p95_ms(refused_s):15.1f}"
            )


if __name__ == "__main__":
    fire.Fire(main)
