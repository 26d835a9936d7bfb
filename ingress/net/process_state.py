"""State in $TMPDIR that a process of an ingress shares with its successor, or a sibling during an upgrade."""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path

from ingress import interface as io

log = logging.getLogger(__name__)

NAME = "roadspur-cordons.json"
LOCK = "roadspur.lock"
PROCESS = "roadspur-process-"


class State:
    """Cordons in a file that is replaced atomically, and a locked file per live process.

    A lock ends with its process, however that ends; the mere existence of a file proves nothing. Without a
    folder, no state is kept. Errors of the file system are logged, not raised.
    """

    def __init__(self, folder: str | None) -> None:
        self.folder = Path(folder) if folder else None
        self.seen: tuple[int, int] | None = None  # inode and mtime of the cordon file when last used
        self.own = -1  # descriptor of the locked file of this process

    @contextmanager
    def alone(self) -> Iterator[None]:
        """Return a context in which no other process of the ingress reads or writes the state."""
        file = -1
        try:
            if self.folder is not None:
                file = os.open(self.folder / LOCK, os.O_CREAT | os.O_RDWR, 0o600)
                fcntl.flock(file, fcntl.LOCK_EX)
        except OSError as error:
            log.error("state: %s", error)
        try:
            yield
        finally:
            if file >= 0:
                os.close(file)

    def join(self) -> None:
        """Make this process visible to its siblings, and remove the files of dead processes."""
        if self.folder is None:
            return
        with self.alone():
            try:
                for left in self.folder.glob(f"{NAME}.*"):
                    left.unlink()
                self.own = os.open(self.folder / f"{PROCESS}{os.getpid()}", os.O_CREAT | os.O_RDWR, 0o600)
                fcntl.flock(self.own, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError as error:
                log.error("state: %s", error)
            self.siblings()

    def publish(self, clients: int, backends: int) -> None:
        """Publish this process's numbers of client and backend connections."""
        if self.own >= 0:
            os.pwrite(self.own, f"{clients:6d} {backends:6d}\n".encode(), 0)

    def siblings(self) -> list[tuple[int, int]]:
        """Return the numbers of client and backend connections of each live sibling process."""
        alive: list[tuple[int, int]] = []
        for path in self.folder.glob(f"{PROCESS}*") if self.folder is not None else ():
            if path.name == f"{PROCESS}{os.getpid()}":
                continue
            try:
                file = os.open(path, os.O_RDWR)
            except OSError:
                continue
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                path.unlink(missing_ok=True)
            except OSError:
                alive.append(read_counts(os.pread(file, 64, 0)))
            finally:
                os.close(file)
        return alive

    def changed_cordons(self) -> dict[str, io.CordonEntry] | None:
        """Return the cordons if their file is readable and has changed since it was last read or written."""
        if self.folder is None:
            return None
        try:
            with open(self.folder / NAME, encoding="utf-8") as file:
                stat = os.fstat(file.fileno())
                if (stat.st_ino, stat.st_mtime_ns) == self.seen:
                    return None
                self.seen = stat.st_ino, stat.st_mtime_ns
                return read_cordon_entries(json.load(file))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, AttributeError) as error:
            log.error("state: the cordons cannot be read: %s", error)
            return None

    def write(self, cordon_entries: Mapping[str, io.CordonEntry]) -> None:
        """Replace the cordon file atomically: readers see either the old or the new content."""
        if self.folder is None:
            return
        new = self.folder / f"{NAME}.{os.getpid()}"
        try:
            new.write_text(json.dumps(cordon_entries), encoding="utf-8")
            stat = os.stat(new)
            os.replace(new, self.folder / NAME)
            self.seen = stat.st_ino, stat.st_mtime_ns
        except OSError as error:  # the cordons still apply in this process
            log.error("state: the cordons are not kept: %s", error)

    def change(
        self,
        follow: Callable[[Mapping[str, io.CordonEntry]], None],
        order: Callable[[], Mapping[str, io.CordonEntry] | None],
    ) -> bool:
        """Change the cordons under the lock, and return whether the change was valid.

        `follow` adopts a sibling's changes, then `order` makes the change and returns the new cordons, or
        None if it isn't valid.
        """
        with self.alone():
            if (changed := self.changed_cordons()) is not None:
                follow(changed)
            cordon_entries = order()
            if cordon_entries is not None:
                self.write(cordon_entries)
            return cordon_entries is not None

    def leave(self) -> None:
        """Remove the file of this process when it ends."""
        if self.folder is not None and self.own >= 0:
            (self.folder / f"{PROCESS}{os.getpid()}").unlink(missing_ok=True)
            os.close(self.own)


def read_counts(text: bytes) -> tuple[int, int]:
    """Parse the numbers that a process has published; 0 if it hasn't published any."""
    try:
        clients, backends = map(int, text.split())
    except ValueError:
        return 0, 0
    return clients, backends


def read_cordon_entries(data: object) -> dict[str, io.CordonEntry]:
    """Parse the cordons from decoded JSON. Raises ValueError or TypeError if they are malformed."""
    if not isinstance(data, dict):
        raise ValueError("not an object")
    cordon_entries = {
        str(name): io.CordonEntry(float(since), float(back)) for name, (since, back) in data.items()
    }
    if not all(math.isfinite(t) for cordon_entry in cordon_entries.values() for t in cordon_entry):
        raise ValueError("not a time")
    return cordon_entries
