"""Logs: a ring in memory, written to standard error when something goes wrong, and little else.

ring = Ring.install()             # of the root logger
log.info("joined %s", name)       # stays in the ring, unformatted
ring.spill("no leader for 10 s")  # writes what the ring holds, as JSON lines
"""

from __future__ import annotations

import logging
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

from gateway.runtime.clock import steady

MAX_RECORDS = 400  # records
DUMP_INTERVAL_S = 5.0  # between two times that the ring is written
MAX_LINES_PER_SECOND = 5  # warnings and notices that are written at once
NOTICE = 25  # level of what is as it should be, and rare
logging.addLevelName(NOTICE, "NOTICE")


class LogRing(logging.Handler):
    """Keeps the latest records. They are formatted only when written, so their arguments must not change.

    A record of level ERROR or above, or `spill`, writes all that the ring holds, at most every 5 s; what
    comes in between stays and is written with the next record or `tick` after that. A WARNING or NOTICE is
    written at once, up to 5 a second; those beyond stay in the ring. No record is written twice. Records of
    the logger `aloud` are written at once, whatever their level.
    """

    def __init__(
        self,
        size: int = MAX_RECORDS,
        write: Callable[[str], Any] | None = None,
        clock: Callable[[], float] = steady,
        immediate_logger: str = "",
    ) -> None:
        super().__init__()
        self.records: deque[logging.LogRecord] = deque(maxlen=size)
        self.clock = clock
        self.out = write or _to_stderr
        self.dump_pending = False
        self.next_dump = float("-inf")
        self.second, self.lines = float("-inf"), 0
        self.dropped, self.immediate_logger = 0, immediate_logger

    @classmethod
    def install(cls, size: int = MAX_RECORDS, immediate_logger: str = "") -> LogRing:
        """A ring that takes all records of the program from level INFO on."""
        ring, root = cls(size, immediate_logger=immediate_logger), logging.getLogger()
        logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
        logging._srcfile = None  # no look at the caller's frame: it costs most
        root.handlers[:] = [ring]
        root.setLevel(logging.INFO)
        return ring

    def handle(self, record: logging.LogRecord) -> bool:
        """Keep a record; no lock is needed for that."""
        if record.name == self.immediate_logger or (
            NOTICE <= record.levelno <= logging.WARNING and self._line_allowed()
        ):
            self._write([record])
            return True
        self.records.append(record)
        if record.levelno >= logging.ERROR:
            self.dump_pending = True
        if self.dump_pending:
            self.tick()
        return True

    def dump(self, why: str) -> None:
        """Something went wrong: write the ring, now or once 5 s are over since the last time."""
        self.handle(logging.LogRecord("gateway.log_ring", logging.ERROR, "", 0, "spilled: %s", (why,), None))

    def tick(self) -> None:
        """Write what is owed, if its time has come."""
        now = self.clock()
        if self.dump_pending and now >= self.next_dump:
            self.next_dump, self.dump_pending = now + DUMP_INTERVAL_S, False
            records = list(self.records)
            self.records.clear()
            self._write(records)

    def flush(self) -> None:
        """Write what is owed at once: the program ends."""
        self.next_dump = float("-inf")
        self.tick()

    def _line_allowed(self) -> bool:
        now = self.clock()
        if now >= self.second + 1:
            self.second, self.lines = now, 0
        self.lines += 1
        return self.lines <= MAX_LINES_PER_SECOND

    def _write(self, records: list[logging.LogRecord]) -> None:
        try:
            if self.formatter is None:
                self.formatter = _json_lines()
            self.out("".join(self._line(record) for record in records))
        except Exception:  # a log must not stop the program
            self.dropped += len(records)

    def _line(self, record: logging.LogRecord) -> str:
        try:
            return self.format(record) + "\n"
        except Exception:  # arguments that don't fit
            self.dropped += 1
            return ""


def _json_lines() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter  # costs some at the start, and most runs never need it

    return JsonFormatter(
        "{created}{levelname}{name}{message}",
        style="{",
        rename_fields={"created": "time", "levelname": "level", "name": "logger"},
    )


def _to_stderr(lines: str) -> None:
    sys.stderr.write(lines)
    sys.stderr.flush()
