"""The client of the counter service: pipelined add calls, each with exactly one reply before it expires."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

from ingress import interface as io
from ingress.net.http_messages import Address, Response, ResponseReader
from ingress.net.request_statistics import RequestStatistics

log = logging.getLogger(__name__)

CONNECTION_COUNT = 4  # so that a bad or stuck response delays few calls; the counter accepts 32
STUCK_S = 1.0  # a connection is replaced after this time without any response to its calls
STALL_S = 0.05  # a connection is replaced if a response stalls midway for this time
RETIRE_S = 1.5  # time for outstanding responses on a replaced connection
RETRY_S = 0.1  # wait before connecting again
CONNECT_S = 0.5
TOTAL = re.compile(rb"-?\d+(\.\d+)?([eE][+-]?\d{1,2})?")  # finite; given back charges may make it negative


class Add:
    """An add call, with the loop time by which it needs a reply."""

    __slots__ = ("began", "due", "name", "reply", "text")

    def __init__(self, name: int, text: bytes, began: float, due: float) -> None:
        self.name = name
        self.text = text
        self.began = began
        self.due = due
        self.reply: io.CounterReply | None = None


class CounterConnection(asyncio.Protocol):
    """A connection to the counter. Responses arrive in the order of the calls."""

    def __init__(self, line: ReconnectingCounterLink) -> None:
        self.line = line
        self.loop = line.counter.loop
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        # Calls that were written. Expired calls are kept, so that late responses match their calls.
        self.awaiting_reply: deque[Add] = deque()
        self.last_active_at = 0.0
        self.served = False
        self.retired = False
        self.closed = False
        self.stall: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's isn't a subclass
        self.line.connection_ready(self)

    def write(self, add: Add) -> None:
        """Send a call."""
        assert self.transport is not None
        if not self.awaiting_reply:
            self.last_active_at = self.loop.time()
        self.awaiting_reply.append(add)
        self.transport.write(add.text)

    def data_received(self, data: bytes) -> None:
        """Parse responses. A response that is malformed or stalls midway ends the connection."""
        if self.closed:
            return
        self.last_active_at = self.loop.time()
        if self.stall is not None:
            self.stall.cancel()
        for answer in self.reader.feed(data):
            self.answered(answer)
        if self.reader.broken:
            self.end(f"spoilt: {self.reader.broken}", corrupt=True)
        elif self.reader.partial and not self.closed:
            self.stall = self.loop.call_later(STALL_S, self.end, "spoilt: it stops midway", True)

    def answered(self, answer: Response) -> None:
        """Match a response to the oldest unanswered call, and report its outcome."""
        if self.closed:
            return
        if not self.awaiting_reply:
            self.end("an answer to no call")
            return
        if answer.status == HTTPStatus.OK and TOTAL.fullmatch(answer.body) is None:
            self.end("spoilt: not a total", corrupt=True)
            return
        add = self.awaiting_reply.popleft()
        self.served = True
        self.line.counter.newest = max(self.line.counter.newest, add.began)
        if answer.status == HTTPStatus.OK:
            self.line.counter.tell(add, io.Outcome.OK, float(answer.body))
        elif answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.line.counter.tell(add, io.Outcome.FULL)
        else:
            nothing_added = answer.status in (400, 404)
            log.warning("counter: status %d", answer.status)
            self.line.counter.tell(add, io.Outcome.CONNECT_FAILED if nothing_added else io.Outcome.TIMEOUT)
        if not answer.keep or (self.retired and not self.awaiting_reply):
            self.end("done")

    def retire(self) -> None:
        """Retire the connection: another one has taken over, and late responses may arrive for `RETIRE_S`."""
        self.retired = True
        if self.awaiting_reply:
            self.loop.call_later(RETIRE_S, self.end, "retired")
        else:
            self.end("retired")

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self.end("closed")

    def end(self, why: str, corrupt: bool = False) -> None:
        """End the connection, on which no further responses are possible.

        Calls that were written may have been added; after a `corrupt` response, the first of them has been
        answered.

        The link is informed first: a reply may cause the next call, which must not be written here.
        """
        if self.closed:
            return
        self.closed = True
        if self.line.counter.statistics is not None:
            self.line.counter.statistics.counts[f"counter connection {why}"] += 1
        if self.stall is not None:
            self.stall.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.line.lost(self)
        for n, add in enumerate(self.awaiting_reply):
            self.line.counter.tell(add, io.Outcome.ERROR if corrupt and n == 0 else io.Outcome.TIMEOUT)
        self.awaiting_reply.clear()


class ReconnectingCounterLink:
    """Keeps one connection to the counter's current address; calls wait while there is none."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.loop = counter.loop
        self.link: CounterConnection | None = None
        self.unsent: deque[Add] = deque()
        self.unresolved: deque[Add] = deque()  # calls without a reply, oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.wanted = asyncio.Event()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Connect, and reconnect whenever the connection is lost or the counter's address changes."""
        while True:
            address = self.counter.address
            link = CounterConnection(self)
            began = self.loop.time()
            self.wanted.clear()
            try:
                async with asyncio.timeout(CONNECT_S):
                    await self.loop.create_connection(self.factory(link), *address)
            except (OSError, TimeoutError) as error:
                log.debug("counter: connect: %r", error)
            except Exception:  # after any error the link must go on connecting, or calls would wait forever
                log.exception("counter")
            else:
                await self.wanted.wait()
                # A connection that was used, or was only closed as idle, is replaced at once.
                if link.served or self.loop.time() - began > STUCK_S or self.counter.address != address:
                    continue
            await asyncio.sleep(RETRY_S)

    @staticmethod
    def factory(link: CounterConnection) -> Callable[[], CounterConnection]:
        """Return this connection; used as the protocol factory."""
        return lambda: link

    def connection_ready(self, link: CounterConnection) -> None:
        """Switch to a connection that is open, and send the waiting calls on it."""
        old = self.link
        self.link = link
        waiting = [a for a in self.unsent if a.reply is None]
        self.unsent.clear()
        for add in waiting:
            link.write(add)
        if old is not None:
            old.retire()

    def lost(self, link: CounterConnection) -> None:
        """Replace a connection that has ended, if it is the current one."""
        if self.link is link:
            self.link = None
            self.wanted.set()

    def call(self, add: Add) -> None:
        """Send a call, or let it wait for a connection until it expires."""
        self.unresolved.append(add)
        if self.link is None:
            self.unsent.append(add)
        else:
            self.link.write(add)
        self.schedule_expiry()

    def schedule_expiry(self) -> None:
        """Set the timer for the oldest call without a reply."""
        while self.unresolved and self.unresolved[0].reply is not None:
            self.unresolved.popleft()
        if self.timer is None and self.unresolved:
            self.timer = self.loop.call_at(self.unresolved[0].due, self.expire)

    def expire(self) -> None:
        """Reply to expired calls.

        One that was never written has certainly not been added (CONNECT_FAILED), others may have been
        (TIMEOUT).
        """
        self.timer = None
        now = self.loop.time()
        link = self.link
        late = [a for a in self.unresolved if a.reply is None and a.due <= now]
        unsent = {a for a in late if a in self.unsent}
        for add in unsent:
            self.unsent.remove(add)
        if link is not None and link.awaiting_reply and now - link.last_active_at > STUCK_S:
            link.end("stuck")
        elif link is not None and late and self.overtaken(link):
            link.end("overtaken")
        for add in late:
            self.counter.tell(add, io.Outcome.CONNECT_FAILED if add in unsent else io.Outcome.TIMEOUT)
        self.schedule_expiry()

    def overtaken(self, link: CounterConnection) -> bool:
        """Whether only this connection is stuck: another one has answered a later call."""
        return (
            bool(link.awaiting_reply)
            and link.last_active_at < self.loop.time() - self.counter.timeout
            and (self.counter.newest > link.awaiting_reply[0].began)
        )

    def close(self) -> None:
        """End the connection, when the process shuts down."""
        self.task.cancel()
        if self.link is not None:
            self.link.end("the program ends")


