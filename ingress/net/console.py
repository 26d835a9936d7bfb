"""The operator console: a TCP service that executes one command line per connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

from ingress.net.errors import CommandRejectedError

log = logging.getLogger(__name__)

MAX_LINE = 256  # bytes
MAX_CONNECTIONS = 16  # open at the same time; a further connection replaces the oldest one
IDLE_S = 2.5  # time in which a complete line has to arrive
LINGER_S = 0.5  # time that the other side gets to read the answer and close


class ConsoleCommand(NamedTuple):
    """A command. `act` takes this number of string arguments and returns the lines of the answer."""

    act: Callable[..., list[str]]
    arguments: int = 0


class ConsoleConnection(asyncio.Protocol):
    """An operator's connection, with one command and one answer."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.line = bytearray()
        self.answered = False
        self.timer = console.loop.call_later(IDLE_S, self.answer, ["error no call came in time"])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the console."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's isn't a subclass
        self.console.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Collect the line, and execute it once it is complete."""
        if self.answered:
            return
        self.line += data[: MAX_LINE + 1]
        line, end, _ = self.line.partition(b"\n")
        if len(line) > MAX_LINE:
            self.answer(["error the line is too long"])
        elif end:
            self.answer(self.console.execute(bytes(line)))

    def eof_received(self) -> bool:
        """Handle the end of the input. A line without its newline isn't executed.

        It may be truncated and then name another command or backend.
        """
        self.answer(["error the line has no end"])
        return True

    def answer(self, lines: list[str]) -> None:
        """Send the answer, and close the connection after it."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.transport.write("".join(f"{line}\n" for line in lines).encode())
        self.transport.write_eof()  # closing with unread bytes would discard the answer
        self.timer.cancel()
        self.timer = self.console.loop.call_later(LINGER_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the closed connection."""
        self.answered = True
        self.timer.cancel()
        self.console.callers.pop(self, None)


class Console:
    """The listener of the console; `calls` are the commands by name."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: Mapping[str, ConsoleCommand]) -> None:
        self.loop = loop
        self.calls = calls
        self.callers: dict[ConsoleConnection, None] = {}  # oldest first
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on this address. Raises OSError if that fails."""
        self.listener = await self.loop.create_server(lambda: ConsoleConnection(self), host, port)

    def connection_opened(self, caller: ConsoleConnection) -> None:
        """Register a connection; beyond `MAX_CONNECTIONS`, the oldest one is aborted."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CONNECTIONS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def execute(self, line: bytes) -> list[str]:
        """Execute a line and return the answer's lines; a failure is one line that starts with `error`."""
        try:
            arguments_given = line.decode("ascii").split()
        except UnicodeDecodeError:
            return ["error not a line of text"]
        call = self.calls.get(arguments_given[0]) if arguments_given else None
        if call is None:
            return ["error no such call"]
        if len(arguments_given) - 1 != call.arguments:
            return [
                f"error {arguments_given[0]} takes {call.arguments or 'no'} argument"
                f"{'s'[: call.arguments != 1]}"
            ]
        try:
            return call.act(*arguments_given[1:])
        except CommandRejectedError as error:
            return [f"error {error}"]
        except Exception:  # a failing command must not end the process
            log.exception("console: %r", line)
            return ["error a fault in the program"]

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()
