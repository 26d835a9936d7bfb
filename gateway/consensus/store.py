"""Storage of a member's persistent state as generations of one record, each in its own `dbm.dumb` database.

A generation consists of the files `gen-N.dat` and `gen-N.dir`. It is valid if both are complete and the
checksum of the record matches. The newest valid generation is loaded; the last two are retained. Each save
writes a new generation, so the earlier ones are intact whatever happens during a save. A save syncs both
files and the folder. A generation that is loaded at startup is synced in the same way before it counts as
saved.
"""

from __future__ import annotations

import contextlib
import logging
import os
import zlib
from dbm import dumb

from gateway.consensus.codec import decode_record, encode_record
from gateway.consensus.entry import PersistentState
from gateway.consensus.errors import CorruptGenerationError

RETAINED_GENERATIONS = 2
MAX_FILE_BYTES = 32 << 20  # larger files aren't read
PREFIX = "gen-"
MAX_GENERATION_DIGITS = 15  # a file name with a longer number was not written by this module
RECORD_KEY = b"record"
CHECKSUM_KEY = b"sum"

log = logging.getLogger("gateway.consensus")


class _ModelessDatabase(dumb._Database):
    """`dbm.dumb` for file systems without file modes."""

    def _chmod(self, file: object) -> None:
        pass


class Store:
    """The generations in a folder, which is created by the first save if necessary.

    Not thread-safe.

    Raises:
        OSError: The folder can't be read.
    """

    def __init__(self, folder: str) -> None:
        self.folder = os.path.abspath(folder)
        self.folder_is_synced = False  # it exists and its directory entry is synced
        self.valid_generations: list[int] = []  # oldest first
        self.unsynced = True  # of the loaded generation: its process may have been killed
        self.last_generation = max(
            self._generations(), default=0
        )  # highest number of any generation, valid or not
        self.newest_record = self._load()

    def load(self) -> PersistentState | None:
        """The newest valid record; None if there is none."""
        return self.newest_record

    def _load(self) -> PersistentState | None:
        newest: PersistentState | None = None
        for generation in sorted(self._generations(), reverse=True):
            if len(self.valid_generations) == RETAINED_GENERATIONS:
                break
            try:
                record = self._read(generation)
            except CorruptGenerationError as error:
                log.warning("generation skipped: %s", error)
                continue
            self.valid_generations.insert(0, generation)
            newest = newest or record
        return newest

    def save(self, record: PersistentState) -> None:
        """Write a record and return once it is durable.

        A record equal to the loaded one is only synced. If that fails, the next save writes it again.

        Raises:
            OSError: The disk is full or failing. The earlier records are unaffected.
        """
        if not self.folder_is_synced:
            self._create_folder()
            self.folder_is_synced = True
        loaded_is_unsynced = self.unsynced
        self.unsynced = False
        if loaded_is_unsynced and record == self.newest_record:
            self._sync(self.valid_generations[-1])
            self._remove_obsolete()
            return
        self.last_generation += 1
        try:
            self._write(self.last_generation, encode_record(record))
        except BaseException:
            self._remove(self.last_generation)
            raise
        self.valid_generations = [*self.valid_generations, self.last_generation][-RETAINED_GENERATIONS:]
        self.newest_record = record
        self._remove_obsolete()

    def _remove_obsolete(self) -> None:
        """Remove invalid and superseded generations; only safe once the newest valid one is synced."""
        for generation in self._generations():
            if generation not in self.valid_generations:
                self._remove(generation)

    def _create_folder(self) -> None:
        """Create the folder if it is missing, and sync its directory entry in any case.

        A process that created the folder may have been killed before syncing.
        """
        created = [self.folder]
        path = self.folder
        while not os.path.isdir(path := os.path.dirname(path)):
            created.append(path)
        os.makedirs(self.folder, exist_ok=True)
        for path in created:
            _sync(os.path.dirname(path))

    def _path(self, generation: int) -> str:
        return os.path.join(self.folder, f"{PREFIX}{generation}")

    def _generations(self) -> set[int]:
        try:
            names = os.listdir(self.folder)
        except FileNotFoundError:
            return set()
        stems = (name[len(PREFIX) :].partition(".")[0] for name in names if name.startswith(PREFIX))
        return {int(stem) for stem in stems if stem.isdecimal() and len(stem) <= MAX_GENERATION_DIGITS}

    def _write(self, generation: int, data: bytes) -> None:
        path = self._path(generation)
        with _ModelessDatabase(path, "", "n") as database:
            database[RECORD_KEY] = data
            database[CHECKSUM_KEY] = _checksum(data)
        _unlink(path + ".bak")
        self._sync(generation)

    def _sync(self, generation: int) -> None:
        for name in (self._path(generation) + ".dat", self._path(generation) + ".dir", self.folder):
            _sync(name)

    def _read(self, generation: int) -> PersistentState:
        path = self._path(generation)
        try:
            for name in (path + ".dat", path + ".dir"):
                if os.path.getsize(name) > MAX_FILE_BYTES:
                    raise CorruptGenerationError(generation, f"{name} exceeds the size limit")
            with _ModelessDatabase(path, "", "r") as database:
                data = database[RECORD_KEY]
                checksum = database[CHECKSUM_KEY]
            if checksum != _checksum(data):
                raise CorruptGenerationError(generation, "the checksum is wrong")
            return decode_record(data)
        except CorruptGenerationError:
            raise
        except Exception as error:  # the `dbm.dumb` parser may raise any exception on garbage
            raise CorruptGenerationError(generation, f"{type(error).__name__}: {error}") from error

    def _remove(self, generation: int) -> None:
        for suffix in (".dir", ".dat", ".bak"):
            _unlink(self._path(generation) + suffix)


def _checksum(data: bytes) -> bytes:
    return b"%d %d" % (len(data), zlib.crc32(data))


def _sync(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _unlink(path: str) -> None:
    with contextlib.suppress(OSError):
        os.unlink(path)
