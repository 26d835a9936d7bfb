"""Tests of settings that change while a program runs."""

from __future__ import annotations

import json
import logging
import os
import random
from pathlib import Path
from typing import Any

import pytest

from gateway.membership import events
from gateway.membership.proxy import ProxyMembership
from gateway.membership.types import ValueKind
from gateway.programs.controller_node import ControllerNode
from gateway.programs.settings_reload import Reload, differences
from gateway.runtime import settings as files
from gateway.runtime.settings import SettingsFile
from gateway.state_machine import FencingToken, Send

OLD, NEW = ("10.1.0.1:7661",), ("10.2.0.2:7661", "10.3.0.3:7661")


def document(*seeds: str, ip: str = "10.1.0.5", **self_: Any) -> dict[str, Any]:
    return {"self": {"ip": ip, **self_}, "network": {"port-range": [7660, 7675], "seeds": list(seeds)}}


class File:
    """A settings file whose modification time differs after each write."""

    def __init__(self, folder: Path) -> None:
        self.path, self.time = folder / "settings.yaml", 10**9
        self.write(json.dumps(document("10.1.0.1:8407")))
        self.file = SettingsFile({files.VARIABLE: str(self.path)})
        self.seeds: list[tuple[str, ...]] = []
        self.reload = Reload(self.file.read().unwrap(), self.file, self.seeds.append)

    def write(self, text: str) -> None:
        self.path.write_text(text)
        self.time += 1
        os.utime(self.path, (self.time, self.time))

    def look(self) -> list[tuple[str, ...]]:
        """Return the result of the next check."""
        self.seeds.clear()
        self.reload.check_file()
        return list(self.seeds)


def test_new_seeds_are_applied_and_other_changes_need_a_restart(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = File(tmp_path)
    assert file.look() == []
    caplog.set_level(logging.INFO)
    file.write(json.dumps(document("10.2.0.2:8407", "10.3.0.3:8407", role="other", limits={"max-fds": 9})))
    assert file.look() == [NEW] and file.look() == []
    assert "need a restart: self.role, self.limits.max-fds" in caplog.text
    file.write("self: [")
    assert file.look() == [] and "settings stay as they are" in caplog.text
    file.path.unlink()
    assert file.look() == []
    file.write(json.dumps(document("10.2.0.2:8407", "10.3.0.3:8407")))
    assert file.look() == []
    file.reload.read()  # SIGHUP without a change
    assert file.seeds == []


def test_differences_are_reported_by_setting_names() -> None:
    def read(**more: Any) -> files.Settings:
        return files.read_document({**document("10.1.0.1:8407"), **more}).unwrap()

    told = differences(read(), read(terms={"bounds": {"apply-s": 9}}, provider={"beat-s": 3}))
    assert told == ["provider.beat-s", "terms.bounds.apply-s"]


def sent_to(outputs: list[Any]) -> set[str]:
    return {out.to for out in outputs if isinstance(out, Send)}


def test_proxy_without_known_controllers_contacts_the_new_seeds() -> None:
    proxy = ProxyMembership("10.1.0.5:7660", 0, OLD, random.Random(1))
    assert sent_to(proxy.handle(100.0, events.Tick())) == set(OLD)
    assert sent_to(proxy.handle(100.1, events.SetSeeds(NEW))) == set(NEW)
    assert sent_to(proxy.handle(102.0, events.Tick())) <= set(NEW)


def test_proxy_with_known_controllers_contacts_new_seeds_only_if_those_are_unreachable() -> None:
    proxy = ProxyMembership("10.1.0.5:7660", 0, OLD, random.Random(1))
    proxy.handle(100.0, events.SetCore(OLD))
    assert sent_to(proxy.handle(100.1, events.SetSeeds(NEW))) <= set(OLD)
    followed = set()
    for i in range(80):
        followed |= sent_to(proxy.handle(100.2 + i * 0.05, events.Tick()))
    assert set(NEW) <= followed


class Driver:
    """Records the receivers of messages."""

    def __init__(self) -> None:
        self.to: set[str] = set()

    def send(self, to: str, plane: int, message: Any) -> None:
        self.to.add(to)

    def write(self, token: int, record: Any) -> None:
        self.token = token


def test_joining_controller_also_asks_the_new_seeds() -> None:
    driver, now = Driver(), 100.0
    settings = files.read_document(document("10.1.0.1:8407", **{"fresh-start": False})).unwrap()
    controller_node = ControllerNode(driver, lambda: now, settings, None, random.Random(1))
    controller_node.tick(now)
    controller_node.written(driver.token)
    now += 1
    controller_node.tick(now)
    assert driver.to == set(OLD)
    controller_node.set_seeds(NEW)
    now += 1
    controller_node.tick(now)
    assert set(NEW) <= driver.to


def test_reelected_leader_publishes_the_ingresses_again() -> None:
    """Another leader may have published others in between, which are the newest values until then."""
    settings = files.read_document(document("10.1.0.1:8407", **{"fresh-start": False})).unwrap()
    controller_node = ControllerNode(Driver(), lambda: 100.0, settings, None, random.Random(1))
    known: list[tuple[int, str]] = []
    controller_node.membership.log.ingresses = lambda now: known  # type: ignore[method-assign]

    def held() -> Any:
        return controller_node.membership.value_store.newest_by_kind[ValueKind.INGRESSES]

    controller_node.raft.replica.enter_term(3)
    controller_node.publish_ingresses(99.0)
    assert (
        ValueKind.INGRESSES not in controller_node.membership.value_store.newest_by_kind
    )  # a new leader knows none yet
    known += [(0, "10.1.0.5:7660"), (1, "10.2.0.5:7660")]
    controller_node.publish_ingresses(100.0)
    own = held()
    controller_node.handle_membership(events.Publish(ValueKind.INGRESSES, FencingToken(4, 1), b""))
    controller_node.publish_ingresses(101.0)
    assert held().fencing_token == (4, 1)  # it isn't the leader of a later term
    controller_node.raft.replica.enter_term(5)
    controller_node.publish_ingresses(102.0)
    assert held().fencing_token[0] == 5 and held().data == own.data
