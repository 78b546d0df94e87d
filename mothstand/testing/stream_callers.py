"""Callers of a fleet of real gateway processes that take up their streams again after a break.

As the users' platform asks of callers, each further try of a stream has a request id of its own,
goes to another instance, and names the last event received and the try that brought the first one.
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpx

from .gateway_fleet import PREFIX, request_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .fleet import FleetProcess

_EVENT = re.compile(r"id: (\d+)\ndata: (\S+)\n\n")

#: Seconds until a caller tries again if the answer names none.
_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class CallerStream:
    """A stream over all tries of its caller.

    Parameters
    ----------
    resumed_tries, continued_tries
        Tries that named an event, and those of them that brought another one.
    """

    request_id: str
    numbers: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    resumes: str = ""
    tries: int = 0
    resumed_tries: int = 0
    continued_tries: int = 0
    refusals: list[int] = field(default_factory=list)
    is_complete: bool = False

    @property
    def is_joined(self) -> bool:
        """Whether it holds events of more than one version."""
        return len(set(self.versions)) > 1

    @property
    def is_resumed(self) -> bool:
        """Whether the caller tried to take it up again."""
        return self.resumed_tries > 0

    @property
    def has_gone_on(self) -> bool:
        """Whether a resumption brought another event, or only the end was missing."""
        return self.continued_tries > 0 or self.is_complete


@dataclass(slots=True)
class StreamCallers:
    """Callers that begin streams at each instance in turn.

    Parameters
    ----------
    max_stream_s
        Time after which a caller gives up.
    """

    instances: list[FleetProcess]
    max_stream_s: float = 6.0
    streams: list[CallerStream] = field(default_factory=list)
    _dead: set[str] = field(default_factory=set)

    def run(
        self,
        count: int,
        interval_s: float,
        disturb: Callable[[], Awaitable[None]],
    ) -> None:
        """Begin `count` streams, `interval_s` apart, disturb them, and wait for their ends."""
        anyio.run(self._run, count, interval_s, disturb)

    def kill(self, instance: FleetProcess) -> None:
        """Kill an instance; callers do not use it again."""
        self._dead.add(instance.name)
        instance.kill()

    def revive(self, instance: FleetProcess) -> None:
        """Use an instance again, which has been started after a kill."""
        self.instances[:] = [instance if i.name == instance.name else i for i in self.instances]
        self._dead.discard(instance.name)

    @property
    def joined(self) -> list[CallerStream]:
        """Streams that hold events of several versions."""
        return [stream for stream in self.streams if stream.is_joined]

    @property
    def resumed(self) -> list[CallerStream]:
        """Streams that callers tried to take up again."""
        return [stream for stream in self.streams if stream.is_resumed]

    @property
    def continued_share(self) -> float:
        """Share of the resumed streams that went on."""
        return sum(stream.has_gone_on for stream in self.resumed) / len(self.resumed)

    async def _run(
        self, count: int, interval_s: float, disturb: Callable[[], Awaitable[None]]
    ) -> None:
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        async with (
            httpx.AsyncClient(timeout=self.max_stream_s, limits=limits) as http,
            anyio.create_task_group() as tasks,
        ):
            for number in range(count):
                stream = CallerStream(f"s{number}")
                self.streams.append(stream)
                tasks.start_soon(self._follow, http, stream, number)
                await anyio.sleep(interval_s)
            await disturb()

    async def _follow(self, http: httpx.AsyncClient, stream: CallerStream, number: int) -> None:
        """Try until the stream is complete or the caller gives up."""
        ends_s = time.monotonic() + self.max_stream_s
        while not stream.is_complete and time.monotonic() < ends_s:
            alive = [i for i in self.instances if i.name not in self._dead]
            if not alive:
                await anyio.sleep(_RETRY_AFTER_S)
                continue
            instance = alive[(number + stream.tries) % len(alive)]
            stream.tries += 1
            events_before = len(stream.numbers)
            stream.resumed_tries += bool(events_before)
            retry_after_s = await self._try(http, stream, instance)
            if events_before:
                stream.continued_tries += len(stream.numbers) > events_before
            await anyio.sleep(retry_after_s)

    async def _try(
        self, http: httpx.AsyncClient, stream: CallerStream, instance: FleetProcess
    ) -> float:
        """Send one try; return the seconds to wait before the next one."""
        request_id = f"{stream.request_id}-{stream.tries}"
        headers = request_headers(request_id)
        if stream.numbers:
            headers |= {"Last-Event-Id": str(stream.numbers[-1]), "Resumes": stream.resumes}
        text = ""
        try:
            async with http.stream(
                "POST", instance.url + PREFIX, headers=headers, content=b"body"
            ) as answer:
                if answer.status_code != httpx.codes.OK:
                    stream.refusals.append(answer.status_code)
                    return float(answer.headers.get("Retry-After", _RETRY_AFTER_S))
                async for piece in answer.aiter_text():
                    text += piece
                    text = self._note_events(stream, text, request_id)
            stream.is_complete = True
        except httpx.HTTPError:
            return _RETRY_AFTER_S
        return 0.0

    def _note_events(self, stream: CallerStream, text: str, request_id: str) -> str:
        """Record the events in a text; return what follows the last one."""
        end = 0
        for event in _EVENT.finditer(text):
            stream.resumes = stream.resumes or request_id
            stream.numbers.append(int(event[1]))
            stream.versions.append(event[2])
            end = event.end()
        return text[end:]
