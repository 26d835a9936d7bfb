"""HTTP client for `control` addresses that repeats an unchanged call until there is a definite answer.

answer = control_client.call_with_retries(["10.1.0.5:8407", "10.2.0.3:8407"], "PUT", CONFIG, body)
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import NamedTuple
from urllib.parse import urlsplit

from gateway.http_status import is_client_error, is_success
from gateway.runtime.address import host_port
from gateway.runtime.http_call import HttpCall
from gateway.state_machine import Address

FINAL_STATUSES = (400, 409, 412, 413, 422)  # definite, like any 2xx: no retry
RETRY_STATUSES = (408, 429)  # transient: another controller may accept the call
MAX_OTHER_4XX = 3  # any other 4xx is definite once it has been received this often
MAX_REDIRECTS = 2
CALL_TIMEOUT_S = 1.0  # timeout of one call
BODY_BYTES_PER_SECOND = 1e6  # the timeout is extended by a second for this many bytes of the body
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
DEFAULT_TIMEOUT_S = 30.0  # of all attempts together


class Answer(NamedTuple):
    """An HTTP answer: status (0: none), the `Location` of a redirect, and the body."""

    status: int
    location: str
    body: bytes


NO_ANSWER = Answer(0, "", b"")


SendCall = Callable[[Address, HttpCall, float], Answer]
"""Sends one call to an address with a timeout in seconds; any failure results in `NO_ANSWER`."""


def send_call(address: Address, call: HttpCall, timeout_s: float) -> Answer:
    """Send one call with a timeout; any failure results in `NO_ANSWER`."""
    headers = {"Content-Type": "application/json"} if call.body else {}
    try:
        host, port = host_port(address)
        connection = HTTPConnection(host, port, timeout=timeout_s)
        try:
            connection.request(call.method, call.path, call.body or None, headers)
            response = connection.getresponse()
            return Answer(response.status, response.getheader("Location") or "", response.read())
        finally:
            connection.close()
    except (OSError, HTTPException, ValueError):
        return NO_ANSWER


def call_with_retries(
    seeds: Sequence[Address],
    call: HttpCall,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    send: SendCall = send_call,
    sleep: Callable[[float], object] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Answer:
    """Call the seeds in turn, with exponential backoff, for at most `timeout_s` seconds.

    A configuration change without a definite answer may be in force. If so, the unchanged retry gets a 200.
    """
    call_timeout_s = CALL_TIMEOUT_S + len(call.body) / BODY_BYTES_PER_SECOND
    deadline = clock() + timeout_s
    backoff_s = INITIAL_BACKOFF_S
    other_4xx = 0
    attempt = 0
    while True:
        answer = _follow_redirects(send, seeds[attempt % len(seeds)], call, call_timeout_s)
        other_4xx += is_client_error(answer.status) and answer.status not in RETRY_STATUSES
        is_definite = is_success(answer.status) or answer.status in FINAL_STATUSES
        if is_definite or other_4xx >= MAX_OTHER_4XX or clock() + backoff_s > deadline:
            return answer
        sleep(backoff_s)
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        attempt += 1


def _follow_redirects(send: SendCall, address: Address, call: HttpCall, timeout_s: float) -> Answer:
    """The answer of one controller, or of the controllers that it redirects to (307)."""
    answer = NO_ANSWER
    for _ in range(1 + MAX_REDIRECTS):
        answer = send(address, call, timeout_s)
        target = urlsplit(answer.location)
        if answer.status != HTTPStatus.TEMPORARY_REDIRECT or not target.netloc:
            break
        address = target.netloc
        query = f"?{target.query}" if target.query else ""
        call = call._replace(path=target.path + query)
    return answer
