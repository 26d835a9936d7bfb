"""Decisions on configuration changes (PUT and PATCH), and the encoding of the replicated value.

The value contains the configuration in force and the history of accepted changes, used to recognize retries.
"""

from __future__ import annotations

import json
import struct
import zlib
from hashlib import blake2b
from http import HTTPStatus
from typing import NamedTuple

from result import Err

from gateway.config import document as documents
from gateway.config import schema
from gateway.config.document import Document, Raw
from gateway.config.errors import MalformedStateError
from gateway.config.schema import ConfigError

MAX_REMEMBERED_CHANGES = 1024  # number of changes in the history: ten hours at 2,400 changes per day
MAX_CONFIG_BYTES = 64 * 1024 * 1024  # maximum size of an uncompressed configuration
COMPRESSION_LEVEL = 3
METHODS = ("PUT", "PATCH")

FORMAT = 2  # version of the encoding, stored in the first byte
# Format, number of changes in the history, generation of the newest change dropped from it.
HEAD = struct.Struct(">BHQ")
CHANGE_RECORD = struct.Struct(">QQ")  # fingerprint and generation

FORMAT_1 = 1  # the previous format, without generations
HEAD_1 = struct.Struct(">BB")  # format and number of changes in the history
CHANGE_RECORD_1 = struct.Struct(">Q")  # fingerprint
MAX_REMEMBERED_CHANGES_1 = 64


class ConfigState:
    """The state in force: a configuration (None before the first) and the last accepted changes, newest last.

    `accepted` maps the fingerprint of each accepted change (over method, generation and content) to its
    generation. It contains all accepted changes with a generation above `forgotten_generation`.
    """

    __slots__ = ("accepted", "document", "forgotten_generation")

    def __init__(
        self,
        document: Document | None = None,
        accepted: dict[int, int] | None = None,
        forgotten_generation: int = 0,
    ) -> None:
        self.document = document
        self.accepted = accepted or {}
        self.forgotten_generation = forgotten_generation

    @property
    def generation(self) -> int:
        """The generation of the configuration in force; 0 if there is none."""
        return self.document.generation if self.document else 0

    def document_body(self) -> bytes:
        """The body of the response to a GET: the full configuration as JSON; empty if there is none."""
        return self.document.encode() if self.document else b""

    def with_change(self, document: Document, change: int) -> ConfigState:
        """The state after accepting the change with this fingerprint, which results in `document`."""
        accepted = {**self.accepted, change: document.generation}
        forgotten = self.forgotten_generation
        while len(accepted) > MAX_REMEMBERED_CHANGES:
            forgotten = max(forgotten, accepted.pop(next(iter(accepted))))
        return ConfigState(document, accepted, forgotten)

    def encode(self) -> bytes:
        """Encode the value to be replicated: format, history of changes, and the compressed configuration."""
        history = b"".join([CHANGE_RECORD.pack(*change) for change in self.accepted.items()])
        head = HEAD.pack(FORMAT, len(self.accepted), self.forgotten_generation)
        return head + history + zlib.compress(self.document_body(), COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, value: bytes, previous: ConfigState | None = None) -> ConfigState:
        """Decode a replicated value; an empty one is the state before the first change.

        Unchanged entries are reused from `previous`.

        Raises:
            MalformedStateError: The value is invalid.
        """
        if not value:
            return cls()
        start = _payload_offset(value)
        state = cls(_decompress(value[start:], previous.document if previous else None))
        if value[0] == FORMAT:
            state.accepted = dict(CHANGE_RECORD.iter_unpack(value[HEAD.size : start]))
            state.forgotten_generation = HEAD.unpack_from(value)[2]
        else:  # generations increase, so these are upper bounds
            changes = [change for (change,) in CHANGE_RECORD_1.iter_unpack(value[HEAD_1.size : start])]
            oldest = state.generation - len(changes)
            state.accepted = {change: max(0, oldest + n) for n, change in enumerate(changes, 1)}
            is_full = len(changes) >= MAX_REMEMBERED_CHANGES_1
            state.forgotten_generation = max(0, oldest) if is_full else 0
        return state


def without_history(value: bytes) -> bytes:
    """Remove the history from a replicated value, for proxies.

    Raises:
        MalformedStateError: The value is invalid.
    """
    return HEAD.pack(FORMAT, 0, 0) + value[_payload_offset(value) :]


