"""The record on disk: torn, missing or corrupt generations are skipped, and a failed save does no harm."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest

from gateway.consensus.entry import PersistentState, bootstrap_entry
from gateway.consensus.store import Store

SEEDS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]


def record(term: int, size: int = 2000) -> PersistentState:
    entry = bootstrap_entry(SEEDS)._replace(version=term, value=random.Random(term).randbytes(size))
    return PersistentState("disk", term, "first-10.0.0.2:1", entry)


def loaded_term(folder: Path) -> int:
    """Term of the record loaded at a start, 0 if none; the record must be unmodified."""
    found = Store(str(folder)).load()
    assert found is None or found == record(found.term)
    return 0 if found is None else found.term


def files(folder: Path, number: int) -> list[Path]:
    return sorted(folder.glob(f"gen-{number}.*"))


def test_last_two_generations_are_retained(tmp_path: Path) -> None:
    store = Store(str(tmp_path / "deep" / "folder"))
    assert store.load() is None
    for term in range(1, 6):
        store.save(record(term))
        assert loaded_term(tmp_path / "deep" / "folder") == term
    names = sorted(os.listdir(store.folder))
    assert names == ["gen-4.dat", "gen-4.dir", "gen-5.dat", "gen-5.dir"]
    again = Store(store.folder)
    again.save(record(6))
    assert sorted({n.split(".")[0] for n in os.listdir(store.folder)}) == ["gen-5", "gen-6"]


def test_damaged_newest_generation(tmp_path: Path) -> None:
    """Truncate, overwrite, empty or remove each file of the newest generation: the previous one is loaded."""
    store, rng = Store(str(tmp_path)), random.Random(3)
    store.save(record(1))
    store.save(record(2))
    for path in files(tmp_path, 2):
        whole = path.read_bytes()
        lengths = {0, 1, len(whole) - 1, *(rng.randrange(len(whole)) for _ in range(20))}
        torn = [whole[:n] for n in lengths] + [whole[:n] + bytes(len(whole) - n) for n in lengths]
        torn += [rng.randbytes(len(whole)), b"'record', (0, 99999999999999999999)\n'sum', (0, 1)\n", None]
        for data in torn:
            if data is None:
                path.unlink()
            else:
                path.write_bytes(data)
            assert loaded_term(tmp_path) in ((1, 2) if data == whole or data == whole[:-1] else (1,))
            path.write_bytes(whole)
    assert loaded_term(tmp_path) == 2


def test_unrelated_files_in_the_folder(tmp_path: Path) -> None:
    store = Store(str(tmp_path))
    store.save(record(1))
    for name in ("gen-7.dat", "gen-8.dir", "gen-9.bak", "gen-x.dat", "gen-.dir", "other"):
        (tmp_path / name).write_bytes(b"\x00\xff(")
    again = Store(str(tmp_path))
    assert again.load() == record(1)
    again.save(record(2))
    assert loaded_term(tmp_path) == 2
    assert [p.name for p in files(tmp_path, 10)] == ["gen-10.dat", "gen-10.dir"]
    assert not any(files(tmp_path, n) for n in (7, 8, 9))


@pytest.mark.parametrize("failing", [1, 2, 3])
def test_a_failing_sync(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: int) -> None:
    store, synced = Store(str(tmp_path)), []
    store.save(record(1))
    sync = os.fsync

    def fsync(descriptor: int) -> None:
        synced.append(descriptor)
        if len(synced) == failing:
            raise OSError("no space left on device")
        sync(descriptor)

    monkeypatch.setattr(os, "fsync", fsync)
    with pytest.raises(OSError):
        store.save(record(2))
    assert loaded_term(tmp_path) == 1
    synced.clear()
    failing = 0
    store.save(record(3))
    assert loaded_term(tmp_path) == 3 and len(synced) == 3
    assert files(tmp_path, 1) and not files(tmp_path, 2)


def test_loaded_record_is_synced_before_it_counts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A killed process may have left the loaded record unsynced, so it is synced before it counts.

    After a failed sync, the record is written again, because the failed sync may have marked the pages as
    clean.
    """
    Store(str(tmp_path)).save(record(1))
    synced, sync = [], os.fsync
    monkeypatch.setattr(os, "fsync", lambda descriptor: synced.append(descriptor) or sync(descriptor))
    store = Store(str(tmp_path))
    store.save(record(1))
    assert (
        len(synced) == 4 and files(tmp_path, 1) and not files(tmp_path, 2)
    )  # includes the sync of the folder's directory entry
    store.save(record(1))
    assert len(synced) == 7 and files(tmp_path, 2)
    store = Store(str(tmp_path))
    monkeypatch.setattr("gateway.consensus.store._sync", lambda path: path.endswith(".dat") and os.close(-1))
    with pytest.raises(OSError):
        store.save(record(1))
    monkeypatch.undo()
    store.save(record(1))
    assert files(tmp_path, 3) and loaded_term(tmp_path) == 1


def test_full_disk_at_startup(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process runs without its disk; the folder is created once there is space."""
    folder = tmp_path / "register"
    with monkeypatch.context() as full:
        full.setattr(os, "mkdir", lambda *_: (_ for _ in ()).throw(OSError(28, "no space left on device")))
        store = Store(str(folder))
        assert store.load() is None
        with pytest.raises(OSError):
            store.save(record(1))
    store.save(record(2))
    assert loaded_term(folder) == 2


def test_failed_write_leaves_earlier_records(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = Store(str(tmp_path))
    store.save(record(1))
    monkeypatch.setattr(
        "gateway.consensus.store._ModelessDatabase._addval", lambda *_: (_ for _ in ()).throw(OSError(28))
    )
    for _ in range(3):
        with pytest.raises(OSError):
            store.save(record(2))
    assert len(os.listdir(tmp_path)) == 2 and loaded_term(tmp_path) == 1


def test_full_disk_fails_folder_syncs_and_removals(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """From the first save on; what failed saves leave behind is newer than any record that counts."""
    folder, real = tmp_path / "register", os.fsync

    def sync(descriptor: int) -> None:
        if os.path.isdir(os.readlink(f"/proc/self/fd/{descriptor}")):
            raise OSError(28, "no space left on device")
        real(descriptor)

    def refuse(*_: object) -> None:
        raise OSError(28, "no space left on device")

    def fails(store: Store, term: int) -> None:
        with monkeypatch.context() as full:
            full.setattr(os, "fsync", sync)
            full.setattr(os, "unlink", refuse)
            with pytest.raises(OSError):
                store.save(record(term))

    store = Store(str(folder))
    fails(store, 1)
    fails(store, 2)
    assert Store(str(folder)).load() in (None, record(1), record(2))
    store.save(record(3))
    assert loaded_term(folder) == 3 and len(os.listdir(folder)) == 2
    fails(store, 4)
    again = Store(str(folder))
    found = again.load()
    assert found in (record(3), record(4))
    fails(again, found.term)  # not synced, so it doesn't count yet
    again.save(record(5))
    assert loaded_term(folder) == 5
