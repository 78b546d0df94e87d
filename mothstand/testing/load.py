"""Callers that send requests to a fleet while a test breaks it, and keep what they got."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

import httpx

from .examples import KEYS, MODEL

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_S = 10.0


class CallOutcome(Enum):
    """What a caller got."""

    COMPLETE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One request as its caller saw it.

    Parameters
    ----------
    prompt
        Unique, so that journals and bills can be matched with it.
    text
        The answer's text as far as it came.
    usage_tokens
        As reported in a whole answer.
    run_state, kind
        Of a refusal.
    url
        Of the instance that was asked.
    """

    prompt: str
    outcome: CallOutcome
    elapsed_s: float
    at_s: float
    max_tokens: int
    request_id: str = ""
    text: str = ""
    usage_tokens: int = 0
    run_state: str = ""
    kind: str = ""
    url: str = ""


@dataclass(slots=True)
class Load:
    """Callers in a thread of their own; a context manager.

    Parameters
    ----------
    urls
        Returns the URLs that the balancer would send to now.
    callers
        How many send at once, each one request after the other.
    pause_s
        Between two requests of one caller.
    """

    urls: Callable[[], list[str]]
    callers: int = 4
    pause_s: float = 0.02
    max_tokens: int = 12
    stream_share: float = 0.5
    key: str = KEYS["lund"]
    name: str = "load"
    records: list[CallRecord] = field(default_factory=list)
    _stop: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None
    _prompt_numbers: Any = field(default_factory=itertools.count)

    def __enter__(self) -> Load:
        """Start the callers."""
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the callers and wait for their last answers."""
        self._stop.set()
        assert self._thread is not None
        self._thread.join()

    def count(self, outcome: CallOutcome) -> int:
        """Return how many callers' requests ended so."""
        return sum(record.outcome is outcome for record in self.records)

    async def _run(self) -> None:
        limits = httpx.Limits(max_keepalive_connections=0)
        async with httpx.AsyncClient(limits=limits, timeout=_TIMEOUT_S, trust_env=False) as client:
            await asyncio.gather(*(self._caller(client) for _ in range(self.callers)))

    async def _caller(self, client: httpx.AsyncClient) -> None:
        while not self._stop.is_set():
            urls = self.urls()
            if urls:
                self.records.append(await self._call(client, random.choice(urls)))
            await asyncio.sleep(self.pause_s)

    async def _call(self, client: httpx.AsyncClient, url: str) -> CallRecord:
        prompt = f"{self.name} entry {next(self._prompt_numbers)}"
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": self.max_tokens,
            "stream": random.random() < self.stream_share,
            "stream_options": {"include_usage": True},
        }
        if not body["stream"]:
            del body["stream_options"]
        headers = {"authorization": f"Bearer {self.key}"}
        started_s = time.monotonic()
        result: dict[str, Any]
        try:
            response = await client.post(f"{url}/v1/chat/completions", json=body, headers=headers)
            result = read_answer(response.status_code, response.text, stream=bool(body["stream"]))
            result["request_id"] = response.headers.get("x-request-id", "")
        except httpx.HTTPError:
            result = {"got": CallOutcome.LOST}
        return CallRecord(
            prompt=prompt,
            elapsed_s=time.monotonic() - started_s,
            at_s=started_s,
            max_tokens=self.max_tokens,
            url=url,
            **result,
        )


def read_answer(status: int, text: str, *, stream: bool) -> dict[str, Any]:
    """Return the fields of a `CallRecord` that an HTTP answer gives."""
    if status != 200:
        error = json.loads(text)["error"]
        return {"got": CallOutcome.REFUSED, "run_state": error["run_state"], "kind": error["code"]}
    if not stream:
        value = json.loads(text)
        return {
            "got": CallOutcome.COMPLETE,
            "text": value["choices"][0]["message"]["content"],
            "usage_tokens": value["usage"]["total_tokens"],
        }
    pieces: list[str] = []
    usage_tokens = 0
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    for event in events:
        if event == "[DONE]":
            continue
        value = json.loads(event)
        if "error" in value:
            return {"got": CallOutcome.BROKEN, "text": "".join(pieces)}
        pieces.extend(choice["delta"].get("content", "") for choice in value["choices"])
        usage_tokens = value["usage"]["total_tokens"] if value.get("usage") else usage_tokens
    outcome = CallOutcome.COMPLETE if events and events[-1] == "[DONE]" else CallOutcome.LOST
    return {"got": outcome, "text": "".join(pieces), "usage_tokens": usage_tokens}
