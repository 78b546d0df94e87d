"""Command-line interface ``mothstand``."""

from __future__ import annotations

import hashlib
import json
import logging as stdlib_logging
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import fire
from absl import logging

from . import __version__
from .clock import SystemClock
from .core.config import diff_sections
from .core.preview_request import PreviewRequest
from .entry.instance import Instance
from .errors import SettingsError
from .gateway.program import run_gateway
from .log.client import HttpLog, LogError
from .log.instances import HttpInstanceList
from .operators.explain import explain, explanation_lines
from .operators.log_view import read_all, read_config
from .operators.preview import PreviewUnavailableError, ask_preview, preview_lines
from .operators.publish import Publisher, RolloutStatus, wait_in_force
from .operators.release import release
from .operators.reports import audit_lines, budget_lines, epoch_lines, stranded_lines
from .peers.client import GrpcPeers
from .process_signals import ProcessSignals
from .settings.folder import read_folder
from .settings.instance import read_instance_settings
from .settings.operator import OperatorSettings, read_operator_settings
from .types import Epoch, Member, Shard

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

#: Exit codes: no answer of an instance, invalid settings or usage, refused by the fold, not in
#: force in time, and log unreachable.
EXIT_NO_ANSWER = 1
EXIT_SETTINGS = 2
EXIT_REFUSED = 3
EXIT_NOT_IN_FORCE = 4
EXIT_LOG_UNREACHABLE = 5


def _run_async(work: Coroutine[Any, Any, int]) -> None:
    async def main() -> int:
        return await work

    code = anyio.run(main, backend_options={"use_uvloop": True})
    if code:
        sys.exit(code)


def _set_up_logs() -> None:
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # Log lines of libraries are not events of the catalogue.
    for library in ("httpx", "httpcore", "hpack", "asyncio"):
        stdlib_logging.getLogger(library).setLevel(stdlib_logging.WARNING)


def _open_log(settings: OperatorSettings) -> HttpLog:
    return HttpLog(settings.platform.address, caller="operator", timeout_s=2.0)


class Commands:
    """Router fleet for prepaid token budgets."""

    def version(self) -> None:
        """Print the version."""
        print(__version__)

    def serve(self, settings: str) -> None:
        """Run one instance until SIGTERM.

        Parameters
        ----------
        settings
            Path of the instance's INI file.
        """
        signals = ProcessSignals.receive()
        read = read_instance_settings(Path(settings))
        _set_up_logs()
        instance = Instance(read, SystemClock(), signals)
        anyio.run(instance.run, backend_options={"use_uvloop": True})
        signals.ignore()

    def gateway(self, settings: str) -> None:
        """Run one gateway instance on the users' platform until SIGTERM.

        Parameters
        ----------
        settings
            Path of the instance's INI file.
        """
        run_gateway(settings)

    def explain(self, *logs: str) -> None:
        """Show from gateway instances' logs how budgets were spent and which requests were refused.

        Parameters
        ----------
        logs
            Paths of the logs; each may hold one instance or several.
        """
        texts = {log: Path(log).read_text(errors="replace").splitlines() for log in logs}
        for line in explanation_lines(explain(texts)):
            print(line)

    # Otherwise fire reads keys and lists that look like numbers or tuples as such.
    @fire.decorators.SetParseFn(
        str, "instance", "route", "host", "path", "workspace", "key", "request"
    )
    @fire.decorators.SetParseFn(str, "tokens", "parts", "length_hint")
    def preview(
        self,
        instance: str,
        route: str = "",
        host: str = "",
        path: str = "",
        workspace: str = "",
        key: str = "",
        tokens: str = "",
        parts: str = "",
        length_hint: str = "",
        request: str = "",
        json: bool = False,
    ) -> None:
        """Show where a gateway instance would send a request now, and why, without sending it.

        Parameters
        ----------
        instance
            Metrics address of the instance, ``IP:PORT``.
        route
            Name of the route; or give host and path.
        host, path
            Host and path of the request.
        workspace
            Name of the workspace; or give the key.
        key
            Key of a caller. It is not printed, but other users of the machine may see the command.
        tokens
            Tokens of the prompt and maximum output tokens, ``PROMPT,OUTPUT``.
        parts
            Parts of the prompt, ``ID:TOKENS,ID:TOKENS``.
        length_hint
            Expected output tokens; placement does not use them.
        request
            Id of the request, which decides between the services of a split route.
        json
            Whether to print JSON instead of text.
        """
        fields = {
            "route": route,
            "host": host,
            "path": path,
            "workspace": workspace,
            "tokens": tokens,
            "parts": parts,
            "length_hint": length_hint,
            "request": request,
        }
        try:
            asked = PreviewRequest.parse(fields, key)
        except ValueError as error:
            raise SettingsError(str(error)) from None
        answer = anyio.run(ask_preview, instance, asked)
        for line in [_format_json(answer)] if json else preview_lines(answer):
            print(line)

    def hash(self, key: str) -> None:
        """Print the digest of a caller's key, for a ``[key NAME]`` section."""
        print(hashlib.sha256(str(key).encode()).hexdigest())

    def check(self, folder: str) -> None:
        """Validate a folder of INI files.

        Parameters
        ----------
        folder
            Path of the operators' folder.
        """
        sections = read_folder(Path(folder))
        print(f"{folder}: {len(sections)} sections, valid")

    def diff(self, folder: str, settings: str) -> None:
        """Show what publishing a folder would change.

        Parameters
        ----------
        folder
            Path of the operators' folder.
        settings
            Path of the operator's INI file.
        """
        sections = read_folder(Path(folder))
        operator = read_operator_settings(Path(settings))

        async def run() -> int:
            fold = await read_config(_open_log(operator))
            print(f"in force: {fold.state.offset}")
            for change in diff_sections(fold.state.sections, sections):
                new = None if change.values is None else dict(change.values)
                old = fold.state.sections.get(change.section)
                print(f"[{change.section}] {json.dumps(old)} -> {json.dumps(new)}")
            return 0

        _run_async(run())

    def publish(
        self, folder: str, settings: str, base: int | None = None, timeout_s: float = 10.0
    ) -> None:
        """Publish a folder and wait until it is in force everywhere.

        Parameters
        ----------
        folder
            Path of the operators' folder.
        settings
            Path of the operator's INI file.
        base
            Offset of the configuration that the folder is based on; refused if another is in force.
        timeout_s
            Seconds to wait until the configuration is in force.
        """
        sections = read_folder(Path(folder))
        operator = read_operator_settings(Path(settings))
        _run_async(_publish(operator, sections, base, timeout_s))

    def status(self, settings: str) -> None:
        """Show configuration, epochs and budgets from the log.

        Parameters
        ----------
        settings
            Path of the operator's INI file.
        """
        operator = read_operator_settings(Path(settings))

        async def run() -> int:
            view = await read_all(_open_log(operator), operator.operator.ledger_shards)
            print(f"configuration in force: {view.config.state.offset}")
            for line in [*epoch_lines(view), *stranded_lines(view), *budget_lines(view)]:
                print(line)
            return 0

        _run_async(run())

    def audit(self, settings: str, contains: str = "") -> None:
        """Show all changes of the configuration, of leaseholders and of grants.

        Parameters
        ----------
        settings
            Path of the operator's INI file.
        contains
            Show only lines with this text.
        """
        operator = read_operator_settings(Path(settings))

        async def run() -> int:
            view = await read_all(_open_log(operator), operator.operator.ledger_shards)
            for line in audit_lines(view, contains=contains):
                print(line)
            return 0

        _run_async(run())

    def release(self, shard: int, epoch: int, settings: str) -> None:
        """Release the tokens that are stranded in an epoch whose processes have ended for good.

        Parameters
        ----------
        shard, epoch
            As shown by ``status`` under "stranded".
        settings
            Path of the operator's INI file.
        """
        operator = read_operator_settings(Path(settings))
        _run_async(_release(operator, Shard(shard), Epoch(epoch)))


