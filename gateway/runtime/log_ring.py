"""Log handler with a ring buffer in memory, which is written to standard error when an error occurs.

ring = LogRing.install()         # as the only handler of the root logger
log.info("joined %s", name)      # stays in the ring, unformatted
ring.dump("no leader for 10 s")  # writes the ring as JSON lines
"""

from __future__ import annotations

import logging
import sys
from collections import deque
from collections.abc import Callable

from gateway.runtime.clock import steady

MAX_RECORDS = 400  # number of records in the ring
DUMP_INTERVAL_S = 5.0  # minimum time between two dumps of the ring
MAX_LINES_PER_SECOND = 5  # warnings and notices that are written immediately
NOTICE = 25  # level of rare but normal events that are written immediately
logging.addLevelName(NOTICE, "NOTICE")


class LogRing(logging.Handler):
    """Stores the latest records. They are formatted only when written, so their arguments must not change.

    A record of level ERROR or above, or a call of `dump`, writes the complete ring, at most every 5 s.
    Records in between stay in the ring and are written with the next record or `tick` after that time. A
    WARNING or NOTICE is written immediately, up to 5 per second; the others stay in the ring. No record is
    written twice. Records of the logger named `immediate_logger` are written immediately, whatever their
    level.
    """

    def __init__(
        self,
        size: int = MAX_RECORDS,
        write: Callable[[str], object] | None = None,
        clock: Callable[[], float] = steady,
        immediate_logger: str = "",
    ) -> None:
        super().__init__()
        self.records: deque[logging.LogRecord] = deque(maxlen=size)
        self.clock = clock
        self.write = write or _write_to_stderr
        self.dump_pending = False
        self.next_dump_at = float("-inf")
        self.second_began_at = float("-inf")
        self.lines_this_second = 0
        self.dropped = 0
        self.immediate_logger = immediate_logger

    @classmethod
    def install(cls, size: int = MAX_RECORDS, immediate_logger: str = "") -> LogRing:
        """Make a ring the only handler of the root logger, for all records of level INFO and above."""
        ring = cls(size, immediate_logger=immediate_logger)
        root = logging.getLogger()
        logging.logThreads = False
        logging.logProcesses = False
        logging.logMultiprocessing = False
        # Skips the inspection of the caller's frame, which is the most expensive part.
        logging._srcfile = None
        root.handlers[:] = [ring]
        root.setLevel(logging.INFO)
        return ring

    def handle(self, record: logging.LogRecord) -> bool:
        """Store or write a record without the lock of `logging.Handler`, because `deque.append` is atomic."""
        if record.name == self.immediate_logger or (
            NOTICE <= record.levelno <= logging.WARNING and self._line_allowed()
        ):
            self._write_records([record])
            return True
        self.records.append(record)
        if record.levelno >= logging.ERROR:
            self.dump_pending = True
        if self.dump_pending:
            self.tick()
        return True

    def dump(self, reason: str) -> None:
        """Write the ring because of `reason`, now or once 5 s have passed since the last dump."""
        self.handle(
            logging.LogRecord(
                "gateway.log_ring", logging.ERROR, "", 0, "log ring dumped: %s", (reason,), None
            )
        )

    def tick(self) -> None:
        """Write a pending dump if it is due. Must be called regularly."""
        now = self.clock()
        if self.dump_pending and now >= self.next_dump_at:
            self.next_dump_at = now + DUMP_INTERVAL_S
            self.dump_pending = False
            records = list(self.records)
            self.records.clear()
            self._write_records(records)

    def flush(self) -> None:
        """Write a pending dump immediately, before the program exits."""
        self.next_dump_at = float("-inf")
        self.tick()

    def _line_allowed(self) -> bool:
        now = self.clock()
        if now >= self.second_began_at + 1:
            self.second_began_at = now
            self.lines_this_second = 0
        self.lines_this_second += 1
        return self.lines_this_second <= MAX_LINES_PER_SECOND

    def _write_records(self, records: list[logging.LogRecord]) -> None:
        try:
            if self.formatter is None:
                self.formatter = _json_formatter()
            self.write("".join(self._format_line(record) for record in records))
        except Exception:  # a logging failure must not stop the program
            self.dropped += len(records)

    def _format_line(self, record: logging.LogRecord) -> str:
        try:
            return self.format(record) + "\n"
        except Exception:  # the arguments don't match the format
            self.dropped += 1
            return ""


def _json_formatter() -> logging.Formatter:
    # Imported late, because it is slow and most processes write nothing.
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(
        "{created}{levelname}{name}{message}",
        style="{",
        rename_fields={"created": "time", "levelname": "level", "name": "logger"},
    )


def _write_to_stderr(lines: str) -> None:
    sys.stderr.write(lines)
    sys.stderr.flush()
