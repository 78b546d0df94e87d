"""A runner's answer whose body is blank lines without end, on a streaming route."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness2 import (
    WITH_TROUBLE,
    Answer,
    Fleet,
    Head,
    Instance,
    Runner,
    ask,
    default_config,
    main,
    request_bytes,
)

ZONES = ("kushiro-hall", "obihiro-hall", "kitami-hall")

#: Kinds of request as on the sheet of the deployment with 9 runners: requests a second, path,
#: deadline in ms, tokens and the longest pause that a client bears.
KINDS = {
    "bibliography-format": (17.3, "/summary/2f", 5000, "9190,52", 2.4),
    "field-suggest": (36.9, "/ask/2f", 15000, "826,232", 2.0),
    "export-ack": (13.5, "/issue/2f", 4000, "", 0.0),
    "style-lookup": (5.45, "/lookup/2f", 4000, "", 0.0),
}

#: The route's timeout in force for `export-ack`; its clients wait for 4 s.
TIMEOUT_S = 1.0

#: When the wrong answers come, in seconds from the start of traffic, and one in how many answers of
#: a third of the runners is wrong.
WINDOWS_S = ((6.0, 12.0), (20.0, 26.0))
ONE_IN = 20
TRAFFIC_S = 32.0

#: An idempotent request that is not read by then is abandoned.
UNREAD_S = 1.0

BLANK_LINES = b"10000\r\n" + b"\n" * 65536 + b"\r\n"


async def play(fleet: Fleet) -> str:
    """Play the case."""
    config = default_config()
    for route in config["routes"]:
        if route["service"] == "app":
            route["timeout_ms"] = int(TIMEOUT_S * 1000)
    fleet.store.put("keyed.op", "config", config)
    began_s = 0.0
    streams: Counter[str] = Counter()
    wrong: list[str] = []

    async def wrong_answer(
        runner: Runner,
        head: Head,
        _: bytes,
        __: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        now_s = time.monotonic() - began_s
        in_window = began_s and any(begin <= now_s < end for begin, end in WINDOWS_S)
        if not (WITH_TROUBLE and in_window) or "x-token-counts" not in head.fields:
            return None
        streams[runner.runner_id] += 1
        if streams[runner.runner_id] % ONE_IN != ONE_IN // 2:
            return None
        request_id = head.fields["x-request-id"]
        wrong.append(request_id)
        fleet.record("blank lines begin", runner=runner.runner_id, request=request_id)
        writer.write(
            runner.head_of(
                request_id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
            )
        )
        sent_bytes = 0
        try:
            while True:
                writer.write(BLANK_LINES)
                await writer.drain()
                sent_bytes += len(BLANK_LINES)
        finally:
            fleet.record("blank lines end", request=request_id, bytes=sent_bytes)

    for number in range(9):
        runner = Runner(fleet.record, f"i-llm-{number}", "llm", ZONES[number % 3], pause_s=0.02)
        if number % 3 == number // 3:
            runner.on_request = wrong_answer
        await runner.start(fleet.store)
    for number, zone in enumerate(ZONES):
        await Runner(fleet.record, f"i-app-{number}", "app", zone, work_s=0.09).start(fleet.store)
    for zone in (*ZONES, *ZONES):
        await fleet.add_instance(zone)
    await fleet.wait_ready()

    answers: list[tuple[str, Answer]] = []

    async def request(kind: str, instance: Instance) -> None:
        _, path, deadline_ms, tokens, gap_s = KINDS[kind]
        request_id = fleet.request_id()
        data = request_bytes(
            request_id,
            path,
            method="GET" if kind == "style-lookup" else "POST",
            deadline_ms=deadline_ms,
            tokens=tokens,
        )
        give_up_s = UNREAD_S if kind == "style-lookup" else deadline_ms / 1000
        answer = await ask(
            fleet, instance, data, request_id, give_up_s=give_up_s, gap_s=gap_s, what=kind
        )
        answers.append((kind, answer))

    began_s = time.monotonic()
    tasks = set()
    rates = [rate for rate, *_ in KINDS.values()]
    while time.monotonic() - began_s < TRAFFIC_S:
        kind = random.choices(list(KINDS), rates)[0]
        tasks.add(asyncio.create_task(request(kind, random.choice(fleet.instances))))
        await asyncio.sleep(random.expovariate(sum(rates)))
    await asyncio.gather(*tasks)

    judged = [a for kind, a in answers if kind == "export-ack" and "Refused" not in a.error]
    at_timeout = [a for a in judged if a.took_s > TIMEOUT_S]
    later = [a for a in at_timeout if a.took_s > TIMEOUT_S + 0.5]
    failed = Counter(kind for kind, a in answers if a.status != 200 or not a.is_complete)
    longest_s = max(a.took_s for a in judged)
    fleet.record(
        "judged",
        requests=len(judged),
        unanswered_at_timeout=len(at_timeout),
        unanswered_half_a_second_later=len(later),
        longest_s=f"{longest_s:.2f}",
        wrong_answers=len(wrong),
        not_served=dict(failed),
        of=len(answers),
    )
    text = (
        f"{len(later)} of {len(at_timeout)} requests that had no answer at their timeout had none "
        f"half a second later ({len(wrong)} wrong answers, {len(judged)} requests, longest "
        f"{longest_s:.2f} s, not served {dict(failed)})"
    )
    print(text)
    if len(later) >= 8 and len(later) * 4 > len(at_timeout):
        return "CONFIG: " + text
    return ""


main(Path(__file__).resolve().parent, play)