class Counter:
    """The client of the counter service; `timeout` is the time for a reply, in seconds.

    All calls of one name use the same link, so that the service receives them in order.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout: float,
        on_reply: Callable[[io.CounterReply], None],
        statistics: RequestStatistics | None = None,
    ) -> None:
        self.loop = loop
        self.address = address
        self.timeout = timeout
        self.on_reply = on_reply
        self.statistics = statistics
        self.newest = 0.0  # when the latest answered call began
        self.calls: dict[int, deque[Add]] = {}  # by counter name, until all calls before them have replies
        self.lines = [ReconnectingCounterLink(self) for _ in range(CONNECTION_COUNT)]

    def move(self, address: Address) -> None:
        """Change the counter's address; old connections are used until the new ones are open."""
        if address != self.address:
            self.address = address
            for line in self.lines:
                line.wanted.set()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Add an amount to the number `name`; the addition expires after `lifetime` seconds."""
        now = self.loop.time()
        lifetime_ms = max(1, min(60_000, round(lifetime * 1000)))
        text = (
            f"POST /v2/numbers/{name}?delta={amount:.6f}&life_ms={lifetime_ms} HTTP/1.1\r\n"
            f"Host: {self.address[0]}:{self.address[1]}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        add = Add(name, text, now, now + self.timeout)
        self.calls.setdefault(name, deque()).append(add)
        self.lines[name % CONNECTION_COUNT].call(add)

    def tell(self, add: Add, outcome: io.Outcome, total: float = 0.0) -> None:
        """Report the outcome of a call; only the first report has an effect.

        Replies for one name are passed on in the order of the calls, even if an old connection and a new one
        carry them at once: that is how the decisions know which call is meant.
        """
        if add.reply is not None:
            return
        add.reply = io.CounterReply(add.name, outcome, self.loop.time() - add.began, total)
        if self.statistics is not None:
            self.statistics.counts[f"counter {outcome.value}"] += 1
            self.statistics.counts["counter ms"] += round(1000 * add.reply.elapsed)
        calls = self.calls[add.name]
        while calls and (reply := calls[0].reply) is not None:
            calls.popleft()
            self.on_reply(reply)
        if not calls and self.calls.get(add.name) is calls:
            del self.calls[add.name]

    def close(self) -> None:
        """End all connections, at the end of the program."""
        for line in self.lines:
            line.close()
