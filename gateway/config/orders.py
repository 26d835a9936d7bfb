"""Decisions on the operator's orders (PUT and PATCH), and the encoding of the replicated value.

The value holds the configuration in force and the history of accepted orders, by which retries are known.
"""

from __future__ import annotations

import json
import struct
import zlib
from hashlib import blake2b
from typing import NamedTuple

from result import Err

from gateway.config import document as documents
from gateway.config import schema
from gateway.config.document import Document, Raw
from gateway.config.schema import ConfigError

MAX_REMEMBERED_ORDERS = 1024  # length of the history: ten hours at 2,400 orders a day
WHOLE_MAX = 64 * 1024 * 1024  # bytes of an uncompressed configuration
FORMAT = 2  # of the encoded value, its first byte
HEAD = struct.Struct(">BHQ")  # format, length of the history, generation of the newest order dropped from it
ORDER_RECORD = struct.Struct(">QQ")  # fingerprint and generation
# the older format, without generations
FORMAT_1 = 1
MAX_REMEMBERED_ORDERS_1 = 64
HEAD_1 = struct.Struct(">BB")
ORDER_RECORD_1 = struct.Struct(">Q")


class ConfigState:
    """The state in force: a configuration (None before the first) and the last accepted orders, newest last.

    `taken` maps the fingerprint of each accepted order (over method, generation and content) to its
    generation. It has all accepted orders with a generation above `forgotten`.
    """

    __slots__ = ("document", "taken", "forgotten")

    def __init__(
        self, document: Document | None = None, taken: dict[int, int] | None = None, forgotten: int = 0
    ) -> None:
        self.document = document
        self.taken = taken or {}
        self.forgotten = forgotten

    @property
    def generation(self) -> int:
        """The generation of the configuration in force; 0 for none."""
        return self.document.generation if self.document else 0

    def whole(self) -> bytes:
        """The body that answers a GET: the whole configuration as JSON; empty if there is none."""
        return self.document.encode() if self.document else b""

    def with_order(self, document: Document, order: int) -> ConfigState:
        """The state after accepting the order with this fingerprint, which results in `document`."""
        taken = {**self.taken, order: document.generation}
        forgotten = self.forgotten
        while len(taken) > MAX_REMEMBERED_ORDERS:
            forgotten = max(forgotten, taken.pop(next(iter(taken))))
        return ConfigState(document, taken, forgotten)

    def encode(self) -> bytes:
        """The value to be replicated: format, history of orders, and the compressed configuration."""
        taken = b"".join([ORDER_RECORD.pack(*order) for order in self.taken.items()])
        head = HEAD.pack(FORMAT, len(self.taken), self.forgotten)
        return head + taken + zlib.compress(self.whole(), 3)

    @classmethod
    def decode(cls, value: bytes, previous: ConfigState | None = None) -> ConfigState:
        """Decode a replicated value; an empty one is the state before the first order.

        Unchanged entries are reused from `previous`. Raises ValueError if the value is invalid.
        """
        if not value:
            return cls()
        start = _payload_offset(value)
        config_state = cls(_decompress(value[start:], previous.document if previous else None))
        if value[0] == FORMAT:
            config_state.taken = dict(ORDER_RECORD.iter_unpack(value[HEAD.size : start]))
            config_state.forgotten = HEAD.unpack_from(value)[2]
        else:  # generations rise, so these are upper bounds
            orders = [order for (order,) in ORDER_RECORD_1.iter_unpack(value[HEAD_1.size : start])]
            least = config_state.generation - len(orders)
            config_state.taken = {order: max(0, least + n) for n, order in enumerate(orders, 1)}
            config_state.forgotten = max(0, least) if len(orders) >= MAX_REMEMBERED_ORDERS_1 else 0
        return config_state


def without_order_history(value: bytes) -> bytes:
    """A replicated value without its history, for proxies. Raises ValueError if the value is invalid."""
    return HEAD.pack(FORMAT, 0, 0) + value[_payload_offset(value) :]