async def _release(operator: OperatorSettings, shard: Shard, epoch: Epoch) -> int:
    peers = GrpcPeers(operator.secrets.fleet_key)
    name = operator.operator.name
    released = await release(
        _open_log(operator),
        peers,
        SystemClock(),
        operator=name,
        local_member=Member(name, f"{name}:operator", ""),
        shard_count=operator.operator.ledger_shards,
        shard=shard,
        epoch=epoch,
    )
    peers.close()
    if not released.outcome.accepted:
        print(f"refused: {released.outcome.reason}", file=sys.stderr)
        return EXIT_REFUSED
    for budget, tokens in released.returned_tokens.items():
        print(f"{budget}: {tokens} tokens given back")
    return 0


async def _publish(
    operator: OperatorSettings,
    sections: dict[str, dict[str, str]],
    base: int | None,
    timeout_s: float,
) -> int:
    clock = SystemClock()
    publisher = Publisher(_open_log(operator), operator.operator.name, clock)
    published = await publisher.publish(sections, base_offset=base)
    if not published.outcome.accepted:
        print(f"refused at offset {published.offset}: {published.outcome.reason}", file=sys.stderr)
        return EXIT_REFUSED
    print(f"accepted at offset {published.offset}, {len(published.changes)} sections changed")
    listing = HttpInstanceList(operator.platform.address, caller="operator", timeout_s=2.0)
    peers = GrpcPeers(operator.secrets.fleet_key)
    seen = await wait_in_force(
        published.offset,
        listing,
        peers,
        clock,
        timeout_s=timeout_s,
        report_progress=_print_progress,
    )
    peers.close()
    if seen.is_complete:
        print(f"in force on all {len(seen.up_to_date)} instances")
        return 0
    print(f"behind: {', '.join(seen.behind) or 'none'}", file=sys.stderr)
    print(f"cannot be seen: {', '.join(seen.unresponsive) or 'none'}", file=sys.stderr)
    return EXIT_NOT_IN_FORCE


def _format_json(value: dict[str, Any]) -> str:
    return json.dumps(value, indent=2)


def _print_progress(seen: RolloutStatus) -> None:
    total = len(seen.up_to_date) + len(seen.behind) + len(seen.unresponsive)
    print(f"in force on {len(seen.up_to_date)} of {total}")


def main() -> None:
    """Run the command; report a settings or log error in one line and by the exit code."""
    try:
        fire.Fire(Commands(), name="mothstand")
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except PreviewUnavailableError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_NO_ANSWER)
    except LogError as error:
        print(f"error: the platform's log does not answer: {error}", file=sys.stderr)
        sys.exit(EXIT_LOG_UNREACHABLE)


if __name__ == "__main__":
    main()
