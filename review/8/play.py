"""A late part of long prompts crashes each runner that begins to write an answer on it."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness2 import WITH_TROUBLE, Fleet, Head, Runner, ask, default_config, main, request_bytes

ZONES = ("kushiro-hall", "obihiro-hall", "kitami-hall")

#: Requests a second of each kind, as on the sheet.
SUMMARIES_PER_S = 16.3
ASKS_PER_S = 31.7

#: Share of the long prompts that hold the crashing part, and when.
DEADLY_SHARE = 0.03
DEADLY_S = (4.0, 24.0)
TRAFFIC_S = 26.0

#: Parts of a long prompt, the last of which is the request's own; the place of the crashing one.
PARTS = 48
PLACE = int(os.environ.get("PLACE", "40"))
PART_TOKENS = 190
DEADLY = "dead10cc"

STABLE_S = 3.0
BACK_AFTER_S = 3.0
SILENCE_S = 3.6


async def play(fleet: Fleet) -> str:
    """Play the case."""
    fleet.store.put("keyed.op", "config", default_config())
    crashes: list[float] = []
    arrivals: list[float] = []
    starts: Counter[str] = Counter()
    later = set()

    async def come_back(runner: Runner) -> None:
        gone_id = runner.runner_id
        await runner.crash()
        await asyncio.sleep(BACK_AFTER_S)
        base = gone_id.split("_")[0]
        starts[base] += 1
        runner.runner_id = f"{base}_{starts[base]}"
        await runner.start(fleet.store)
        await asyncio.sleep(SILENCE_S - BACK_AFTER_S)
        fleet.store.put("keyed.servers", gone_id, None)

    async def crash_on_part(
        runner: Runner,
        head: Head,
        _: bytes,
        __: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        if DEADLY not in head.fields.get("x-prompt-prefix", ""):
            return None
        arrivals.append(fleet.record.now_s)
        fleet.record("crashing part arrives", runner=runner.runner_id)
        request_id = head.fields["x-request-id"]
        await asyncio.sleep(runner.work_s)
        writer.write(
            runner.head_of(
                request_id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
            )
        )
        event = b"id: 1\ndata: begins\n\n"
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
        if runner.is_up:
            crashes.append(fleet.record.now_s)
            task = asyncio.create_task(come_back(runner))
            later.add(task)
        return False

    for number in range(6):
        runner = Runner(fleet.record, f"i-llm{number}", "llm", ZONES[number % 3], events=13)
        runner.on_request = crash_on_part
        await runner.start(fleet.store)
    for zone in (*ZONES, *ZONES):
        await fleet.add_instance(zone)
    await fleet.wait_ready()
    outcomes: Counter[str] = Counter()

    async def request(kind: str, *, is_deadly: bool) -> None:
        ends_s = time.monotonic() + 5.0
        for _ in range(2):
            request_id = fleet.request_id()
            parts, tokens, path = "", "826,232", "/ask/2f"
            if kind == "summary":
                session = random.randrange(40)
                ids = [f"{session:02x}{place:06x}" for place in range(PARTS - 1)]
                if is_deadly:
                    ids[PLACE - 1] = DEADLY
                parts = ",".join(f"{part}:{PART_TOKENS}" for part in (*ids, request_id))
                tokens, path = f"{PARTS * PART_TOKENS},52", "/summary/2f"
            remaining_s = ends_s - time.monotonic()
            data = request_bytes(
                request_id,
                path,
                deadline_ms=max(1, int(remaining_s * 1000)),
                tokens=tokens,
                parts=parts,
            )
            answer = await ask(
                fleet,
                random.choice(fleet.instances),
                data,
                request_id,
                give_up_s=remaining_s,
                gap_s=2.0,
                what=kind + (" with the part" if is_deadly else ""),
            )
            is_whole = answer.status == 200 and answer.is_complete
            outcomes[f"{kind}{' deadly' if is_deadly else ''} {answer.status} {is_whole}"] += 1
            if is_whole or kind == "ask" or time.monotonic() > ends_s - 0.2:
                return
            if answer.status == 503:
                await asyncio.sleep(min(1.0, float(answer.fields.get("retry-after", "1"))))

    began_s = time.monotonic()
    tasks = set()
    deadly_due = 0.0
    while (now_s := time.monotonic() - began_s) < TRAFFIC_S:
        kind = random.choices(("summary", "ask"), (SUMMARIES_PER_S, ASKS_PER_S))[0]
        in_time = DEADLY_S[0] <= now_s < DEADLY_S[1]
        is_deadly = False
        if WITH_TROUBLE and kind == "summary" and in_time:
            # Each one after as many sound ones as the share tells, without luck.
            deadly_due += DEADLY_SHARE
            is_deadly = deadly_due >= 1.0
            deadly_due -= is_deadly
        tasks.add(asyncio.create_task(request(kind, is_deadly=is_deadly)))
        await asyncio.sleep(random.expovariate(SUMMARIES_PER_S + ASKS_PER_S))
    await asyncio.gather(*tasks)
    counted = [at for at in arrivals if len(crashes) >= 5 and at > crashes[4] + STABLE_S]
    text = (
        f"{len(counted)} requests with the part reached runners later than {STABLE_S:.0f} s after "
        f"the fifth crash ({len(arrivals)} in all, {len(crashes)} crashes)"
    )
    fleet.record("judged", counted=len(counted), crashes=len(crashes), outcomes=dict(outcomes))
    print(text, dict(outcomes))
    return f"BUDGET: {text}" if len(counted) > 3 else ""


main(Path(__file__).resolve().parent, play)
