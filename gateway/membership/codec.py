"""Conversion between membership types and protobuf: log records, addresses, members and values."""

from __future__ import annotations

import socket
import struct
import zlib
from collections.abc import Iterable, Iterator, Sequence
from math import inf
from typing import NamedTuple

from google.protobuf.message import DecodeError

from gateway.membership import membership_pb2 as pb
from gateway.membership.errors import InvalidAddressError, MalformedValueError
from gateway.membership.types import Backend
from gateway.state_machine import Address, FencingToken

FINAL_SEQUENCE = 1 << 62  # call-seq of an end after which no heartbeat counts any more
INLINE_BYTES = 256  # longer values have to be requested, so that they are received from one source only
MAX_VALUE_BYTES = 64 << 20  # maximum size of a decompressed value
COMPRESS_MIN_BYTES = 1024  # values up to this size aren't compressed
COMPRESSION_LEVEL = 6
MAX_UINT32 = 0xFFFFFFFF
MAX_PORT = 65535


class LeaseRecord(NamedTuple):
    """A backend in a log. With `relay`, the log's source only forwards it and doesn't have the lease."""

    backend: Backend
    relay: bool = False


class EndRecord(NamedTuple):
    """The end of a backend: heartbeats with a call-seq up to `seq` are obsolete.

    The record expires at `until`. `first_heard_at` is that of the ended instance, or inf if unknown.
    """

    id: str
    seq: int
    until: float = 0.0
    first_heard_at: float = inf


class ReleaseRecord(NamedTuple):
    """The source of this log no longer has the lease of a backend; others may. It expires at `until`."""

    id: str
    until: float = 0.0


class ValueRecord(NamedTuple):
    """A value in a log; `data` is None if the value has to be requested.

    `kind` is a `ValueKind`, or a kind that only a later release knows.
    """

    kind: int
    fencing_token: FencingToken
    digest: bytes
    data: bytes | None


class CoreList(NamedTuple):
    """The value of kind `CORE`: the members' addresses, and which of them is the leader ("": none)."""

    members: tuple[Address, ...]
    leader: Address


class ZonedAddress(NamedTuple):
    """The address of a proxy and the number of its zone."""

    zone: int
    address: Address


BackendRecord = LeaseRecord | EndRecord | ReleaseRecord
Record = BackendRecord | ValueRecord


def pack_address(address: Address) -> int:
    """Pack an IPv4 `ip:port` into 48 bits.

    Raises:
        InvalidAddressError: The address is not valid.
    """
    host, _, port = address.rpartition(":")
    try:
        number = int(port)
        packed_host = socket.inet_aton(host)
    except (ValueError, OSError) as error:
        raise InvalidAddressError(address) from error
    if not 0 < number <= MAX_PORT:
        raise InvalidAddressError(address)
    return int.from_bytes(packed_host, "big") << 16 | number


def unpack_address(number: int) -> Address:
    """Unpack 48 bits into an `ip:port`; the inverse of `pack_address`."""
    return f"{socket.inet_ntoa(struct.pack('>I', number >> 16 & MAX_UINT32))}:{number & MAX_PORT}"


def address_hash(address: Address) -> int:
    """The CRC-32 of an address, which identifies it to processes that know the address."""
    return zlib.crc32(address.encode())


def encode_members(addresses: Iterable[Address], leader: Address = "") -> bytes:
    """Encode a value of kind `CORE`: the members' addresses, and which of them is the leader ("": none)."""
    members = list(addresses)
    position = members.index(leader) + 1 if leader in members else 0
    return pb.Members(addresses=map(pack_address, members), leader=position).SerializeToString()


def decode_members(data: bytes) -> CoreList:
    """Decode the addresses and the leader from a value of kind `CORE`.

    Raises:
        MalformedValueError: The bytes can't be decoded.
    """
    message = _parse_members(data, "list of the core's members")
    members = tuple(map(unpack_address, message.addresses))
    has_leader = 0 < message.leader <= len(members)
    return CoreList(members, members[message.leader - 1] if has_leader else "")


def members_or_none(data: bytes) -> tuple[Address, ...] | None:
    """Decode the addresses from a value of kind `CORE`; None if the bytes can't be decoded."""
    try:
        return decode_members(data).members
    except MalformedValueError:
        return None


def encode_ingresses(ingresses: Iterable[ZonedAddress]) -> bytes:
    """Encode a value of kind `INGRESSES`: the zone number and address of each proxy."""
    packed = [pack_address(address) << 12 | zone for zone, address in ingresses]
    return pb.Members(addresses=packed).SerializeToString()


