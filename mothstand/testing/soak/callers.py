"""Callers of a soak: kept connections, tries with an id each, streams that are taken up again."""

from __future__ import annotations

import json
import time
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import h11

from ..gateway_fleet import HOST, KEY
from .checks import EVENT, event_data
from .records import PROMISES, Attempt, Kind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from .records import SoakLog

_DEADLINE_S = 4.0
_MAX_TRIES = 4
_CONNECT_TIMEOUT_S = 1.0
_OK = 200

_MAX_BODY_BYTES = 900_000

#: Time for which a connection is watched after a complete answer, now and then.
_WATCH_S = 0.02


@dataclass(slots=True)
class _Connection:
    """A connection to an instance that is used again."""

    stream: SocketStream
    protocol: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    async def aclose(self) -> None:
        with suppress(OSError, anyio.BrokenResourceError):
            await self.stream.aclose()


class Callers:
    """Callers that send requests of all kinds to instances chosen at random.

    Parameters
    ----------
    addresses
        Returns ``IP:PORT`` of the instances that take requests, by name.
    leaving_share
        Share of the tries whose caller leaves before the answer is complete.
    """

    def __init__(
        self,
        addresses: Callable[[], dict[str, str]],
        log: SoakLog,
        rng: random.Random,
        leaving_share: float,
    ) -> None:
        self._addresses = addresses
        self._log = log
        self._rng = rng
        self._leaving_share = leaving_share
        self._idle: defaultdict[str, list[_Connection]] = defaultdict(list)
        self._count = 0

    async def run(self, requests: int, per_s: float) -> None:
        """Send requests at a rate, and wait for their ends."""
        async with anyio.create_task_group() as tasks:
            for _ in range(requests):
                tasks.start_soon(self._request, self._rng.choice(list(Kind)))
                await anyio.sleep(self._rng.expovariate(per_s))
        for connections in self._idle.values():
            for connection in connections:
                await connection.aclose()

    async def _request(self, kind: Kind) -> None:
        """Send a request until it is served, its tries are used up, or it must not be repeated."""
        self._count += 1
        subject = f"s{self._count:05}"
        resumes = ""
        after_event = 0
        deadline_s = time.monotonic() + _DEADLINE_S
        for number in range(_MAX_TRIES):
            left_s = deadline_s - time.monotonic()
            addresses = self._addresses()
            if left_s < 0.1 or not addresses:
                return
            name = self._rng.choice(sorted(addresses))
            request_id = f"{subject}-{0 if kind is Kind.KEPT_ID else number}"
            attempt = Attempt(request_id, kind, subject, name, time.monotonic(), after_event)
            if previous := self._log.attempts.get(request_id):
                attempt.protocol_error = previous.protocol_error
            self._log.attempts[attempt.request_id] = attempt
            with anyio.move_on_after(left_s) as scope:
                await self._try(attempt, addresses[name], resumes, left_s)
            attempt.has_left = attempt.has_left or scope.cancelled_caught
            events = [int(m[1]) for m in EVENT.finditer(attempt.body)] if kind.is_stream else []
            if attempt.status == _OK and events and kind is Kind.RESUMABLE:
                resumes = resumes or attempt.request_id
                after_event = max(after_event, events[-1])
                self._note_versions(attempt)
            if attempt.has_left or (attempt.is_complete and attempt.status == _OK):
                return
            if not kind.may_run_twice and attempt.status not in PROMISES:
                return
            await anyio.sleep(self._rng.uniform(0.0, 0.3))

    def _note_versions(self, attempt: Attempt) -> None:
        for match in EVENT.finditer(attempt.body):
            self._log.versions[attempt.subject].append(event_data(match[2]).get("version", ""))

    async def _try(self, attempt: Attempt, address: str, resumes: str, left_s: float) -> None:
        connection = await self._connect(address)
        if connection is None:
            return
        is_kept = False
        try:
            with anyio.CancelScope() as scope:
                if self._rng.random() < self._leaving_share:
                    scope.deadline = anyio.current_time() + self._rng.uniform(0.0, 0.3)
                for number, piece in enumerate(self._encode(connection, attempt, resumes, left_s)):
                    if number:
                        await anyio.sleep(self._rng.choice((0.0, self._rng.uniform(0.0, 0.1))))
                    await connection.stream.send(piece)
                is_kept = await self._receive(connection, attempt)
            attempt.has_left = scope.cancelled_caught
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            pass
        except h11.RemoteProtocolError as error:
            attempt.protocol_error = repr(error)
        finally:
            with anyio.CancelScope(shield=True):
                if is_kept:
                    self._idle[address].append(connection)
                else:
                    await connection.aclose()

    async def _connect(self, address: str) -> _Connection | None:
        if self._idle[address] and self._rng.random() < 0.8:
            return self._idle[address].pop(0)
        host, _, port = address.rpartition(":")
        with suppress(OSError), anyio.move_on_after(_CONNECT_TIMEOUT_S):
            return _Connection(await anyio.connect_tcp(host, int(port)))
        return None

    def _encode(
        self, connection: _Connection, attempt: Attempt, resumes: str, left_s: float
    ) -> list[bytes]:
        """Return the pieces of a request, which are sent with pauses between them."""
        fill = "x" * (self._rng.randrange(_MAX_BODY_BYTES) if self._rng.random() < 0.05 else 0)
        body = json.dumps({"subject": attempt.subject, "fill": fill}).encode()
        is_split = self._rng.random() < 0.3
        is_chunked = self._rng.random() < 0.3
        framing = ("Transfer-Encoding", "chunked")
        if not is_chunked:
            framing = ("Content-Length", str(len(body)))
        headers = [
            ("Host", HOST),
            ("X-Request-Id", attempt.request_id),
            ("X-Api-Key", KEY),
            ("X-Deadline-Milliseconds", str(int(left_s * 1000))),
            framing,
        ]
        if attempt.kind.is_stream:
            headers += [
                ("X-Model", "m"),
                ("X-Token-Counts", "20,40"),
                ("X-Prompt-Prefix", f"aa:10,{self._count:x}:10"),
            ]
        if attempt.after_event:
            headers += [("Last-Event-Id", str(attempt.after_event)), ("Resumes", resumes)]
        request = h11.Request(method="POST", target=attempt.kind.value, headers=headers)
        send = connection.protocol.send
        cut = self._rng.randrange(len(body)) if is_split or is_chunked else 0
        pieces = [send(request) or b""]
        pieces += [send(h11.Data(data=part)) or b"" for part in (body[:cut], body[cut:]) if part]
        pieces.append(send(h11.EndOfMessage()) or b"")
        return pieces if is_split else [b"".join(pieces)]

    async def _receive(self, connection: _Connection, attempt: Attempt) -> bool:
        """Receive an answer; return whether the connection can be used again."""
        protocol = connection.protocol
        while True:
            received = protocol.next_event()
            if received is h11.NEED_DATA:
                protocol.receive_data(await connection.stream.receive())
            elif isinstance(received, h11.Response):
                headers = [(k.decode().lower(), v.decode()) for k, v in received.headers]
                attempt.status = received.status_code
                attempt.request_ids = tuple(v for k, v in headers if k == "x-request-id")
                attempt.signature = dict(headers).get("x-server-signature", "")
            elif isinstance(received, h11.Data):
                attempt.body += bytes(received.data)
            elif isinstance(received, h11.EndOfMessage):
                attempt.is_complete = True
                break
            else:
                return False
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        if protocol.trailing_data[0]:
            attempt.protocol_error = f"bytes behind the answer: {protocol.trailing_data[0][:80]!r}"
            return False
        return await self._is_silent(connection, attempt)

    async def _is_silent(self, connection: _Connection, attempt: Attempt) -> bool:
        """Return whether nothing more comes on a connection that waits for no answer."""
        data = b""
        with anyio.move_on_after(_WATCH_S):
            with suppress(anyio.EndOfStream):
                data = await connection.stream.receive()
            if data:
                attempt.protocol_error = f"bytes that nobody asked for: {data[:80]!r}"
            return False
        return True
