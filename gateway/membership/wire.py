"""Conversion between the membership's types and protobuf: log records, addresses, members, values."""

from __future__ import annotations

import socket
import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from google.protobuf.message import DecodeError

from gateway.membership import membership_pb2 as pb
from gateway.membership.messages import Backend, FencingToken
from gateway.state_machine import Address

FINAL_SEQUENCE = 1 << 62  # as the call-seq of an end: no later heartbeat counts either
INLINE_BYTES = 256  # longer values have to be requested, so that they come from one source only
MAX_VALUE_BYTES = 64 << 20  # of a value, decompressed
COMPRESS_MIN_BYTES = 1024  # values up to this size aren't compressed


class LeaseRecord(NamedTuple):
    """A backend in a log. With `relay`, the log's source only passes it on and doesn't hold the lease."""

    backend: Backend
    relay: bool = False


class EndRecord(NamedTuple):
    """A backend's end: heartbeats with a call-seq up to `seq` are obsolete. Forgotten at `until`."""

    id: str
    seq: int
    until: float = 0.0
    since: float = float("inf")  # when that instance was first heard; inf: unknown


class ReleaseRecord(NamedTuple):
    """A backend that this log no longer holds; others may. Forgotten at `until`."""

    id: str
    until: float = 0.0


class ValueRecord(NamedTuple):
    """A value in a log; `data` is None if the value has to be requested."""

    kind: int
    fencing_token: FencingToken
    digest: bytes
    data: bytes | None


Record = LeaseRecord | EndRecord | ReleaseRecord | ValueRecord


def packed(address: Address) -> int:
    """An IPv4 `ip:port` as 48 bits. Raises ValueError or OSError if it isn't one."""
    host, _, port = address.rpartition(":")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"{address!r} is no address")
    return int.from_bytes(socket.inet_aton(host), "big") << 16 | number


def unpacked(number: int) -> Address:
    """The `ip:port` of 48 bits: the inverse of `packed`."""
    return f"{socket.inet_ntoa(struct.pack('>I', number >> 16 & 0xFFFFFFFF))}:{number & 0xFFFF}"


def address_hash(address: Address) -> int:
    """The CRC-32 of an address, which identifies it to processes that know the address."""
    return zlib.crc32(address.encode())


def encode_members(addresses: Iterable[Address], leader: Address = "") -> bytes:
    """The value of kind `CORE`: the members' addresses, and which of them is the leader ("": none)."""
    members = list(addresses)
    position = members.index(leader) + 1 if leader in members else 0
    return pb.Members(addresses=map(packed, members), leader=position).SerializeToString()


def decode_members(data: bytes) -> tuple[tuple[Address, ...], Address]:
    """Addresses and leader of a value of kind `CORE`. Raises ValueError if the bytes aren't one."""
    try:
        message = pb.Members.FromString(data)
    except DecodeError as error:
        raise ValueError("no members of the core") from error
    members = tuple(map(unpacked, message.addresses))
    return members, members[message.leader - 1] if 0 < message.leader <= len(members) else ""


def members_or_none(data: bytes) -> tuple[Address, ...] | None:
    """Addresses of a value of kind `CORE`; None if the bytes aren't one."""
    try:
        return decode_members(data)[0]
    except ValueError:
        return None


def encode_ingresses(ingresses: Iterable[tuple[int, Address]]) -> bytes:
    """The value of kind `INGRESSES`: the zone number and address of each."""
    return pb.Members(addresses=[packed(a) << 12 | zone for zone, a in ingresses]).SerializeToString()


def decode_ingresses(data: bytes) -> list[tuple[int, Address]]:
    """Zone number and address of each ingress in a value of kind `INGRESSES`. Raises ValueError if the bytes
    aren't one."""
    try:
        message = pb.Members.FromString(data)
    except DecodeError as error:
        raise ValueError("no ingresses") from error
    return [(number & 0xFFF, unpacked(number >> 12)) for number in message.addresses]


def fill_answer(answer: pb.Answer, now: float, records: Iterable[Record]) -> None:
    """Put records into an answer; times become durations, left or passed, as of `now`."""
    names: dict[str, int] = {}
    for record in records:
        out = answer.records.add()
        if isinstance(record, LeaseRecord):
            _fill_lease(out.leased, now, record, names)
        elif isinstance(record, EndRecord):
            out.ended.id = record.id
            out.ended.after = 0 if record.seq >= FINAL_SEQUENCE else record.seq + 1
        elif isinstance(record, ReleaseRecord):
            out.released = record.id
        else:
            _fill_update(out.news, record)
    answer.names.extend(names)


def _fill_lease(out: pb.LeaseRecord, now: float, record: LeaseRecord, names: dict[str, int]) -> None:
    b = record.backend
    out.id = b.id
    out.address = b.address
    out.capacity = b.capacity
    out.seq = b.seq
    out.service = names.setdefault(b.service, len(names))
    out.zone = names.setdefault(b.zone, len(names))
    out.generation = names.setdefault(b.generation, len(names))
    out.draining = b.draining
    out.relay = record.relay
    if b.cold_until > now:
        out.cold_ms = int(min(1000 * (b.cold_until - now), 0xFFFFFFFF))
    out.age_ds = min(max(0, round(10 * (now - b.since))), 0xFFFFFFFF)


def _fill_update(out: pb.Update, record: ValueRecord) -> None:
    out.kind = record.kind
    out.term, out.number = record.fencing_token
    out.digest = record.digest
    if record.data is None or len(record.data) > INLINE_BYTES:
        out.large = True
    else:
        out.value = record.data


def records(answer: pb.Answer, now: float) -> Iterator[Record]:
    """The records of an answer. Malformed ones (with names beyond the list) are skipped."""
    names = answer.names
    for record in answer.records:
        kind = record.WhichOneof("kind")
        if kind == "leased":
            m = record.leased
            if max(m.service, m.zone, m.generation) < len(names):
                backend = Backend(
                    m.id,
                    names[m.service],
                    m.address,
                    names[m.zone],
                    names[m.generation],
                    m.capacity,
                    m.draining,
                    now + m.cold_ms / 1000 if m.cold_ms else 0.0,
                    m.seq,
                    now - m.age_ds / 10,
                )
                yield LeaseRecord(backend, m.relay)
        elif kind == "ended":
            yield EndRecord(record.ended.id, record.ended.after - 1 if record.ended.after else FINAL_SEQUENCE)
        elif kind == "released":
            yield ReleaseRecord(record.released)
        elif kind == "news":
            n = record.news
            yield ValueRecord(n.kind, (n.term, n.number), n.digest, None if n.large else n.value)


def value_note(value_record: ValueRecord) -> pb.Message:
    """The message with a whole value, compressed if it is long; the answer to a request."""
    data = value_record.data or b""
    note = pb.Message()
    value = note.value
    value.kind = value_record.kind
    value.term, value.number = value_record.fencing_token
    value.digest = value_record.digest
    value.packed = len(data) > COMPRESS_MIN_BYTES
    value.value = zlib.compress(data, 6) if value.packed else data
    return note


def value_data(value: pb.Value) -> bytes | None:
    """The bytes of a value that was received; None if they can't be decompressed."""
    if not value.packed:
        return value.value
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(value.value, MAX_VALUE_BYTES)
        return data if unpacker.eof else None
    except zlib.error:
        return None
