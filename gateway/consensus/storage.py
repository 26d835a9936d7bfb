"""Storage of a member's persistent state: generations of one record, each a `dbm.dumb` database of its own.

A generation is the files `gen-N.dat` and `gen-N.dir`. It is valid if both are complete and the record's
checksum is right; the newest valid one is loaded, the last two are retained. Each save writes a new
generation, so whatever happens during a save, the earlier ones stay as they are. A save syncs three times:
both files and the folder. A generation that is loaded at the start is synced likewise before it counts as
saved.
"""

from __future__ import annotations

import logging
import os
import zlib
from dbm import dumb

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import MOST_STRETCH, PersistentState, get_entry, put_entry

SCHEMA = 1
RETAINED_GENERATIONS = 2
MAX_FILE_BYTES = 32 << 20  # larger files aren't read
PREFIX = "gen-"

log = logging.getLogger("gateway.consensus")


class _ModelessDatabase(dumb._Database):
    """`dbm.dumb` for file systems without file modes."""

    def _chmod(self, file: object) -> None:
        pass


class Store:
    """The generations in a folder, which the first save creates if needed. Not thread-safe: one thread at a
    time may use it. Raises OSError if the folder can't be read.
    """

    def __init__(self, folder: str) -> None:
        self.folder = os.path.abspath(folder)
        self.folder_is_synced = False  # it exists, and its name is synced
        self.valid_generations: list[int] = []  # oldest first
        self.unsynced = True  # the loaded one may be: a killed process may have left it so
        self.last_generation = max(self._numbers(), default=0)  # of all, valid or not
        self.newest_record = self._load()

    def load(self) -> PersistentState | None:
        """The newest valid record; None if there is none."""
        return self.newest_record

    def _load(self) -> PersistentState | None:
        newest_record: PersistentState | None = None
        for number in sorted(self._numbers(), reverse=True):
            if len(self.valid_generations) == RETAINED_GENERATIONS:
                break
            try:
                stored = self._read(number)
            except Exception as problem:  # garbage may raise anything in the parsers
                log.warning("generation %d is passed over: %s: %s", number, type(problem).__name__, problem)
                continue
            self.valid_generations.insert(0, number)
            newest_record = newest_record or stored
        return newest_record

    def save(self, record: PersistentState) -> None:
        """Write a record and return once it is durable. Raises OSError; the earlier records then remain.

        A record equal to the loaded one is only synced; if that fails, the next save writes it again.
        """
        if not self.folder_is_synced:
            self._create_folder()
            self.folder_is_synced = True
        unsynced, self.unsynced = self.unsynced, False
        if unsynced and record == self.newest_record:
            self._sync(self.valid_generations[-1])
            return self._remove_obsolete()
        self.last_generation += 1
        try:
            self._write(self.last_generation, pack(record))
        except BaseException:
            self._remove(self.last_generation)
            raise
        self.valid_generations = [*self.valid_generations, self.last_generation][-RETAINED_GENERATIONS:]
        self.newest_record = record
        self._remove_obsolete()

    def _remove_obsolete(self) -> None:
        """Remove invalid and superseded generations; called only once the newest valid one is synced."""
        for number in self._numbers():
            if number not in self.valid_generations:
                self._remove(number)

    def _create_folder(self) -> None:
        """Create the folder if it is missing, and sync its name in any case: the process that created it may
        have been killed before it did so."""
        new = [self.folder]
        path = self.folder
        while not os.path.isdir(path := os.path.dirname(path)):
            new.append(path)
        os.makedirs(self.folder, exist_ok=True)
        for path in new:
            _sync(os.path.dirname(path))

    def _path(self, number: int) -> str:
        return os.path.join(self.folder, f"{PREFIX}{number}")

    def _numbers(self) -> set[int]:
        try:
            names = os.listdir(self.folder)
        except FileNotFoundError:
            return set()
        stems = (name[len(PREFIX) :].partition(".")[0] for name in names if name.startswith(PREFIX))
        return {int(stem) for stem in stems if stem.isdecimal() and len(stem) < 16}

    def _write(self, number: int, data: bytes) -> None:
        path = self._path(number)
        with _ModelessDatabase(path, "", "n") as generation:
            generation[b"record"] = data
            generation[b"sum"] = b"%d %d" % (len(data), zlib.crc32(data))
        _unlink(path + ".bak")
        self._sync(number)

    def _sync(self, number: int) -> None:
        for name in (self._path(number) + ".dat", self._path(number) + ".dir", self.folder):
            _sync(name)

    def _read(self, number: int) -> PersistentState:
        path = self._path(number)
        for name in (path + ".dat", path + ".dir"):
            if os.path.getsize(name) > MAX_FILE_BYTES:
                raise ValueError(f"{name} is too long")
        with _ModelessDatabase(path, "", "r") as generation:
            data = generation[b"record"]
            told = generation[b"sum"]
        if told != b"%d %d" % (len(data), zlib.crc32(data)):
            raise ValueError("checksum is wrong")
        return unpack(data)

    def _remove(self, number: int) -> None:
        for suffix in (".dir", ".dat", ".bak"):
            _unlink(self._path(number) + suffix)


def pack(record: PersistentState) -> bytes:
    """Serialize a record."""
    message = pb.Record(schema=SCHEMA, disk=record.disk, term=record.term, vote=record.vote)
    if record.stretch > 1.0:
        message.stretch = record.stretch
    put_entry(record.entry, message.entry)
    return message.SerializeToString()


def unpack(data: bytes) -> PersistentState:
    """Parse a serialized record. Raises ValueError or protobuf's DecodeError if it isn't one."""
    message = pb.Record()
    message.ParseFromString(data)
    if message.schema != SCHEMA or not message.disk:
        raise ValueError(f"a record of schema {message.schema}")
    return PersistentState(
        message.disk,
        message.term,
        message.vote,
        get_entry(message.entry),
        min(MOST_STRETCH, max(1.0, message.stretch)),
    )


def _sync(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _unlink(path: str) -> None:
    try:
        os.unlink(path)
    except OSError:
        pass
