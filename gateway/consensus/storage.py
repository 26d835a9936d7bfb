"""What a member keeps on disk: generations of one record, each a `dbm.dumb` of its own.

A generation is the files `gen-N.dat` and `gen-N.dir`. It counts if both are whole and the record's checksum
is right; the newest that counts is loaded, the last two are kept. Each save is a new generation, so whatever
becomes of a save, those before it stay as they are. It syncs three times: both files and the folder. So is
what a start finds, before it counts as saved.
"""

from __future__ import annotations

import logging
import os
import zlib
from dbm import dumb

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import PersistentState, get_entry, put_entry

SCHEMA = 1
RETAINED_GENERATIONS = 2  # generations
MAX_FILE_BYTES = 32 << 20  # of a file that is read at all
PREFIX = "gen-"

log = logging.getLogger("gateway.consensus")


class _ModelessDatabase(dumb._Database):
    """`dbm.dumb` on a disk that has no file modes."""

    def _chmod(self, file: object) -> None:
        pass


class Store:
    """The generations in a folder, which the first save makes if need be. One thread at a time may use it.

    Raises OSError if the folder can't be read.
    """

    def __init__(self, folder: str) -> None:
        self.folder = os.path.abspath(folder)
        self.folder_is_synced = False  # the folder, and its name is synced
        self.valid_generations: list[int] = []  # generations that count, oldest first
        self.unsynced = True  # the loaded one may be: a kill leaves files as they are
        self.last_generation = max(self._numbers(), default=0)  # of any, whole or not
        self.newest_record = self._load()

    def load(self) -> PersistentState | None:
        """The newest record that is whole; None if there is none."""
        return self.newest_record

    def _load(self) -> PersistentState | None:
        newest_record: PersistentState | None = None
        for number in sorted(self._numbers(), reverse=True):
            if len(self.valid_generations) == RETAINED_GENERATIONS:
                break
            try:
                stored = self._read(number)
            except Exception as problem:  # whatever garbage makes of the parsers
                log.warning("generation %d is passed over: %s: %s", number, type(problem).__name__, problem)
                continue
            self.valid_generations.insert(0, number)
            newest_record = newest_record or stored
        return newest_record

    def save(self, record: PersistentState) -> None:
        """Write a record and return once it lasts. Raises OSError; what was there before is there still.

        The one that was loaded is only synced; where that fails, the next save writes it anew.
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
        self.valid_generations, self.newest_record = (
            [*self.valid_generations, self.last_generation][-RETAINED_GENERATIONS:],
            record,
        )
        self._remove_obsolete()

    def _remove_obsolete(self) -> None:
        """What doesn't count takes room; it goes once the newest that does is synced, never before."""
        for number in self._numbers():
            if number not in self.valid_generations:
                self._remove(number)

    def _create_folder(self) -> None:
        """Whoever made the folder may have been killed before its name was synced, so that is done anyway."""
        new, path = [self.folder], self.folder
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
            data, told = generation[b"record"], generation[b"sum"]
        if told != b"%d %d" % (len(data), zlib.crc32(data)):
            raise ValueError("checksum is wrong")
        return unpack(data)

    def _remove(self, number: int) -> None:
        for suffix in (".dir", ".dat", ".bak"):
            _unlink(self._path(number) + suffix)


def pack(record: PersistentState) -> bytes:
    """A record as bytes."""
    message = pb.Record(schema=SCHEMA, disk=record.disk, term=record.term, vote=record.vote)
    put_entry(record.entry, message.entry)
    return message.SerializeToString()


def unpack(data: bytes) -> PersistentState:
    """A record from its bytes. Raises ValueError or protobuf's DecodeError if they are none of ours."""
    message = pb.Record()
    message.ParseFromString(data)
    if message.schema != SCHEMA or not message.disk:
        raise ValueError(f"a record of schema {message.schema}")
    return PersistentState(message.disk, message.term, message.vote, get_entry(message.entry))


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
