"""Power losses: any unsynced part of a member's folder may be present, missing or torn, independently."""

from __future__ import annotations

import os
import random
import shutil
from pathlib import Path
from typing import Any

import pytest

from gateway.consensus.store import Store
from tests.gateway.consensus.test_storage import record


class PowerLostError(BaseException):
    """Raised at the simulated power loss."""


class Power:
    """Records what is synced under a folder, and simulates a power loss at a call that changes files.

    `left` is the number of such calls until then. `sure` maps a folder to its synced names and their inodes;
    `synced` maps an inode to the content of its last sync. `fails` is the probability that a sync fails.
    """

    def __init__(self, top: Path, after: Path, rng: random.Random, patch: pytest.MonkeyPatch) -> None:
        self.top, self.after, self.rng, self.left = top, after, rng, -1
        self.sure: dict[Path, dict[str, int]] = {}
        self.synced: dict[int, bytes] = {}
        self.held: list[int] = []  # kept open, so that no inode number is reused
        self.fails = 0.0
        self.real = {name: getattr(os, name) for name in ("fsync", "unlink", "remove", "mkdir", "rename")}
        for name in self.real:
            patch.setattr(os, name, lambda *args, name=name, **more: self.call(name, *args, **more))

    def call(self, name: str, *args: Any, **more: Any) -> None:
        self.left -= 1
        if self.left == 0:
            self.lose()
            raise PowerLostError
        if name != "fsync":
            return self.real[name](*args, **more)
        if self.rng.random() < self.fails:
            raise OSError(5, "the disk is in trouble")
        path = Path(os.readlink(f"/proc/self/fd/{args[0]}"))
        if path.is_dir():
            self.sure[path] = {p.name: p.stat().st_ino for p in path.iterdir()}
        else:
            self.held.append(os.dup(args[0]))
            self.synced[path.stat().st_ino] = path.read_bytes()
        return None

    def lose(self) -> None:
        """Copy what may be on disk after a power loss at this point into the folder `after`."""
        if self.after.exists():
            shutil.rmtree(self.after)
        self.copy(self.top, self.after)

    def copy(self, here: Path, to: Path) -> None:
        self.real["mkdir"](to)
        now = {p.name: p.stat().st_ino for p in here.iterdir()}
        sure = self.sure.get(here, {})
        for name in sorted({*now, *sure}):
            number = (
                now.get(name)
                if now.get(name) == sure.get(name)
                else self.rng.choice([now.get(name), sure.get(name)])
            )
            if number is None:
                continue
            if (here / name).is_dir():
                self.copy(here / name, to / name)
                continue
            whole = (here / name).read_bytes() if number == now.get(name) else b""
            (to / name).write_bytes(self.content(number, whole))

    def content(self, number: int, whole: bytes) -> bytes:
        kept = self.synced.get(number, b"")
        if not whole or kept == whole:
            return kept
        cut = self.rng.randrange(len(whole) + 1)
        return self.rng.choice([kept, whole, whole[:cut], whole[:cut] + bytes(len(whole) - cut)])


class NoFolderSync(Store):
    """Injected bug: directory entries aren't synced."""

    def _sync(self, number: int) -> None:
        for suffix in (".dat", ".dir"):
            descriptor = os.open(self._path(number) + suffix, os.O_RDONLY)
            os.fsync(descriptor)
            os.close(descriptor)


class NoParentSync(Store):
    """Injected bug: the directory entry of a new folder isn't synced."""

    def _create_folder(self) -> None:
        os.makedirs(self.folder, exist_ok=True)


class TrustsUnsynced(Store):
    """Injected bug: a loaded record counts as synced."""

    def save(self, record: Any) -> None:
        if not self.unsynced or record != self.newest_record:
            return super().save(record)
        self._remove_obsolete()


class RemovesEarly(Store):
    """Injected bug: older generations are removed before the new one is synced."""

    def _sync(self, number: int) -> None:
        for other in self._generations() - {number}:
            self._remove(other)
        super()._sync(number)


def day(folder: Path, seed: int, kind: type[Store], patch: pytest.MonkeyPatch) -> int:
    """Restart a member repeatedly by kills, then by a power loss. Returns the newest term that was saved."""
    rng = random.Random(seed)
    top = folder / "data"
    top.mkdir()
    power = Power(top, folder / "after", rng, patch)
    heartbeat_answered = term = 0
    power.left = rng.randrange(1, 60)
    power.fails = rng.choice([0.0, 0.0, 0.1])
    try:
        while True:
            store = kind(str(top / "register"))
            found = store.load()
            assert (
                found is None
                and not heartbeat_answered
                or found is not None
                and found.term >= heartbeat_answered
            )
            if found is not None:
                try:
                    store.save(found)
                    heartbeat_answered = found.term
                    assert len(os.listdir(store.folder)) <= 4, "more than two generations"
                except OSError:
                    pass
            for _ in range(rng.randrange(4)):
                term += 1
                try:
                    store.save(record(term, 700))
                    heartbeat_answered = term
                except OSError:
                    pass
            if rng.random() < 0.5:  # killed between writing and syncing
                term += 1
                with patch.context() as inner:
                    inner.setattr(Store, "_remove", lambda *_: None)
                    inner.setattr(os, "fsync", lambda _: (_ for _ in ()).throw(OSError(5)))
                    with pytest.raises(OSError):
                        store.save(record(term, 700))
    except PowerLostError:
        pass
    after = Store(str(folder / "after" / "register")).load()
    there = 0 if after is None else after.term
    assert there >= heartbeat_answered, f"{heartbeat_answered} was saved, {there} is there"
    assert after is None or after == record(after.term, 700)
    for descriptor in power.held:
        os.close(descriptor)
    return heartbeat_answered


def test_saved_records_survive_power_loss(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    saved = 0
    for seed in range(300):
        (tmp_path / str(seed)).mkdir()
        with monkeypatch.context() as patch:
            saved += day(tmp_path / str(seed), seed, Store, patch)
    assert saved > 500


@pytest.mark.parametrize("kind", [NoFolderSync, NoParentSync, TrustsUnsynced, RemovesEarly])
def test_injected_store_bugs_are_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: type[Store]
) -> None:
    for seed in range(300):
        (tmp_path / str(seed)).mkdir()
        with monkeypatch.context() as patch:
            try:
                day(tmp_path / str(seed), seed, kind, patch)
            except AssertionError as why:
                assert "was saved" in str(why)
                return
    pytest.fail("not found")
