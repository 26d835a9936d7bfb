"""HTTP client of `control` addresses: retries a call, unchanged, until there is a definite answer.

answer = control_client.run(["10.1.0.5:8407", "10.2.0.3:8407"], "PUT", control_client.CONFIG, body)
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from typing import NamedTuple
from urllib.parse import urlsplit

from gateway.runtime.address import host_port
from gateway.state_machine import Address

CONFIG = "/-/config"
FINAL_STATUSES = (400, 409, 412, 413, 422)  # definite, as any 2xx is: no retry
RETRY_STATUSES = (408, 429)  # transient: another controller may accept the call
TRIES_4XX = 3  # any other 4xx is definite once it was received this often
REDIRECTS = 2
# timeout of one call in seconds; bytes of the body that add a second
SILENCE_S = 1.0
BYTES_A_SECOND = 1e6
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0


class Answer(NamedTuple):
    """An HTTP answer: status (0: none), the `Location` of a redirect, and the body."""

    status: int
    location: str
    body: bytes


NO_ANSWER = Answer(0, "", b"")
Call = Callable[[Address, str, str, bytes, float], Answer]


def call(address: Address, method: str, path: str, body: bytes, patience_s: float) -> Answer:
    """One HTTP call with a timeout of `patience_s` seconds; any failure of it is `NO_ANSWER`."""
    try:
        host, port = host_port(address)
        connection = HTTPConnection(host, port, timeout=patience_s)
        try:
            kind = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body or None, kind)
            got = connection.getresponse()
            return Answer(got.status, got.getheader("Location") or "", got.read())
        finally:
            connection.close()
    except (OSError, HTTPException, ValueError):
        return NO_ANSWER


def run(
    seeds: Sequence[Address],
    method: str,
    path: str,
    body: bytes = b"",
    most_s: float = 30.0,
    call: Call = call,
    pause: Callable[[float], object] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Answer:
    """Call the seeds in turn, with exponential backoff, for at most `most_s` seconds; the last answer.

    A configuration change without a definite answer may be in force: sent again unchanged it then gets 200.
    """
    patience = SILENCE_S + len(body) / BYTES_A_SECOND
    ends = clock() + most_s
    wait = FIRST_PAUSE_S
    unexpected_4xx = 0
    turn = 0
    while True:
        answer = _follow(call, seeds[turn % len(seeds)], method, path, body, patience)
        unexpected_4xx += 400 <= answer.status < 500 and answer.status not in RETRY_STATUSES
        if (
            200 <= answer.status < 300
            or answer.status in FINAL_STATUSES
            or unexpected_4xx >= TRIES_4XX
            or clock() + wait > ends
        ):
            return answer
        pause(wait)
        wait = min(2 * wait, LONGEST_PAUSE_S)
        turn = turn + 1


def _follow(call: Call, address: Address, method: str, path: str, body: bytes, patience: float) -> Answer:
    """The answer of one controller, following its redirects (307)."""
    answer = NO_ANSWER
    for _ in range(1 + REDIRECTS):
        answer = call(address, method, path, body, patience)
        to = urlsplit(answer.location)
        if answer.status != 307 or not to.netloc:
            break
        address = to.netloc
        path = to.path + (f"?{to.query}" if to.query else "")
    return answer
