"""An operator's call to `control`: made again, unchanged, until a process gives a clear answer.

answer = operator call.run(["10.1.0.5:8407", "10.2.0.3:8407"], "PUT", operator call.CONFIG, body)
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
FINAL_STATUSES = (400, 409, 412, 413, 422)  # end it at once, as a success does
RETRY_STATUSES = (408, 429)  # another process may have room
TRIES_4XX = 3  # after which any other 4xx counts
REDIRECTS = 2
SILENCE_S, BYTES_A_SECOND = 1.0, 1e6  # of patience with one process, and what a large body adds
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.1, 2.0


class Answer(NamedTuple):
    """What a process has said: status (0: nothing), where to go instead, body."""

    status: int
    location: str
    body: bytes


NO_ANSWER = Answer(0, "", b"")
Call = Callable[[Address, str, str, bytes, float], Answer]


def call(address: Address, method: str, path: str, body: bytes, patience_s: float) -> Answer:
    """One HTTP call; whatever breaks it is no answer."""
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
    """Call one process after the other, with a growing pause, for at most `most_s` seconds; the last answer.

    An order that has got no clear answer may be in force: the same one sent again is then answered with 200.
    """
    patience, ends = SILENCE_S + len(body) / BYTES_A_SECOND, clock() + most_s
    wait, unexpected_4xx, turn = FIRST_PAUSE_S, 0, 0
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
        wait, turn = min(2 * wait, LONGEST_PAUSE_S), turn + 1


def _follow(call: Call, address: Address, method: str, path: str, body: bytes, patience: float) -> Answer:
    """The answer of a process, or of the one that it sends us on to."""
    answer = NO_ANSWER
    for _ in range(1 + REDIRECTS):
        answer = call(address, method, path, body, patience)
        to = urlsplit(answer.location)
        if answer.status != 307 or not to.netloc:
            break
        address, path = to.netloc, to.path + (f"?{to.query}" if to.query else "")
    return answer