def decode_ingresses(data: bytes) -> list[ZonedAddress]:
    """Decode the zone number and address of each proxy from a value of kind `INGRESSES`.

    Raises:
        MalformedValueError: The bytes can't be decoded.
    """
    message = _parse_members(data, "list of ingresses")
    return [ZonedAddress(number & 0xFFF, unpack_address(number >> 12)) for number in message.addresses]


def _parse_members(data: bytes, kind: str) -> pb.Members:
    try:
        return pb.Members.FromString(data)
    except DecodeError as error:
        raise MalformedValueError(kind, len(data)) from error


def fill_reply(reply: pb.FollowReply, now: float, records: Iterable[Record]) -> None:
    """Add records to a reply; points in time become durations relative to `now`."""
    names: dict[str, int] = {}
    for record in records:
        into = reply.records.add()
        match record:
            case LeaseRecord():
                _fill_lease(into.lease, now, record, names)
            case EndRecord():
                into.end.id = record.id
                into.end.after = 0 if record.seq >= FINAL_SEQUENCE else record.seq + 1
            case ReleaseRecord():
                into.release = record.id
            case ValueRecord():
                _fill_value(into.value, record)
    reply.names.extend(names)


def _fill_lease(into: pb.LeaseRecord, now: float, record: LeaseRecord, names: dict[str, int]) -> None:
    backend = record.backend
    into.id = backend.id
    into.address = backend.address
    into.capacity = backend.capacity
    into.seq = backend.seq
    into.service = names.setdefault(backend.service, len(names))
    into.zone = names.setdefault(backend.zone, len(names))
    into.generation = names.setdefault(backend.generation, len(names))
    into.draining = backend.draining
    into.relay = record.relay
    if backend.slow_start_until > now:
        into.slow_start_ms = int(min(1000 * (backend.slow_start_until - now), MAX_UINT32))
    into.age_ds = min(max(0, round(10 * (now - backend.first_heard_at))), MAX_UINT32)


def _fill_value(into: pb.ValueRecord, record: ValueRecord) -> None:
    into.kind = record.kind
    into.term, into.number = record.fencing_token
    into.digest = record.digest
    if record.data is None or len(record.data) > INLINE_BYTES:
        into.large = True
    else:
        into.value = record.data


def records(reply: pb.FollowReply, now: float) -> Iterator[Record]:
    """Decode the records of a reply. Records that refer to missing names are skipped."""
    names = reply.names
    for record in reply.records:
        match record.WhichOneof("kind"):
            case "lease":
                lease = record.lease
                if max(lease.service, lease.zone, lease.generation) < len(names):
                    yield _lease(lease, names, now)
            case "end":
                end = record.end
                yield EndRecord(end.id, end.after - 1 if end.after else FINAL_SEQUENCE)
            case "release":
                yield ReleaseRecord(record.release)
            case "value":
                value = record.value
                data = None if value.large else value.value
                token = FencingToken(value.term, value.number)
                yield ValueRecord(value.kind, token, value.digest, data)


def _lease(lease: pb.LeaseRecord, names: Sequence[str], now: float) -> LeaseRecord:
    backend = Backend(
        id=lease.id,
        service=names[lease.service],
        address=lease.address,
        zone=names[lease.zone],
        generation=names[lease.generation],
        capacity=lease.capacity,
        draining=lease.draining,
        slow_start_until=now + lease.slow_start_ms / 1000 if lease.slow_start_ms else 0.0,
        seq=lease.seq,
        first_heard_at=now - lease.age_ds / 10,
    )
    return LeaseRecord(backend, lease.relay)


def value_message(record: ValueRecord) -> pb.Message:
    """Build the response to a value request, with the complete value, compressed if it is long."""
    data = record.data or b""
    message = pb.Message()
    value = message.value
    value.kind = record.kind
    value.term, value.number = record.fencing_token
    value.digest = record.digest
    value.packed = len(data) > COMPRESS_MIN_BYTES
    value.value = zlib.compress(data, COMPRESSION_LEVEL) if value.packed else data
    return message


def value_data(value: pb.Value) -> bytes | None:
    """The bytes of a received value; None if they can't be decompressed."""
    if not value.packed:
        return value.value
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(value.value, MAX_VALUE_BYTES)
        return data if decompressor.eof else None
    except zlib.error:
        return None
