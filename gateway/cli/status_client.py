"""HTTP client for the status of running nodes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from gateway.cli.errors import StatusCallError
from gateway.programs.paths import STATUS
from gateway.runtime.address import host_port
from gateway.state_machine import Address

CALL_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 4 * 1024 * 1024  # maximum size of one answer

Row = dict[str, Any]
"""A JSON object of a status, with the field names of the status page."""


class CallFailure(NamedTuple):
    """A `control` address without a valid answer, and the reason."""

    address: Address
    reason: str


class StatusAnswers(NamedTuple):
    """The answers of several `control` addresses, and the failures."""

    answers: list[Row]
    failures: list[CallFailure]


def fetch_status(address: Address, path: str = STATUS) -> Row:
    """Fetch the JSON object at `path` of a program.

    Raises:
        StatusCallError: There is no valid answer.
    """
    try:
        return _fetch(address, path)
    except HTTPException as error:
        raise StatusCallError(f"answered {type(error).__name__}") from error
    except (OSError, ValueError) as error:
        raise StatusCallError(str(error) or type(error).__name__) from error


def _fetch(address: Address, path: str) -> Row:
    host, port = host_port(address)
    connection = HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read(MAX_BODY_BYTES)
    finally:
        connection.close()
    if response.status != HTTPStatus.OK:
        raise StatusCallError(f"answered {response.status}")
    status = json.loads(body)
    if not isinstance(status, dict):
        raise StatusCallError("answered no object")
    return status


def fetch_all(addresses: Iterable[Address], path: str = STATUS) -> StatusAnswers:
    """Fetch the status of each of these `control` addresses."""
    answers = []
    failures = []
    for address in addresses:
        try:
            answers.append(fetch_status(address, path))
        except StatusCallError as error:
            failures.append(CallFailure(address, str(error)))
    return StatusAnswers(answers, failures)
