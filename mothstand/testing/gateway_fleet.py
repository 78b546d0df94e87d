"""Starts fleets of real gateway processes, with stand-ins for the users' platform."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import httpx

from .fleet import FleetProcess, free_port, wait_until
from .partitioned_gateway import Partition
from .registrations import registration

if TYPE_CHECKING:
    from pathlib import Path

    from .partitioned_gateway import PartitionMode

KEY = "key-of-seniors"
HOST = "api.example"
PREFIX = "/ask/"

#: Time within which a version has to be in force.
CONFIGURATION_S = 2.0

#: Path of the route whose requests may run only once.
ONCE_PREFIX = "/once/"
SERVICE = "llm"

#: Start of engines, as they report it.
_BORN_MS = 1_796_000_000_000


@dataclass(slots=True)
class GatewayFleet:
    """Processes that share one folder of settings and logs."""

    folder: Path
    processes: dict[str, FleetProcess] = field(default_factory=dict)
    engines: list[FleetProcess] = field(default_factory=list)
    _version: int = 0
    _metrics_addresses: dict[str, str] = field(default_factory=dict)
    _ready_urls: dict[str, str] = field(default_factory=dict)
    _commands: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def __enter__(self) -> GatewayFleet:
        """Start the store and return the fleet."""
        self._start_standin("store", "users_store")
        return self

    def __exit__(self, *_: object) -> None:
        """Kill the processes that still run."""
        for process in self.processes.values():
            if process.process.poll() is None:
                process.kill()

    @property
    def store(self) -> FleetProcess:
        """The stand-in for the store."""
        return self.processes["store"]

    @property
    def arrivals_path(self) -> Path:
        """File in which engines record each request that reaches them."""
        return self.folder / "arrivals.jsonl"

    def start_engine(
        self,
        name: str,
        *,
        event_s: float = 0.01,
        crash_body: str = "",
        crash_part: str = "",
        rate_limit: str = "",
        address: str = "",
        data_centre: str = "sto-a",
        service: str = SERVICE,
        version: str = "v1",
        event_count: int = 5,
        born_ms: int = _BORN_MS,
        padding_bytes: int = 0,
        is_registered: bool = True,
    ) -> FleetProcess:
        """Start and register an engine that sends an event every `event_s` seconds.

        Parameters
        ----------
        crash_body
            Body of requests that crash the engine.
        crash_part
            Id of a prompt part that crashes the engine.
        rate_limit
            Requests a second that it names as its limit; empty for none.
        address
            ``IP:PORT``; an unused port if empty.
        version
            Version of its software, which is also the data of its events.
        event_count
            Events of a stream.
        born_ms
            Unix time of its start, as it says.
        padding_bytes
            Bytes that each event has more.
        is_registered
            Whether the store gets to know of it; else an earlier registration of its id remains.
        """
        options = (
            f"--upstream-id={name}",
            f"--event-s={event_s}",
            f"--crash-body={crash_body}",
            f"--crash-part={crash_part}",
            f"--rate-limit='{rate_limit}'",
            f"--arrivals={self.arrivals_path}",
            f"--version={version}",
            f"--event-count={event_count}",
            f"--born-ms={born_ms}",
            f"--padding-bytes={padding_bytes}",
        )
        engine = self._start_standin(name, "users_engine", *options, address=address)
        if is_registered:
            entry = registration(
                service, engine.address, data_centre=data_centre, version=version, born_ms=born_ms
            )
            self.put("keyed.servers", name, entry)
        self.engines.append(engine)
        return engine

    def start_instance(
        self,
        name: str,
        *,
        grace_s: float = 8.0,
        regions: str = "",
        data_centre: str = "sto-a",
        can_be_partitioned: bool = False,
        shares_load: bool = False,
        max_descriptors: int = 0,
    ) -> FleetProcess:
        """Start a gateway instance and wait until it is ready.

        Parameters
        ----------
        max_descriptors
            Limit on the open files of the process; 0 to leave it as it is.
        shares_load
            Whether all parts of load sharing are switched on, for fleets of two and more.
        can_be_partitioned
            Whether `partition` can cut its path to engines.
        """
        ports = [free_port() for _ in range(5)]
        callers, ready, peers, metrics, relay = (f"127.0.0.1:{port}" for port in ports)
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[instance]\nname = {name}\ndata_centre = {data_centre}\n"
            f"[listen]\ncallers = {callers}\nready = {ready}\npeers = {peers}\n"
            f"metrics = {metrics}\nrelay = {relay}\n[store]\naddress = {self.store.address}\n"
            f"[timing]\ngrace_s = {grace_s}\nconfiguration_ms = {CONFIGURATION_S * 1000}\n"
            f"[regions]\ndata_centres = {regions}\n"
            f"[load_sharing]\nmin_instances = {2 if shares_load else 0}\n"
            f"redirects = {shares_load}\nprefill_schedule = {shares_load}\n",
            encoding="utf-8",
        )
        self._metrics_addresses[name] = metrics
        command: tuple[str, ...] = (sys.executable, "-m", "mothstand.gateway_main", str(path))
        if can_be_partitioned:
            module = "mothstand.testing.partitioned_gateway"
            command = (sys.executable, "-m", module, str(path), str(self._partition_path(name)))
        if max_descriptors:
            module = "mothstand.testing.limited_gateway"
            command = (sys.executable, "-m", module, str(path), str(max_descriptors))
        self._commands[name] = command
        process = self._spawn(name, command, callers, peers)
        self._ready_urls[name] = f"http://{ready}/readiness"
        wait_until(lambda: self.is_ready(process), f"{name} ready")
        return process

    def partition(self, instance: FleetProcess, mode: PartitionMode) -> None:
        """Cut the path of an instance to all engines that run now, or open it again."""
        ports = frozenset(int(engine.address.rpartition(":")[2]) for engine in self.engines)
        self.partition_ports(instance, mode, ports)

    def partition_ports(
        self, instance: FleetProcess, mode: PartitionMode, ports: frozenset[int]
    ) -> None:
        """Cut the path of an instance to ports of this machine, or open it again."""
        Partition(mode, ports).write(self._partition_path(instance.name))

    def _partition_path(self, name: str) -> Path:
        return self.folder / f"{name}.partition"

    def restart_instance(self, name: str) -> FleetProcess:
        """Start an ended instance again, with its former settings."""
        ended_process = self.processes[name]
        return self._spawn(
            name, self._commands[name], ended_process.address, ended_process.peers_address
        )

    def publish(
        self,
        *,
        prepaid_tokens: int,
        route_homes: tuple[str, ...] = (),
        workspace_homes: tuple[str, ...] = (),
        prefix: str = PREFIX,
        keys: tuple[str, ...] = (KEY,),
        filler_bytes: int = 0,
        split: tuple[str, ...] = (),
    ) -> None:
        """Publish a configuration with two routes and one workspace.

        Parameters
        ----------
        split
            Services that get equal shares of the first route's requests; empty for one service.
        filler_bytes
            Size of a field that instances ignore, for a version that takes long to read.
        """
        self._version += 1
        config = {
            "version": self._version,
            "filler": "x" * filler_bytes,
            "routes": [
                {
                    "name": "ask",
                    "host": HOST,
                    "path_prefix": prefix,
                    "kind": "streaming",
                    "timeout_ms": 5000,
                    "goal_ms": 300,
                    "priority": 0,
                    "service": "" if split else SERVICE,
                    "split": [{"service": name, "weight": 1} for name in split],
                    "attempts": 2,
                    "resumable": True,
                    "home_regions": list(route_homes),
                },
                {
                    "name": "once",
                    "host": HOST,
                    "path_prefix": ONCE_PREFIX,
                    "kind": "non_idempotent",
                    "timeout_ms": 2000,
                    "goal_ms": 300,
                    "priority": 0,
                    "service": SERVICE,
                    "attempts": 1,
                    "home_regions": list(route_homes),
                },
            ],
            "services": [
                {"name": name, "connection_limit": 99, "engine": {"stride": 4}}
                for name in split or (SERVICE,)
            ],
            "tenants": [
                {
                    "name": "seniors",
                    "keys": list(keys),
                    "prepaid": prepaid_tokens,
                    "home_regions": list(workspace_homes),
                }
            ],
        }
        self.put("keyed.op", "config", config)

    def put(self, topic: str, key: str, value: dict[str, Any]) -> None:
        """Write a record to the store, as operators and upstreams do."""
        params = {"topic": topic, "key": key}
        content = json.dumps(value).encode()
        httpx.post(f"{self.store.url}/put", params=params, content=content).raise_for_status()

    def delete(self, topic: str, key: str) -> None:
        """Delete a key from the store, as the end of a registration does."""
        params = {"topic": topic, "key": key}
        httpx.post(f"{self.store.url}/put", params=params).raise_for_status()

    def set_store_unreachable(self, is_unreachable: bool) -> None:
        """Make the store fail all calls, or answer again."""
        httpx.post(f"{self.store.url}/away", params={"on": int(is_unreachable)}).raise_for_status()

    def set_store_rate(self, bytes_per_s: int) -> None:
        """Make the store send the records of each read at a rate; 0 for no limit."""
        params = {"bytes_per_s": bytes_per_s}
        httpx.post(f"{self.store.url}/rate", params=params).raise_for_status()

    def is_ready(self, instance: FleetProcess) -> bool:
        """Return whether an instance says that it is ready."""
        return _get_status(self._ready_urls[instance.name]) == httpx.codes.OK

    def send_request(
        self,
        instance: FleetProcess,
        request_id: str,
        *,
        tokens: str = "100,20",
        key: str = KEY,
        path: str = PREFIX,
    ) -> httpx.Response:
        """Send a request and return its response."""
        headers = request_headers(request_id, tokens, key)
        return httpx.post(instance.url + path, headers=headers, content=b"body", timeout=10)

    def disconnect_after_first_event(self, instance: FleetProcess, request_id: str) -> None:
        """Send a request, and close the connection once its answer has started."""
        headers = request_headers(request_id)
        url = instance.url + PREFIX
        with httpx.stream("POST", url, headers=headers, content=b"body", timeout=10) as answer:
            next(answer.iter_raw())

    def log(self, instance: FleetProcess) -> str:
        """Return the log of an instance."""
        return (self.folder / f"{instance.name}.log").read_text(encoding="utf-8")

    def metrics(self, instance: FleetProcess) -> str:
        """Return the metrics page of an instance."""
        return httpx.get(f"http://{self.metrics_address(instance)}/metrics").text

    def metrics_address(self, instance: FleetProcess) -> str:
        """Return the metrics address of an instance, ``IP:PORT``."""
        return self._metrics_addresses[instance.name]

    def journal(self, engine: FleetProcess) -> list[dict[str, str]]:
        """Return the headers of the requests that an engine ran."""
        return list(httpx.get(f"{engine.url}/journal").json())

    def _start_standin(
        self, name: str, module: str, *options: str, address: str = ""
    ) -> FleetProcess:
        address = address or f"127.0.0.1:{free_port()}"
        command = (
            sys.executable,
            "-m",
            f"mothstand.standins.{module}",
            f"--address={address}",
            *options,
        )
        process = self._spawn(name, command, address)
        wait_until(lambda: _get_status(f"http://{address}/journal") != 0, f"{name} listens")
        return process

    def _spawn(
        self, name: str, command: tuple[str, ...], address: str, peers_address: str = ""
    ) -> FleetProcess:
        with (self.folder / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(command, stdout=log, stderr=log)
        process = FleetProcess(name, popen, address, peers_address)
        self.processes[name] = process
        return process


def request_headers(
    request_id: str, tokens: str = "100,20", key: str = KEY, parts: str = ""
) -> dict[str, str]:
    """Return the headers of a request, by default with a prompt of a single part."""
    return {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Api-Key": key,
        "X-Model": "m",
        "X-Token-Counts": tokens,
        "X-Prompt-Prefix": parts or f"aa:{tokens.partition(',')[0]}",
        "X-Deadline-Milliseconds": "4000",
    }


def _get_status(url: str) -> int:
    """Return the status of a GET request, or 0 for no answer."""
    try:
        return httpx.get(url, timeout=1).status_code
    except httpx.HTTPError:
        return 0