def _payload_offset(value: bytes) -> int:
    """Offset of the compressed configuration in a value."""
    is_current = value[0] == FORMAT
    head = HEAD if is_current else HEAD_1
    record = CHANGE_RECORD if is_current else CHANGE_RECORD_1
    if value[0] not in (FORMAT, FORMAT_1) or len(value) < head.size:
        raise MalformedStateError("not a replicated configuration value")
    start: int = head.size + record.size * head.unpack_from(value)[1]
    if len(value) < start:
        raise MalformedStateError("not a replicated configuration value")
    return start


def _decompress(packed: bytes, previous: Document | None) -> Document | None:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed, MAX_CONFIG_BYTES)
    except zlib.error as error:
        raise MalformedStateError(f"packed configuration: {error}") from error
    if not decompressor.eof:
        raise MalformedStateError("packed configuration is truncated or too large")
    if not body:
        return None
    document = documents.parse(body, previous)
    if isinstance(document, Err):
        raise MalformedStateError(f"agreed configuration: {document.err_value[0]}")
    return document.ok_value


class Decision(NamedTuple):
    """HTTP status and body of the response to a change.

    `config_state` must be committed before the response is sent; None means that nothing changes.
    `base_is_ahead` means that the change's base may still be in flight, so a retry may get another response.
    """

    status: int
    body: bytes
    config_state: ConfigState | None = None
    base_is_ahead: bool = False


def decide(state: ConfigState, method: str, body: bytes) -> Decision:
    """Decide on a PUT or PATCH of the configuration in force.

    A retry of an accepted change gets 200, whatever has been accepted since. Otherwise a change with another
    base gets 412, and an invalid configuration 400 with the errors. A change that is so old that it may have
    been accepted and dropped from the history gets 503, because its result is unknown.
    """
    if method not in METHODS:
        return _rejection(HTTPStatus.METHOD_NOT_ALLOWED, [ConfigError("", "expected PUT or PATCH")])
    loaded = documents.load(body)
    if isinstance(loaded, Err):
        return _rejection(HTTPStatus.BAD_REQUEST, loaded.err_value)
    raw = loaded.ok_value
    try:
        change = fingerprint(method, raw)
    except ValueError:  # a replicated value must be valid JSON
        error = ConfigError("", "expected numbers that a double can hold")
        return _rejection(HTTPStatus.BAD_REQUEST, [error])
    if change in state.accepted:
        return Decision(HTTPStatus.OK, _body({"generation": raw["generation"]}))
    errors: list[ConfigError] = []
    generation, base_version = schema.read(schema.HEAD, raw, "", errors)
    if base_version is not None and base_version != state.generation:
        return _other_base(state, generation, base_version)
    if generation is not None and generation <= state.generation:
        reason = f"expected more than {state.generation}, got {generation}"
        errors.append(ConfigError("generation", reason))
    if errors:
        return _rejection(HTTPStatus.BAD_REQUEST, errors)
    built = documents.from_raw(raw) if method == "PUT" else documents.apply_patch(state.document, raw)
    if isinstance(built, Err):
        return _rejection(HTTPStatus.BAD_REQUEST, built.err_value)
    document = built.ok_value
    answer = _body({"generation": document.generation})
    return Decision(HTTPStatus.OK, answer, state.with_change(document, change))


def _other_base(state: ConfigState, generation: int | None, base_version: int) -> Decision:
    """Decide on a change that isn't based on the configuration in force."""
    forgotten = state.forgotten_generation
    if generation is not None and base_version < generation <= forgotten:
        reason = f"expected more than {forgotten}: what was taken until then is forgotten"
        return _rejection(HTTPStatus.SERVICE_UNAVAILABLE, [ConfigError("generation", reason)])
    body = _body({"generation": state.generation})
    is_ahead = base_version > state.generation
    return Decision(HTTPStatus.PRECONDITION_FAILED, body, base_is_ahead=is_ahead)


def fingerprint(method: str, raw: Raw) -> int:
    """The 64-bit fingerprint of a change, independent of the spacing and the order of fields in its JSON.

    Raises:
        ValueError: It contains a number that JSON can't represent; 1e999 is parsed as infinity.
    """
    canonical = json.dumps(raw, allow_nan=False, sort_keys=True, separators=(",", ":"))
    return int.from_bytes(blake2b(f"{method} {canonical}".encode(), digest_size=8).digest())


def _rejection(status: HTTPStatus, errors: list[ConfigError]) -> Decision:
    return Decision(status, _body({"errors": [{"place": e.place, "reason": e.reason} for e in errors]}))


def _body(value: Raw) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
