"""Conversion between consensus types and protobuf messages, and validation of received messages."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.internal.containers import RepeatedCompositeFieldContainer
from google.protobuf.message import DecodeError

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.entry import Entry, LogPosition, Member, PersistentState
from gateway.consensus.errors import CorruptRecordError, MalformedMessageError

RECORD_SCHEMA = 1
MAX_ENTRY_MEMBERS = 16  # per received entry or list of members
MAX_NAME_LENGTH = 80  # characters in the id of a disk
MAX_TERM = 1 << 48
MAX_CLOCK_S = 1e12  # maximum magnitude of a time in a message
MAX_TIMEOUT_SCALE = 10.0


def put_members(members: Iterable[Member], into: RepeatedCompositeFieldContainer[pb.Member]) -> None:
    """Append members to a repeated `Member` field."""
    for disk, address in members:
        into.add(disk=disk, address=address)


def get_members(members: Iterable[pb.Member]) -> tuple[Member, ...]:
    """The members of a repeated field."""
    return tuple(Member(m.disk, m.address) for m in members)


def put_entry(entry: Entry, into: pb.Entry, with_value: bool = True) -> None:
    """Fill in an entry message, with or without the value."""
    into.term = entry.term
    into.index = entry.log_index
    into.version = entry.version
    put_members(entry.members, into.members)
    put_members(entry.outgoing, into.outgoing)
    if with_value:
        into.value = entry.value


def get_entry(message: pb.Entry) -> Entry:
    """Read an entry from its message."""
    return Entry(
        message.term,
        message.index,
        message.version,
        get_members(message.members),
        get_members(message.outgoing),
        message.value,
    )


def last_position(message: pb.Message) -> LogPosition:
    """Position of the newest entry that the sender holds in memory."""
    return LogPosition(message.last_term, message.last_index)


def durable_position(message: pb.Message) -> LogPosition:
    """Position of the newest entry that the sender has on disk."""
    return LogPosition(message.durable_term, message.durable_index)


def base_position(message: pb.Message) -> LogPosition:
    """Position of an entry with the same value, set if the message's own entry lacks its value."""
    return LogPosition(message.base_term, message.base_index)


def entry_position(message: pb.Message) -> LogPosition:
    """Position of the entry in the message."""
    return LogPosition(message.entry.term, message.entry.index)


def encode_record(record: PersistentState) -> bytes:
    """Serialize the record of a disk."""
    message = pb.Record(schema=RECORD_SCHEMA, disk=record.disk, term=record.term, vote=record.vote)
    if record.timeout_scale > 1.0:
        message.timeout_scale = record.timeout_scale
    put_entry(record.entry, message.entry)
    return message.SerializeToString()


def decode_record(data: bytes) -> PersistentState:
    """Parse the serialized record of a disk.

    Raises:
        CorruptRecordError: The bytes are not a record of the supported schema.
    """
    try:
        message = pb.Record.FromString(data)
    except DecodeError as error:
        raise CorruptRecordError(f"{len(data)} bytes are not a record: {error}") from error
    if message.schema != RECORD_SCHEMA:
        raise CorruptRecordError(f"a record of schema {message.schema}, expected {RECORD_SCHEMA}")
    if not message.disk:
        raise CorruptRecordError("a record without the id of its disk")
    return PersistentState(
        message.disk,
        message.term,
        message.vote,
        get_entry(message.entry),
        min(MAX_TIMEOUT_SCALE, max(1.0, message.timeout_scale)),
    )


def validate(message: pb.Message) -> None:
    """Check that a received message is one that a member or learner could send.

    Raises:
        MalformedMessageError: A field is out of range.
    """
    if not pb.HEARTBEAT <= message.kind <= pb.RESTARTED:
        raise MalformedMessageError("kind", message.kind)
    if not 0 < len(message.disk) <= MAX_NAME_LENGTH:
        raise MalformedMessageError("disk", message.disk)
    if not message.to_disk and message.kind != pb.JOIN:
        raise MalformedMessageError("to_disk", message.to_disk)
    highest_term = max(message.term, message.last_term, message.durable_term, message.base_term)
    if highest_term > MAX_TERM:
        raise MalformedMessageError("term", highest_term)
    for time in (message.sent_at, message.replied_at, message.confirmed_reply_at):
        if not abs(time) < MAX_CLOCK_S:  # also rejects NaN
            raise MalformedMessageError("sent_at", time)
    if message.timeout_scale and not 1.0 <= message.timeout_scale <= MAX_TIMEOUT_SCALE:
        raise MalformedMessageError("timeout_scale", message.timeout_scale)
    if len(message.members) > MAX_ENTRY_MEMBERS:
        raise MalformedMessageError("members", len(message.members))
    if message.kind == pb.APPEND_ENTRIES:
        _validate_entry(message)


def _validate_entry(message: pb.Message) -> None:
    entry = message.entry
    if entry.term != message.term or not entry.index:
        raise MalformedMessageError("entry", (entry.term, entry.index))
    if not 0 < len(entry.members) <= MAX_ENTRY_MEMBERS or len(entry.outgoing) > MAX_ENTRY_MEMBERS:
        raise MalformedMessageError("entry", (len(entry.members), len(entry.outgoing)))
    if any(not m.disk or not m.address for m in entry.members):
        raise MalformedMessageError("entry", list(entry.members))
