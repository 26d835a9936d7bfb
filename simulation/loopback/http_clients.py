"""HTTP calls of clients, operators and the platform over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from typing import Any, NamedTuple

from gateway.http_status import is_success

CONNECT_S = 1.0


class Answer(NamedTuple):
    """A response: status (0 without a complete one), headers by lower-case name, body."""

    status: int
    headers: dict[str, str]
    body: bytes


NONE = Answer(0, {}, b"")


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    wait_s: float,
    bind: str | None = None,
) -> Answer:
    """Make a call on a new connection. A timeout or a broken connection has status 0."""
    with contextlib.suppress(OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        async with asyncio.timeout(wait_s):
            return await _call(address, method, path, headers, body)
    return NONE


async def _call(address: str, method: str, path: str, headers: dict[str, str], body: bytes) -> Answer:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {"Host": address, **headers, "Connection": "close", "Content-Length": str(len(body))}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip("\r\n").split("\r\n")
        found = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
        answer = await reader.readexactly(int(found.get("content-length", 0)))
        return Answer(int(first.split(" ")[1]), found, answer)
    finally:
        writer.close()


async def control(
    addresses: list[str], method: str, path: str, body: bytes, rng: random.Random, wait_s: float = 1.0
) -> tuple[Answer, str]:
    """Call `control`, following a 307 twice. Returns the answer and the address that gave it."""
    address = rng.choice(addresses)
    kind = {"Content-Type": "application/json"} if body else {}
    for _ in range(3):
        answer = await call(address, method, path, kind, body, wait_s)
        target = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        if answer.status != 307 or not target:
            break
        address = target
    return answer, address


def verify_body(answer: Answer, attempt: str) -> str:
    """Return the error in a successful response; empty if there is none."""
    if not is_success(answer.status):
        return ""
    if answer.headers.get("attempt-id") != attempt:
        return "the answer to another request"
    return "" if answer.headers.get("backend-seal") else "no seal"


def generation(answer: Answer) -> int:
    """Return the generation of the configuration in an answer; 0 if there is none."""
    try:
        found: Any = json.loads(answer.body)
        return int(found["generation"])
    except (ValueError, KeyError, TypeError):
        return 0
