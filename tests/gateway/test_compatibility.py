"""Tests of compatibility with earlier releases: stored data, and field numbers and types of messages."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from google.protobuf.descriptor import Descriptor, FieldDescriptor

from gateway.config.changes import ConfigState
from gateway.consensus import consensus_pb2
from gateway.consensus.entry import Member
from gateway.consensus.store import Store
from gateway.membership import membership_pb2
from gateway.quota import quota_pb2
from ingress.net.process_state import State

DATA = Path(__file__).parents[1] / "data"
STORED = DATA / "stored"
"""Written by the release before the packages were renamed."""

MEMBERS = (
    Member("first-10.1.0.1:7661", "10.1.0.1:7661"),
    Member("first-10.1.0.2:7661", "10.1.0.2:7661"),
    Member("disk-ab12", "10.2.0.1:7661"),
)
ROOT_MESSAGES = {
    "consensus message": consensus_pb2.Message,
    "consensus record on disk": consensus_pb2.Record,
    "membership message": membership_pb2.Message,
    "membership members": membership_pb2.Members,
    "quota message": quota_pb2.Message,
    "quota shard map": quota_pb2.ShardMap,
}


def test_consensus_record_of_an_earlier_release_is_loaded(tmp_path: Path) -> None:
    folder = tmp_path / "register"
    shutil.copytree(STORED / "register", folder)
    stored = Store(str(folder)).load()
    assert stored is not None
    assert stored.disk == "first-10.1.0.1:7661"
    assert (stored.term, stored.vote, stored.timeout_scale) == (7, "disk-ab12", 2.0)
    assert (stored.entry.position, stored.entry.version) == ((7, 12), 5)
    assert stored.entry.members == MEMBERS and stored.entry.outgoing == MEMBERS[:2]
    assert stored.entry.value == (STORED / "value-form-2.bin").read_bytes()


@pytest.mark.parametrize("form", [1, 2])
def test_config_value_of_an_earlier_release_is_decoded(form: int) -> None:
    state = ConfigState.decode((STORED / f"value-form-{form}.bin").read_bytes())
    assert state.generation == 2
    assert list(state.accepted.values()) == [1, 2] and state.forgotten_generation == 0
    assert state.document is not None
    assert sorted(state.document.tenants) == ["land-office", "survey"]
    assert sorted(state.document.routes) == ["order", "read"]


def test_config_value_is_written_as_before() -> None:
    stored = (STORED / "value-form-2.bin").read_bytes()
    assert ConfigState.decode(stored).encode() == stored


def test_cordons_of_an_earlier_release_are_read(tmp_path: Path) -> None:
    shutil.copy(STORED / "roadspur-cordons.json", tmp_path)
    cordons = State(str(tmp_path)).changed_cordons()
    assert cordons == {"b0": (1700000000.5, 0.0), "b1": (1700000001.0, 1700000300.25)}


@pytest.mark.parametrize("name", sorted(ROOT_MESSAGES))
def test_message_schema_is_unchanged(name: str) -> None:
    recorded = json.loads((DATA / "wire_schema.json").read_text(encoding="utf-8"))
    assert schema(ROOT_MESSAGES[name].DESCRIPTOR) == recorded[name]


def schema(message: Descriptor) -> dict[str, list[Any]]:
    """Return type, cardinality and nested content of a message's fields, by field number."""
    return {str(field.number): [field.type, field.is_repeated, parts(field)] for field in message.fields}


def parts(field: FieldDescriptor) -> dict[str, list[Any]] | list[int] | None:
    """Return the fields of a nested message by number, or the numbers of an enumeration."""
    if field.message_type is not None:
        return schema(field.message_type)
    if field.enum_type is not None:
        return sorted(value.number for value in field.enum_type.values)
    return None
