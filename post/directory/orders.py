"""What becomes of an order of the operator, and the value that the core agrees on."""

from __future__ import annotations

import json
import struct
import zlib
from hashlib import blake2b
from typing import NamedTuple

from result import Err

from post.directory import document as documents
from post.directory import table
from post.directory.document import Document, Raw
from post.directory.table import Fault

REMEMBERED = 64  # orders taken, by which a repeat is known
WHOLE_MAX = 64 * 1024 * 1024  # bytes of a configuration
FORM = 1  # of the encoded value, its first byte
TAKEN = struct.Struct(">Q")


class Held:
    """What is in force: a configuration (None before the first) and the last orders taken, newest last.

    `taken` are their fingerprints, which cover method, generation and content.
    """

    __slots__ = ("document", "taken")

    def __init__(self, document: Document | None = None, taken: tuple[int, ...] = ()) -> None:
        self.document, self.taken = document, taken

    @property
    def generation(self) -> int:
        """Of the configuration in force, 0 for none."""
        return self.document.generation if self.document else 0

    def whole(self) -> bytes:
        """The body that answers a GET: the whole configuration as it is put; empty if there is none."""
        return self.document.encode() if self.document else b""

    def encode(self) -> bytes:
        """The value to be agreed on: the orders taken, and the configuration packed."""
        taken = b"".join([TAKEN.pack(order) for order in self.taken])
        return bytes((FORM, len(self.taken))) + taken + zlib.compress(self.whole(), 3)

    @classmethod
    def decode(cls, value: bytes, former: Held | None = None) -> Held:
        """Read an agreed value; an empty one is that before the first order. A former one saves time.

        Raises ValueError if it is none.
        """
        if not value:
            return cls()
        if value[0] != FORM or len(value) < 2 or len(value) < (start := 2 + TAKEN.size * value[1]):
            raise ValueError("not a value of orders")
        taken = tuple([order for order, in TAKEN.iter_unpack(value[2:start])])
        unpack = zlib.decompressobj()
        try:
            body = unpack.decompress(value[start:], WHOLE_MAX)
        except zlib.error as e:
            raise ValueError(f"packed configuration: {e}") from e
        if not unpack.eof:
            raise ValueError("packed configuration is cut off or too large")
        if not body:
            return cls(None, taken)
        document = documents.parse(body, former.document if former else None)
        if isinstance(document, Err):
            raise ValueError(f"agreed configuration: {document.err_value[0]}")
        return cls(document.ok_value, taken)


class Decision(NamedTuple):
    """The answer to an order, and what is to be agreed on before it may go out (None: nothing)."""

    status: int
    body: bytes
    held: Held | None = None


def decide(held: Held, method: str, body: bytes) -> Decision:
    """Judge a PUT or PATCH of the configuration on top of what is in force.

    A repeat of an order that was taken is 200, whatever came since; then another base is 412, and an invalid
    configuration 400, with the faults.
    """
    if method not in ("PUT", "PATCH"):
        return Decision(405, _told([Fault("", "expected PUT or PATCH")]))
    loaded = documents.load(body)
    if isinstance(loaded, Err):
        return Decision(400, _told(loaded.err_value))
    raw = loaded.ok_value
    try:
        order = fingerprint(method, raw)
    except ValueError:  # an agreed value holds what JSON can tell again
        return Decision(400, _told([Fault("", "expected numbers that a double can hold")]))
    if order in held.taken:
        return Decision(200, _body({"generation": raw["generation"]}))
    faults: list[Fault] = []
    generation, base_version = table.read(table.HEAD, raw, "", faults)
    if base_version is not None and base_version != held.generation:
        return Decision(412, _body({"generation": held.generation}))
    if generation is not None and generation <= held.generation:
        faults.append(Fault("generation", f"expected more than {held.generation}, got {generation}"))
    if faults:
        return Decision(400, _told(faults))
    built = documents.whole(raw) if method == "PUT" else documents.patch(held.document, raw)
    if isinstance(built, Err):
        return Decision(400, _told(built.err_value))
    new = built.ok_value
    taken = (*held.taken, order)[-REMEMBERED:]
    return Decision(200, _body({"generation": new.generation}), Held(new, taken))


def fingerprint(method: str, raw: Raw) -> int:
    """Of an order, 64 bit: the same however its JSON is spaced and its fields are ordered.

    Raises ValueError if it holds a number that JSON can't tell, as 1e999 is read.
    """
    told = json.dumps(raw, allow_nan=False, sort_keys=True, separators=(",", ":"))
    return int.from_bytes(blake2b(f"{method} {told}".encode(), digest_size=8).digest())


def _told(faults: list[Fault]) -> bytes:
    return _body({"errors": [{"place": f.place, "reason": f.reason} for f in faults]})


def _body(value: Raw) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
