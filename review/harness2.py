"""Stand-ins, settings and clients for the scripts of the second review.

Only the standard library is used. The store and sound runners live in the script's process; the
project's instances are started by the command of ``deploy/system.toml`` with settings filled in
from ``deploy/gateway.ini``. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Bounds of the small deployment in the users' pages.
CONFIGURATION_MS = 2000
GRACE_S = 8.0


_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, and that no outgoing connection is given meanwhile."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            if port not in _used_ports:
                sock.bind(("127.0.0.1", port))
                _used_ports.add(port)
                return port


def address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


# --- settings -----------------------------------------------------------------------------------


def _look_up(names: list[dict[str, Any]], path: str) -> Any:
    for fields in reversed(names):
        value: Any = fields
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template: str, names: list[dict[str, Any]]) -> str:
    """Fill in a template as the users' page on the deploy file tells."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

    def fill_section(match: re.Match[str]) -> str:
        value, inner = _look_up(names, match[1]), match[2]
        if not value:
            return ""
        if not isinstance(value, (dict, list)):
            return render(inner, names)
        items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        filled = []
        for index, (key, item) in enumerate(items):
            text = inner.replace("{{@}}", str(key)).replace("{{.}}", str(item))
            text = text.replace("{{,}}", "," if index < len(items) - 1 else "")
            filled.append(render(text, [*names, item] if isinstance(item, dict) else names))
        return "".join(filled)

    def fill(match: re.Match[str]) -> str:
        value = _look_up(names, match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", fill, section.sub(fill_section, template))


def settings_of(name: str, zone: str, store: str, seeds: list[str]) -> dict[str, Any]:
    """Return the fields of a settings file on a machine of the small deployment."""
    ports = sorted(free_port() for _ in range(2))
    return {
        "node": name,
        "role": "gateway",
        "ip_address": "127.0.0.1",
        "zone": zone,
        "internal_ports": ports,
        "seeds": seeds,
        "zones": {"kushiro-hall": "doto", "obihiro-hall": "doto", "kitami-hall": "doto"},
        "listen": {"front": address(), "ready": address(), "control": address()},
        "limits": {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": 300,
            "file_descriptors": 4200,
            "link_mbps": 1000.0,
        },
        "bounds": {
            "grace_s": GRACE_S,
            "configuration_ms": CONFIGURATION_MS,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_burst": 52,
        },
        "platform": {"address": store},
    }


# --- the store ----------------------------------------------------------------------------------


@dataclass
class Store:
    """The platform's store: keyed topics with conditional appends, in memory."""

    address: str = field(default_factory=address)
    _topics: dict[tuple[str, int], list[bytes]] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    on_call: Callable[[str, str], Awaitable[bool]] | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.partition(":")
        await asyncio.start_server(self._serve, host, int(port), limit=4_000_000)

    def put(self, topic: str, key: str, value: dict[str, Any] | None) -> None:
        """Write a record as the operator and runners do."""
        content = b"" if value is None else json.dumps(value).encode()
        self._add(topic, 0, [bytes([len(key)]) + key.encode() + content])

    def _add(self, topic: str, part: int, records: list[bytes]) -> int:
        stream = self._topics.setdefault((topic, part), [])
        stream.extend(records)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(stream)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                head = await read_head(reader)
                body = await reader.readexactly(int(head.fields.get("content-length", "0")))
                path, _, query = head.target.partition("?")
                words = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                if self.on_call is not None and not await self.on_call(path, words["topic"]):
                    break
                await asyncio.sleep(0.004)
                status, kind, answer = await self._answer(path, words, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, words: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        topic, part = words["topic"].replace("%2F", "/"), int(words.get("part", 0))
        stream = self._topics.setdefault((topic, part), [])
        if path == "/log-append":
            return self._append(topic, part, stream, words, body)
        if path == "/log-newest":
            newest: dict[str, tuple[int, bytes]] = {}
            for offset, record in enumerate(stream):
                key = record[1 : 1 + record[0]].decode()
                newest[key] = (offset, record[1 + record[0] :])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in newest.items()
                if value
            ]
            return _json(200, {"items": items, "has_more": False, "end": len(stream)})
        first = int(words["from"])
        until_s = time.monotonic() + int(words.get("wait_ms", 0)) / 1000
        while len(stream) <= first and time.monotonic() < until_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), until_s - time.monotonic())
        most = int(words.get("maximum_kilobytes", 1024)) * 1024
        answer = struct.pack(">QQ", len(stream), 0)
        for number, record in enumerate(stream[first:]):
            if number and len(answer) + len(record) > most:
                break
            answer += struct.pack(">I", len(record)) + record
        return 200, "application/octet-stream", answer

    def _append(
        self, topic: str, part: int, stream: list[bytes], words: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        if "at" in words and int(words["at"]) != len(stream):
            return _json(412, {"end": len(stream)})
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        end = self._add(topic, part, records)
        return _json(200, {"offset": end - len(records), "end": end})


def _json(status: int, value: dict[str, Any]) -> tuple[int, str, bytes]:
    return status, "application/json", json.dumps(value).encode()


# --- HTTP ---------------------------------------------------------------------------------------


@dataclass
class Head:
    """Head of a request or an answer."""

    method: str
    target: str
    fields: dict[str, str]
    raw: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.target)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    first = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Head(first[0], first[1], fields, raw)


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read the body of a request."""
    if "chunked" not in fields.get("transfer-encoding", ""):
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := await read_chunk_size(reader):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def read_chunk_size(reader: asyncio.StreamReader) -> int:
    """Read the line before a chunk; an end of the connection there is an error."""
    line = await reader.readuntil(b"\r\n")
    return int(line.split(b";")[0], 16)


# --- runners ------------------------------------------------------------------------------------


@dataclass
class Runner:
    """A sound runner: it streams numbered events on streaming routes, else answers at once."""

    record: Record
    runner_id: str
    service: str
    zone: str = "kushiro-hall"
    work_s: float = 0.03
    events: int = 40
    pause_s: float = 0.03
    address: str = field(default_factory=address)
    on_request: Callable[..., Awaitable[bool]] | None = None
    state: str = "ready"
    version: str = "v1"
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    ran: list[str] = field(default_factory=list)
    connections: int = 0
    tells_born: bool = False
    _sequence: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, store: Store) -> None:
        """Listen and register."""
        await self.listen()
        self.register(store)

    async def listen(self) -> None:
        """Start a process of this runner, which holds nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=8_000_000)
        self.record("runner up", runner=self.runner_id, version=self.version)

    @property
    def is_up(self) -> bool:
        """Whether a process of this runner listens."""
        return self._server is not None and self._server.is_serving()

    async def crash(self) -> None:
        """End the process: nothing listens, and its connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            reset_and_close(writer)
        self._writers.clear()
        self.record("runner down", runner=self.runner_id, version=self.version)

    def register(self, store: Store) -> None:
        """Write the entry of service discovery."""
        self._sequence += 1
        store.put("keyed.servers", self.runner_id, self.entry())

    def entry(self) -> dict[str, Any]:
        """Return the entry of service discovery."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }
        return {**entry, "born": self.born} if self.tells_born else entry

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.fields)
                if not await self._handle(head, body, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self,
        head: Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if head.target == "/report":
            answer = json.dumps({"born": self.born, "running": 0, "waiting": 0}).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                + f"Content-Length: {len(answer)}\r\n\r\n".encode()
                + answer
            )
            return True
        request_id = head.fields.get("x-request-id", "")
        if head.fields.get("x-expected-instance") not in (None, self.runner_id):
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request_id}\r\n"
                "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self.ran.append(request_id)
        self.record("run", runner=self.runner_id, request=request_id, target=head.target)
        if self.on_request is not None:
            handled = await self.on_request(self, head, body, reader, writer)
            if handled is not None:
                return handled
        if "x-token-counts" in head.fields:
            return await self.stream(head, writer)
        await asyncio.sleep(self.work_s)
        answer = f"{self.runner_id} {request_id} ".encode().ljust(800, b".")
        writer.write(self.head_of(request_id, f"Content-Length: {len(answer)}") + answer)
        await writer.drain()
        return True

    def head_of(self, request_id: str, *more: str, status: str = "200 OK") -> bytes:
        """Return the head of an answer."""
        lines = (
            f"HTTP/1.1 {status}",
            f"X-Request-Id: {request_id}",
            f"X-Server-Signature: {self.runner_id}.{request_id}",
            *more,
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def stream(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        """Send the events after the last one that the client has."""
        request_id = head.fields["x-request-id"]
        await asyncio.sleep(self.work_s)
        writer.write(
            self.head_of(
                request_id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
            )
        )
        first, version = int(head.fields.get("last-event-id") or 0) + 1, self.version
        for number in range(first, self.events + 1):
            data = f"{self.runner_id} {version} {request_id} {number}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def reset_and_close(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# --- the record, the instances, the clients -----------------------------------------------------


class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, path: Path) -> None:
        self._began_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now_s(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._began_s

    def __call__(self, what: str, /, **values: object) -> None:
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{self.now_s:8.3f} {what} {text}\n")
        self._file.flush()


@dataclass
class Instance:
    """One process of the project's gateway."""

    name: str
    settings: dict[str, Any]
    path: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        """Address for clients."""
        return str(self.settings["listen"]["front"])

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self.process is not None
        return self.process.pid

    async def start(self) -> None:
        """Start the process as the deploy file tells."""
        deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        run = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)
        assert run is not None
        program, *words = run[1].replace("/etc/mothstand/boot.toml", str(self.path)).split()
        program = sys.executable if program == "python3" else program
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MOTHSTAND_SETTINGS": str(self.path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                host, _, port = self.settings["listen"]["ready"].partition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head.status == 200
        return False

    def memory_bytes(self, field_name: str = "VmRSS") -> int:
        """Return a figure of the process's memory."""
        for line in Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8").splitlines():
            if line.startswith(field_name + ":"):
                return int(line.split()[1]) * 1024
        return 0


def default_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration like that of the small deployment."""
    common = {"host": HOST, "public": False, "priority": 1}
    config: dict[str, Any] = {
        "version": version,
        "routes": [
            {
                **common,
                "name": "file-summary",
                "path_prefix": "/summary/",
                "kind": "streaming",
                "timeout_ms": 5000,
                "goal_ms": 500,
                "service": "llm",
                "attempts": 2,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 200,
            },
            {
                **common,
                "name": "clerk-ask",
                "path_prefix": "/ask/",
                "kind": "streaming",
                "timeout_ms": 15000,
                "goal_ms": 300,
                "service": "llm",
                "attempts": 1,
                "sticky": True,
                "resumable": False,
                "gap_target_ms": 200,
                "priority": 0,
            },
            {
                **common,
                "name": "pass-issue",
                "path_prefix": "/issue/",
                "kind": "non_idempotent",
                "timeout_ms": 1500,
                "goal_ms": 200,
                "service": "app",
                "attempts": 1,
                "priority": 2,
            },
            {
                **common,
                "name": "pass-lookup",
                "path_prefix": "/lookup/",
                "kind": "idempotent",
                "timeout_ms": 1500,
                "goal_ms": 200,
                "service": "app",
                "attempts": 2,
                "priority": 2,
            },
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/health",
                "connection_limit": 360,
                "engine": {"slots": 64, "stride": 4},
            },
            {"name": "app", "health_path": "/health", "connection_limit": 96},
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "keys": [KEY], "priority": 1, "prepaid": 50_000_000}],
    }
    config.update(changes)
    return config


class Fleet:
    """Store, runners and instances of a script."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.instances: list[Instance] = []
        self._numbers = 0

    async def add_instance(self, zone: str = "kushiro-hall") -> Instance:
        """Start one instance and wait until it is ready."""
        name = f"front-{zone}-{len(self.instances) + 1}"
        seeds = [i.settings["listen"]["control"] for i in self.instances[:3]]
        settings = settings_of(name, zone, self.store.address, seeds)
        template = (ROOT / "deploy/gateway.ini").read_text(encoding="utf-8")
        path = self.work / f"{name}.ini"
        path.write_text(render(template, [settings]), encoding="utf-8")
        instance = Instance(name, settings, path, self.work / f"{name}.log")
        self.instances.append(instance)
        await instance.start()
        return instance

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all instances are ready; give the script up if they are not."""
        until_s = time.monotonic() + timeout_s
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > until_s:
                    self.record("not ready", instance=instance.name)
                    raise CannotRunError(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("ready", instances=len(self.instances))

    def request_id(self) -> str:
        """Return an id that no request had."""
        self._numbers += 1
        return f"{self._numbers:04x}{os.urandom(4).hex()}"

    async def stop(self) -> None:
        """Kill the processes that still run."""
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.work, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not run."""


@dataclass
class Answer:
    """What a client got for one request."""

    request_id: str
    sent_s: float
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    is_closed: bool = False
    took_s: float = 0.0
    first_s: float = 0.0
    error: str = ""


def request_bytes(
    request_id: str,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 5000,
    tokens: str = "",
    parts: str = "",
    more: tuple[str, ...] = (),
    key: str = KEY,
) -> bytes:
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Milliseconds: {deadline_ms}",
        f"X-Api-Key: {key}",
    ]
    if tokens:
        shared = parts or f"5c1e07a2:100,{request_id}:{int(tokens.split(',')[0]) - 100}"
        lines += ["X-Model: m", f"X-Token-Counts: {tokens}", f"X-Prompt-Prefix: {shared}"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    elif method == "POST":
        lines.append("Content-Length: 0")
    return ("\r\n".join([*lines, *more]) + "\r\n\r\n").encode() + body


async def read_answer(
    reader: asyncio.StreamReader,
    answer: Answer,
    began_s: float,
    on_piece: Callable[[bytes], bool] = lambda _: True,
) -> None:
    """Read an answer to its end into `answer`."""
    head = await read_head(reader)
    answer.status, answer.fields = head.status, head.fields
    if "chunked" in head.fields.get("transfer-encoding", ""):
        while size := await read_chunk_size(reader):
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            answer.first_s = answer.first_s or time.monotonic() - began_s
            answer.body += piece[:4096]
            if not on_piece(piece):
                return
        await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(head.fields.get("content-length", "0")))
    answer.is_complete = True


