"""A late second copy of a rejection is taken for the rejection of the next request."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import HOST, Fleet, Message, Record, Server, call, header, run_script  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"

#: Share of its answers that the faulty server sends a second time. The site plays up to 0.03.
SPOILED_SHARE = 0.03

#: The disruption comes several times, as long as the site plays it, with pauses.
SPOILED_S = 5.0
SOUND_S = 3.0

BURSTS = 160
BURST_REQUESTS = 16
BURST_PAUSE_S = 0.4

#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


def config() -> dict[str, object]:
    """Return a configuration with one route whose requests may run once at most."""
    route = {
        "name": "pass-issue",
        "host": HOST,
        "path_prefix": "/pule252/",
        "kind": "non_idempotent",
        "service": "renew-app",
        "attempts": 1,
        "timeout_ms": 4000,
        "goal_ms": 400,
        "priority": 2,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": "renew-app", "connection_limit": 96, "health_path": "/health"}],
        "tenants": [{"name": "huka270", "keys": [KEY]}],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def check(record: Record, has_trouble: bool) -> bool:
    """Send bursts of requests; return whether each ran once at most and no promise was broken."""
    fleet = Fleet(record)
    servers = [
        Server(f"i-{number}", "renew-app", record, slots=2, queue=2, work_s=0.09)
        for number in range(1, 4)
    ]
    await fleet.store.start()
    for server in servers:
        await server.start()
    chance = random.Random(7)

    began_s = time.monotonic()

    def spoil(request: Message, answer: bytes) -> bytes:
        in_window = (time.monotonic() - began_s) % (SPOILED_S + SOUND_S) < SPOILED_S
        is_request = request.first_line.startswith("POST")
        is_spoiled = is_request and in_window and chance.random() < SPOILED_SHARE
        return answer if is_spoiled else b""

    if has_trouble:
        servers[0].late_extra = spoil
    fleet.store.put("keyed.op", "config", config())
    for server in servers:
        fleet.store.put("keyed.servers", server.server_id, server.entry())
    try:
        await fleet.start(2)
        statuses = await send_bursts(fleet, record)
        await asyncio.sleep(2.0)
    finally:
        await fleet.stop()
    faulty = servers[0]
    record.write(f"{faulty.spoiled} of {faulty.answers} answers of {faulty.server_id} sent twice")
    held = True
    for request_id, status in statuses.items():
        runs = {s.server_id: s.runs[request_id] for s in servers if s.runs[request_id]}
        if sum(runs.values()) > 1:
            record.write(f"TWICE: {request_id} ran at {runs}, its client got {status}")
            held = False
        if runs and status in PROMISES:
            record.write(f"REFUSED: {request_id} ran at {runs}, its client got {status}")
            held = False
    return held


async def send_bursts(fleet: Fleet, record: Record) -> dict[str, int]:
    """Send all requests and return the status of each; 0 for none."""
    statuses: dict[str, int] = {}

    async def send(request_id: str, address: str) -> None:
        headers = [
            ("X-Request-Id", request_id),
            ("X-Api-Key", KEY),
            ("X-Deadline-Milliseconds", "4000"),
        ]
        record.write(f"client: sends {request_id} to {address}")
        try:
            request = "POST /pule252/2f HTTP/1.1"
            answer = await asyncio.wait_for(call(address, request, headers, b"pass"), 5.0)
            statuses[request_id] = answer.status
            signature = header(answer.headers, "X-Server-Signature")
            record.write(f"client: {request_id} gets {answer.status}, signature {signature!r}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            statuses[request_id] = 0
            record.write(f"client: {request_id} gets no answer: {error!r}")

    async with asyncio.TaskGroup() as tasks:
        for burst in range(BURSTS):
            for number in range(BURST_REQUESTS):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                tasks.create_task(send(f"r{burst:03}-{number:02}", gateway.callers))
            await asyncio.sleep(BURST_PAUSE_S)
    return statuses


if __name__ == "__main__":
    run_script(FOLDER, check, has_trouble=os.environ.get("TROUBLE", "1") != "0")