def _payload_offset(value: bytes) -> int:
    """Offset of the compressed configuration in a value. Raises ValueError if the value is invalid."""
    head, taken = (HEAD, ORDER_RECORD) if value[0] == FORMAT else (HEAD_1, ORDER_RECORD_1)
    if value[0] not in (FORMAT, FORMAT_1) or len(value) < head.size:
        raise ValueError("not a value of orders")
    start: int = head.size + taken.size * head.unpack_from(value)[1]
    if len(value) < start:
        raise ValueError("not a value of orders")
    return start


def _decompress(packed: bytes, previous: Document | None) -> Document | None:
    unpack = zlib.decompressobj()
    try:
        body = unpack.decompress(packed, WHOLE_MAX)
    except zlib.error as e:
        raise ValueError(f"packed configuration: {e}") from e
    if not unpack.eof:
        raise ValueError("packed configuration is cut off or too large")
    if not body:
        return None
    document = documents.parse(body, previous)
    if isinstance(document, Err):
        raise ValueError(f"agreed configuration: {document.err_value[0]}")
    return document.ok_value


class Decision(NamedTuple):
    """HTTP status and body of the answer to an order.

    `config_state` has to be committed before the answer is sent; None: nothing changes. `ahead`: the order's
    base may still be in flight, so the answer may be different a little later.
    """

    status: int
    body: bytes
    config_state: ConfigState | None = None
    ahead: bool = False


def decide(config_state: ConfigState, method: str, body: bytes) -> Decision:
    """Decide on a PUT or PATCH of the configuration in force.

    A retry of an accepted order gets 200, whatever was accepted since. Otherwise another base gets 412, and
    an invalid configuration 400 with the errors. An order so old that it may have been accepted and dropped
    from the history gets 503: its outcome is unknown.
    """
    if method not in ("PUT", "PATCH"):
        return Decision(405, _errors_body([ConfigError("", "expected PUT or PATCH")]))
    loaded = documents.load(body)
    if isinstance(loaded, Err):
        return Decision(400, _errors_body(loaded.err_value))
    raw = loaded.ok_value
    try:
        order = fingerprint(method, raw)
    except ValueError:  # a replicated value must be valid JSON
        return Decision(400, _errors_body([ConfigError("", "expected numbers that a double can hold")]))
    if order in config_state.taken:
        return Decision(200, _body({"generation": raw["generation"]}))
    errors: list[ConfigError] = []
    generation, base_version = schema.read(schema.HEAD, raw, "", errors)
    if base_version is not None and base_version != config_state.generation:
        if generation is not None and base_version < generation <= config_state.forgotten:
            reason = f"expected more than {config_state.forgotten}: what was taken until then is forgotten"
            return Decision(503, _errors_body([ConfigError("generation", reason)]))
        return Decision(
            412, _body({"generation": config_state.generation}), ahead=base_version > config_state.generation
        )
    if generation is not None and generation <= config_state.generation:
        errors.append(
            ConfigError("generation", f"expected more than {config_state.generation}, got {generation}")
        )
    if errors:
        return Decision(400, _errors_body(errors))
    built = documents.whole(raw) if method == "PUT" else documents.patch(config_state.document, raw)
    if isinstance(built, Err):
        return Decision(400, _errors_body(built.err_value))
    new = built.ok_value
    return Decision(200, _body({"generation": new.generation}), config_state.with_order(new, order))


def fingerprint(method: str, raw: Raw) -> int:
    """The 64 bit fingerprint of an order; spacing and the order of fields in its JSON don't matter.

    Raises ValueError if it holds a number that JSON can't represent: 1e999 is parsed as infinity.
    """
    told = json.dumps(raw, allow_nan=False, sort_keys=True, separators=(",", ":"))
    return int.from_bytes(blake2b(f"{method} {told}".encode(), digest_size=8).digest())


def _errors_body(errors: list[ConfigError]) -> bytes:
    return _body({"errors": [{"place": f.place, "reason": f.reason} for f in errors]})


def _body(value: Raw) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