async def ask(
    fleet: Fleet,
    instance: Instance,
    data: bytes,
    request_id: str,
    *,
    give_up_s: float,
    gap_s: float = 0.0,
    on_piece: Callable[[bytes], bool] = lambda _: True,
    what: str = "",
) -> Answer:
    """Send one request on a new connection and read its answer, at most for `give_up_s`.

    With `gap_s`, a stream without an event for so long is abandoned, as the users' clients do.
    """
    answer = Answer(request_id, fleet.record.now_s)
    began_s = time.monotonic()
    writer: asyncio.StreamWriter | None = None
    fleet.record("sent", request=request_id, to=instance.name, kind=what)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + give_up_s

    def note_piece(piece: bytes) -> bool:
        if b"id:" in piece and gap_s:
            limit.reschedule(min(end_s, loop.time() + gap_s))
        return on_piece(piece)

    try:
        async with asyncio.timeout_at(min(end_s, loop.time() + (gap_s or give_up_s))) as limit:
            host, _, port = instance.front.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=8_000_000)
            writer.write(data)
            await writer.drain()
            await read_answer(reader, answer, began_s, note_piece)
    except TimeoutError:
        answer.error = "gave up"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error, answer.is_closed = repr(error)[:80], True
    finally:
        if writer is not None:
            writer.close()
    answer.took_s = time.monotonic() - began_s
    fleet.record(
        "answered",
        request=request_id,
        status=answer.status,
        complete=answer.is_complete,
        took=f"{answer.took_s:.3f}",
        error=answer.error or "-",
    )
    return answer


def main(folder: Path, play: Callable[[Fleet], Awaitable[str]]) -> None:
    """Run a case: 1 if it returns a text that says what was broken, else 0."""

    async def run() -> int:
        fleet = Fleet(folder)
        task = asyncio.current_task()
        assert task is not None
        # The processes end with the script, also if that is stopped.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                await fleet.store.start()
                broken = await play(fleet)
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            fleet.record("could not run", error=repr(error))
            print("could not run:", repr(error))
            return NOT_RUN
        finally:
            await fleet.stop()
        fleet.record("verdict", broken=broken or "no")
        print("broken: " + broken if broken else "held")
        return BROKEN if broken else HELD

    code = NOT_RUN
    with asyncio.Runner() as runner:
        code = runner.run(run())
        sys.stdout.flush()
        # Connections of stand-ins that are still open need no farewell.
        os._exit(code)
