"""A small example configuration and requests for it.

There are two workspaces, and engines and services in one or two data centres.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import httpx

if TYPE_CHECKING:
    from pathlib import Path

    from .fleet import Fleet

MODEL = "citation-7b"
KEYS = {"lund": "lund-key", "kushiro": "kushiro-key"}


def write_folder(
    folder: Path,
    fleet: Fleet,
    *,
    paid_tokens: dict[str, int] | None = None,
    policy: str = "",
    resumes: bool = False,
    slots: int = 64,
) -> Path:
    """Write an operators' folder that names the fleet's stand-ins, and return it.

    Parameters
    ----------
    paid_tokens
        Paid total of each budget; a workspace's budget has the workspace's name.
    policy
        Lines of the ``[policy]`` section.
    resumes
        Whether engines can resume answers that another engine started.
    slots
        Number of slots of each upstream.
    """
    folder.mkdir(exist_ok=True)
    paid = {"lund": 1_000_000, "kushiro": 1_000_000} | (paid_tokens or {})
    lines = [f"[policy]\n{policy}\n"]
    for name, key in KEYS.items():
        digest = hashlib.sha256(key.encode()).hexdigest()
        lines.append(
            f"[workspace {name}]\npriority = 1\n"
            f"[budget {name}]\nworkspace = {name}\npaid_tokens = {paid[name]}\n"
            f"[key {name}]\nworkspace = {name}\nbudget = {name}\nsha256 = {digest}\n"
        )
    lines.append("[service format]\ntokens_per_call = 5\nidempotent = yes\n")
    lines.append("[service renew]\ntokens_per_call = 100\nidempotent = no\n")
    for name, process in fleet.processes.items():
        serves = _serves(name)
        if serves:
            kind = "engine" if serves == MODEL else "service"
            lines.append(
                f"[upstream {name}]\nkind = {kind}\naddress = {process.address}\n"
                f"data_centre = {process.data_centre}\nserves = {serves}\nslots = {slots}\n"
                f"resumes = {'yes' if resumes and kind == 'engine' else 'no'}\n"
            )
    (folder / "10-all.ini").write_text("\n".join(lines), encoding="utf-8")
    return folder


def _serves(name: str) -> str:
    kind = name.split("-", maxsplit=1)[0]
    return {"llm": MODEL, "formatter": "format", "renewer": "renew"}.get(kind, "")


def chat(
    url: str,
    *,
    prompt: str = "Rewrite in APA: Andersson.",
    key: str = KEYS["lund"],
    max_tokens: int = 16,
    idempotency_key: str = "",
    timeout_s: float = 30.0,
    **extra: Any,
) -> httpx.Response:
    """Send a chat completion request and return the complete response."""
    headers = {"authorization": f"Bearer {key}"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        **extra,
    }
    return httpx.post(
        f"{url}/v1/chat/completions", headers=headers, json=body, timeout=timeout_s, trust_env=False
    )


def call_service(
    url: str,
    service: str,
    *,
    body: str = "pass 17",
    key: str = KEYS["kushiro"],
    idempotency_key: str = "",
    timeout_s: float = 30.0,
) -> httpx.Response:
    """Send a request to a plain service."""
    headers = {"authorization": f"Bearer {key}"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    return httpx.post(
        f"{url}/services/{service}/do",
        headers=headers,
        content=body,
        timeout=timeout_s,
        trust_env=False,
    )
