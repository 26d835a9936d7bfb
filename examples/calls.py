"""HTTP calls of backends and operators."""

from __future__ import annotations

import http.client
from typing import NamedTuple
from urllib.parse import urlsplit


class Answer(NamedTuple):
    """A response: status (0 if there is none), headers by lower-case name, body."""

    status: int
    headers: dict[str, str]
    body: bytes


NONE = Answer(0, {}, b"")


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    wait_s: float = 1.0,
) -> Answer:
    """Call `ip:port`, following a 307 twice. Status 0 after `wait_s` seconds or a broken connection."""
    for _ in range(3):
        answer = _once(address, method, path, body, headers or {}, wait_s)
        target = urlsplit(answer.headers.get("location", ""))
        if answer.status != 307 or not target.netloc:
            break
        address = target.netloc
        path = target.path
    return answer


def _once(
    address: str, method: str, path: str, body: bytes | None, headers: dict[str, str], wait_s: float
) -> Answer:
    connection = http.client.HTTPConnection(address, timeout=wait_s)
    try:
        kind = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, kind | headers)
        got = connection.getresponse()
        return Answer(got.status, {name.lower(): value for name, value in got.getheaders()}, got.read())
    except (OSError, http.client.HTTPException):
        return NONE
    finally:
        connection.close()
