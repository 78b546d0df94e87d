"""A change of settings during a planned stop ends the process at once, with its requests."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import HOST, Fleet, Gateway, Record, Server, call, run_script  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"
ROUNDS = 3
REQUESTS = 12
WORK_S = 1.5

#: Times since the requests were sent.
SIGTERM_AT_S = 0.3
SIGHUP_AT_S = 0.8

GRACE_S = 8.0

#: `stable_window_ms` of the small deployments, and a little more.
STABLE_S = 3.2


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
    """Stop one instance after the other; return whether all requests were answered."""
    fleet = Fleet(record)
    servers = [Server(f"i-{n}", "renew-app", record, work_s=WORK_S) for n in range(1, 4)]
    await fleet.store.start()
    for server in servers:
        await server.start()
    fleet.store.put("keyed.op", "config", config())
    for server in servers:
        fleet.store.put("keyed.servers", server.server_id, server.entry())
    held = True
    try:
        await fleet.start(2)
        for number in range(ROUNDS):
            # The start of an instance is a disruption until then.
            await asyncio.sleep(STABLE_S)
            gateway = fleet.gateways[number % 2]
            held &= await stop_one(fleet, gateway, f"r{number}", record, has_trouble)
    finally:
        await fleet.stop()
    return held


async def stop_one(
    fleet: Fleet, stopping: Gateway, prefix: str, record: Record, has_trouble: bool
) -> bool:
    """Stop an instance while it has requests; return whether they were all answered."""
    async with asyncio.TaskGroup() as tasks:
        results = [
            tasks.create_task(send(f"{prefix}-{number}", stopping.callers, record))
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(SIGTERM_AT_S)
        record.write(f"platform: SIGTERM to {stopping.name}")
        stopping.send_signal(signal.SIGTERM)
        await asyncio.sleep(SIGHUP_AT_S - SIGTERM_AT_S)
        if has_trouble:
            for gateway in fleet.gateways:
                record.write(f"platform: SIGHUP to {gateway.name}, its settings file has changed")
                gateway.send_signal(signal.SIGHUP)
    assert stopping.process is not None
    code = await asyncio.wait_for(stopping.process.wait(), GRACE_S)
    record.write(f"{stopping.name} ended with {code}, the platform starts it again")
    await stopping.start()
    await stopping.wait_ready()
    return all(result.result() for result in results)


async def send(request_id: str, address: str, record: Record) -> bool:
    """Send a request; return whether it got a complete answer."""
    headers = [
        ("X-Request-Id", request_id),
        ("X-Api-Key", KEY),
        ("X-Deadline-Milliseconds", "4000"),
    ]
    record.write(f"client: sends {request_id} to {address}")
    try:
        request = "POST /pule252/2f HTTP/1.1"
        answer = await asyncio.wait_for(call(address, request, headers, b"pass"), 6.0)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.write(f"LOST: client: {request_id}: connection ends without an answer: {error!r}")
        return False
    record.write(f"client: {request_id} gets {answer.status}, complete: {answer.is_complete}")
    return answer.is_complete


if __name__ == "__main__":
    run_script(FOLDER, check, has_trouble=os.environ.get("TROUBLE", "1") != "0")
