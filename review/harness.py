"""Stand-ins and process control for the scripts of this review; standard library only.

The store, the servers and the clients run in the script's own process. Gateway instances run as
separate processes with the command of ``deploy/system.toml``, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    import signal
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"

#: Bounds of the small deployments, as `DEPLOY.md` names them.
BOUNDS = {
    "retry_budget_ratio": "0.2",
    "retry_budget_burst": "52",
    "budget_window_s": "10",
    "grace_s": "8",
    "configuration_ms": "2000",
}

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

#: Last log lines of each instance that are kept in the record.
MAX_LOG_LINES = 100

Headers = list[tuple[str, str]]


class Record:
    """Log of what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f}  {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def header(headers: Headers, name: str) -> str:
    """Return the value of a header, or an empty text."""
    return next((v for k, v in headers if k.lower() == name.lower()), "")


@dataclass(slots=True)
class Message:
    """Request or answer as read from a socket.

    Parameters
    ----------
    first_line
        Request line or status line.
    is_complete
        Whether the body was read to its end.
    """

    first_line: str
    headers: Headers
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return first line and headers; raise `asyncio.IncompleteReadError` at the end."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = [(k, v.strip()) for k, _, v in (line.partition(":") for line in lines[1:] if line)]
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message by its framing."""
    if "chunked" in header(message.headers, "Transfer-Encoding").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            message.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return
    message.body = await reader.readexactly(int(header(message.headers, "Content-Length") or 0))


def encode(first_line: str, headers: Headers, body: bytes) -> bytes:
    """Return a message with its length."""
    lines = [first_line, *(f"{k}: {v}" for k, v in headers), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass(slots=True)
class _Topic:
    """Records of one topic, as raw contents behind their length."""

    records: list[bytes] = field(default_factory=list)
    has_grown: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """Stand-in of the platform's metadata store, for keyed topics with one partition."""

    def __init__(self, record: Record) -> None:
        #: Names of the callers that are cut off: they get no answers.
        self.cut_off: set[str] = set()
        self._record = record
        self._topics: dict[str, _Topic] = {}

    async def start(self) -> None:
        """Prepare; each caller gets an address of its own by `listen`."""

    async def listen(self, caller: str) -> str:
        """Listen on a free port for one caller, and return the address."""
        port = free_port()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(caller, reader, writer)

        await asyncio.start_server(serve, "127.0.0.1", port, limit=4_000_000)
        return f"127.0.0.1:{port}"

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or a server does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._record.write(f"store: {topic} {key} = {data.decode()}")
        self._append(self._topic(topic), [bytes([len(key)]) + key.encode() + data])

    def contents(self, topic: str) -> list[tuple[str, bytes]]:
        """Return key and value of all records of a topic."""
        return [_split(content) for content in self._topic(topic).records]

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, topic: _Topic, contents: list[bytes]) -> None:
        topic.records += contents
        event, topic.has_grown = topic.has_grown, asyncio.Event()
        event.set()

    async def _serve(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                if caller in self.cut_off:
                    await asyncio.Event().wait()
                method, target, _ = message.first_line.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, body = await self._call(method, url.path, query, message.body)
                if caller in self.cut_off:
                    await asyncio.Event().wait()
                writer.write(encode(f"HTTP/1.1 {status} X", [], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.close()

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self._topic(query["topic"])
        if (method, path) == ("POST", "/log-append"):
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            self._append(topic, _split_records(body))
            return 200, json.dumps({"offset": end, "end": len(topic.records)}).encode()
        if (method, path) == ("GET", "/log-read"):
            start = int(query["from"])
            if len(topic.records) <= start and "wait_ms" in query:
                with suppress(TimeoutError):
                    await asyncio.wait_for(topic.has_grown.wait(), int(query["wait_ms"]) / 1000)
            contents = topic.records[start:]
            packed = b"".join(struct.pack(">I", len(c)) + c for c in contents)
            return 200, struct.pack(">QQ", len(topic.records), 0) + packed
        if (method, path) == ("GET", "/log-newest"):
            newest = {}
            for offset, content in enumerate(topic.records):
                key, value = _split(content)
                encoded = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": encoded, "offset": offset}
            items = [item for item in newest.values() if item["value"]]
            page = {"items": items, "has_more": False, "end": len(topic.records)}
            return 200, json.dumps(page).encode()
        return 404, b""


def _split(content: bytes) -> tuple[str, bytes]:
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


def _split_records(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents


@dataclass(slots=True)
class Answer:
    """What a server does with a request that it runs or rejects.

    Parameters
    ----------
    status, headers, body
        The answer; the id of the request is added.
    late_extra
        Bytes that a faulty server sends on this connection at the point where the answer to the
        next request is expected; empty for none.
    """

    status: int
    headers: Headers
    body: bytes
    late_extra: bytes = b""


class Server:
    """Stand-in of one server (a runner) of the platform.

    Parameters
    ----------
    slots, queue
        Requests that run at once, and requests that may wait for a slot; others are rejected.
    work_s
        Time that a request takes.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        record: Record,
        *,
        zone: str = "hall-a",
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.045,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.address = ""
        self.runs: Counter[str] = Counter()
        self.seen: dict[str, Message] = {}
        self.answers = 0
        self.spoiled = 0
        #: Returns the bytes of a late extra answer for an answer that is being sent.
        self.late_extra: Callable[[Message, bytes], bytes] = lambda request, answer: b""
        self._record = record
        self._born_ms = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        await asyncio.start_server(self._serve, "127.0.0.1", port, limit=4_000_000)

    def entry(self, *, state: str = "ready", sequence: int = 1) -> dict[str, object]:
        """Return the entry under which the server registers itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "sequence": sequence,
            "cold_remaining_ms": 0,
            "born": self._born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        extra = b""
        try:
            while True:
                request = await read_head(reader)
                if extra:
                    # A late answer to an earlier request of this connection.
                    first_line = extra.split(b"\r\n", 1)[0].decode("latin-1")
                    request_id = header(request.headers, "X-Request-Id")
                    self._record.write(
                        f"{self.server_id}: late extra answer ({first_line}) sent where the answer "
                        f"to {request_id} is expected"
                    )
                    writer.write(extra)
                    extra = b""
                await read_body(reader, request)
                answer = await self.handle(request)
                request_id = header(request.headers, "X-Request-Id")
                headers = [("X-Request-Id", request_id), *answer.headers]
                data = encode(f"HTTP/1.1 {answer.status} X", headers, answer.body)
                self.answers += 1
                extra = self.late_extra(request, data)
                self.spoiled += bool(extra)
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.close()

    async def handle(self, request: Message) -> Answer:
        """Run or reject a request."""
        request_id = header(request.headers, "X-Request-Id")
        if request.first_line.startswith("GET /report"):
            body = json.dumps({"born": self._born_ms, "running": self._running}).encode()
            return Answer(200, [], body)
        if header(request.headers, "X-Expected-Instance") != self.server_id:
            self._record.write(f"{self.server_id}: 421 to {request_id}")
            return Answer(421, [("X-Instance-Id", self.server_id)], b"")
        if self._running >= self.slots and self._waiting >= self.queue:
            self._record.write(f"{self.server_id}: rejects {request_id}, full")
            return Answer(503, [("X-Not-Executed", "1")], b"")
        self._waiting += 1
        await self._slots.acquire()
        self._waiting -= 1
        self._running += 1
        try:
            self.runs[request_id] += 1
            self.seen[request_id] = request
            self._record.write(f"{self.server_id}: runs {request_id}: {request.first_line}")
            await asyncio.sleep(self.work_s)
            self._record.write(f"{self.server_id}: ends {request_id}, 200")
            signature = f"sig.{self.server_id}.{request_id}"
            return Answer(200, [("X-Server-Signature", signature)], b"done " + request_id.encode())
        finally:
            self._running -= 1
            self._slots.release()


@dataclass(slots=True)
class Gateway:
    """One gateway instance, a separate process."""

    name: str
    callers: str
    ready: str
    command: list[str]
    environment: dict[str, str]
    log_path: Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=self.environment, stdout=log, stderr=log
        )
        log.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        try:
            answer = await asyncio.wait_for(call(self.ready, "GET /readiness HTTP/1.1", []), 1.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the instance is ready."""
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready after 20 s")


class Fleet:
    """Store and gateway instances of one script."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.gateways: list[Gateway] = []
        self._folder = tempfile.TemporaryDirectory(prefix="mothstand-review-")

    async def start(self, count: int, *, zone: str = "hall-a") -> None:
        """Start instances with the deploy file's command and template, and wait for them."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        ports = [[free_port() for _ in range(5)] for _ in range(count)]
        seeds = ",".join(f"127.0.0.1:{own[2]}" for own in ports)
        for number, own in enumerate(ports, start=1):
            name = f"front-{zone}-{number}"
            callers, ready, peers, metrics, relay = (f"127.0.0.1:{port}" for port in own)
            fields = {
                "node": name,
                "zone": zone,
                "listen.front": callers,
                "listen.ready": ready,
                "listen.control": peers,
                "ip_address}}:{{internal_ports.0": metrics,
                "ip_address}}:{{internal_ports.1": relay,
                "platform.address": await self.store.listen(name),
                "seeds": seeds,
                **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            }
            path = Path(self._folder.name) / f"{name}.ini"
            path.write_text(_fill(template, fields, zone), encoding="utf-8")
            words = role["run"].replace("/etc/mothstand/boot.toml", str(path)).split(" ")
            environment = {
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/tmp"),
                "PYTHONPATH": str(ROOT / "target/deps"),
            }
            log_path = Path(self._folder.name) / f"{name}.log"
            self.gateways.append(Gateway(name, callers, ready, words, environment, log_path))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def stop(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for gateway in self.gateways:
            lines = gateway.log_path.read_text(errors="replace").splitlines()
            for line in lines[-MAX_LOG_LINES:]:
                self.record.write(f"log of {gateway.name}: {line}")
        self._folder.cleanup()


def _fill(template: str, fields: dict[str, str], zone: str) -> str:
    """Return the settings template filled in as `DEPLOY.md` tells."""
    template = re.sub(
        r"\{\{#zones\}\}.*\{\{/zones\}\}", lambda _: f"{zone}=doto", template, flags=re.DOTALL
    )

    def section(match: re.Match[str]) -> str:
        return match[2] if match[1] in fields else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.DOTALL)
    for name, value in fields.items():
        template = template.replace("{{" + name + "}}", value)
    return template


async def call(address: str, first_line: str, headers: Headers, body: bytes = b"") -> Message:
    """Send one request on a new connection and return its answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=4_000_000)
    try:
        writer.write(encode(first_line, [("Host", HOST), *headers], body))
        answer = await read_head(reader)
        try:
            await read_body(reader, answer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            answer.is_complete = False
        return answer
    finally:
        writer.close()


def run_script(
    folder: Path, check: Callable[[Record, bool], Awaitable[bool]], *, has_trouble: bool
) -> None:
    """Run a check and exit with its result.

    Parameters
    ----------
    has_trouble
        Whether the disruption is played.
    check
        Gets the record and whether the disruption is played; returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")

    async def run() -> bool:
        async with asyncio.timeout(110):
            return await check(record, has_trouble)

    try:
        held = asyncio.run(run())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
