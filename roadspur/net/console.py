"""The operator console: one line a connection, answered at once; what a call means is the callee's."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

log = logging.getLogger(__name__)

MAX_LINE = 256
MOST = 16  # callers at once; one more takes the place of the one that has waited longest
IDLE_S = 2.5  # for a whole line
LINGER_S = 0.5  # for a caller to read its answer and close


class CommandRefused(Exception):
    """Why a call is answered with `error`, in a few plain words."""


class ConsoleCommand(NamedTuple):
    """What a call does: it takes so many arguments and gives the answer's lines."""

    act: Callable[..., list[str]]
    arguments: int = 0


class ConsoleConnection(asyncio.Protocol):
    """One connection of an operator's."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.line = bytearray()
        self.answered = False
        self.timer = console.loop.call_later(IDLE_S, self.answer, ["error no call came in time"])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.console.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.line += data[: MAX_LINE + 1]
        line, end, _ = self.line.partition(b"\n")
        if len(line) > MAX_LINE:
            self.answer(["error the line is too long"])
        elif end:
            self.answer(self.console.execute(bytes(line)))

    def eof_received(self) -> bool:
        """A line without its end may be cut off, and then mean another call or backend."""
        self.answer(["error the line has no end"])
        return True

    def answer(self, lines: list[str]) -> None:
        """The one answer; the connection ends with it."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.transport.write("".join(f"{line}\n" for line in lines).encode())
        self.transport.write_eof()  # a full close with bytes unread would destroy the answer
        self.timer.cancel()
        self.timer = self.console.loop.call_later(LINGER_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.answered = True
        self.timer.cancel()
        self.console.callers.pop(self, None)


class Console:
    """Listens for operators."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: Mapping[str, ConsoleCommand]) -> None:
        self.loop, self.calls = loop, calls
        self.callers: dict[ConsoleConnection, None] = {}  # in the order in which they came
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self.listener = await self.loop.create_server(lambda: ConsoleConnection(self), host, port)

    def connection_opened(self, caller: ConsoleConnection) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def execute(self, line: bytes) -> list[str]:
        """The answer to a line, whatever it holds."""
        try:
            arguments_given = line.decode("ascii").split()
        except UnicodeDecodeError:
            return ["error not a line of text"]
        call = self.calls.get(arguments_given[0]) if arguments_given else None
        if call is None:
            return ["error no such call"]
        if len(arguments_given) - 1 != call.arguments:
            return [
                f"error {arguments_given[0]} takes {call.arguments or 'no'} argument{'s'[:call.arguments != 1]}"
            ]
        try:
            return call.act(*arguments_given[1:])
        except CommandRefused as error:
            return [f"error {error}"]
        except Exception:  # an operator's call must not end the program
            log.exception("console: %r", line)
            return ["error a fault in the program"]

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()
