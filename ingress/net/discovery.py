"""The client of the discovery service, which watches the list of backends continuously."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, cast

import httptools

from ingress import interface as io
from ingress.net.exchange import Endpoint
from ingress.net.http_messages import Address, read_address

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 3.2  # an empty line arrives every 2 s; a change has to be known within 6 s
RETRY_S = 0.4  # longest wait after the first failure; doubled with each further one
RETRY_DELAY_PER_INGRESS_S = 0.05  # the longest wait is at least this much per ingress
MAX_RETRY_DELAY_S = 6.0  # a change has to be known within 6 s
CONNECT_S = 1.0
MAX_LINE = 8 * 1024 * 1024  # bytes
PHASES = {"SERVING": io.Phase.RUNNING, "DRAINING": io.Phase.STOPPING, "DELETED": io.Phase.DELETED}


class Listing(NamedTuple):
    """The list of backends of a version (`is_full`), or the changes to it.

    The endpoint of a deleted backend is None.
    """

    version: int
    is_full: bool
    entries: tuple[tuple[io.BackendEntry, Endpoint | None], ...]


def read_listing(message: dict[str, Any]) -> Listing:
    """Parse a decoded message of the discovery service.

    Raises:
        ValueError: It isn't a list of backends.
    """
    try:
        is_full = message["snapshot"]
        if not isinstance(is_full, bool):
            raise ValueError(f"snapshot: {is_full!r}")
        return Listing(
            int(message["index"]), is_full, tuple(_read_entry(fields) for fields in message["endpoints"])
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a list of backends: {error!r}") from error


def _read_entry(fields: dict[str, Any]) -> tuple[io.BackendEntry, Endpoint | None]:
    name = fields["name"]
    status = fields["status"]
    born = float(fields.get("since_ms") or 0) / 1000
    weight = float(fields.get("weight", 1.0))
    if not isinstance(name, str) or not name or not math.isfinite(born) or not math.isfinite(weight):
        raise ValueError(f"not a backend: {fields!r}")
    if status not in PHASES:
        raise ValueError(f"status: {status!r}")
    phase = PHASES[status]
    # A deleted backend has no address.
    endpoint = None if phase is io.Phase.DELETED else Endpoint(read_address(fields["address"]), born)
    return io.BackendEntry(
        name,
        phase,
        weight,
        str(fields.get("type", "")),
        int(fields.get("group") or 0),
        born,
        str(fields.get("zone", "")),
    ), endpoint


class DiscoveryWatch(asyncio.Protocol):
    """A connection: first the whole list if no version is known, then the changes as JSON lines.

    `on_text` handles a message, and returns the version reached or raises ValueError. `ended` gets the reason
    of the end.
    """

    def __init__(self, on_text: Callable[[bytes], int], host: Address, index: int | None) -> None:
        self.on_text = on_text
        self.host = host
        self.index = index
        self.parser = httptools.HttpResponseParser(self)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.rest = bytearray()
        self.accepted = False
        self.last_received_at = self.loop.time()
        self.ended: asyncio.Future[str] = self.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request on the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's isn't a subclass
        self.send_request()

    def send_request(self) -> None:
        """Request the whole list, or the changes since the known version."""
        assert self.transport is not None
        what = b"" if self.index is None else b"?stream=1&index=%d" % self.index
        self.transport.write(
            b"GET /v1/servers%s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (what, self.host[0].encode(), self.host[1])
        )

    def data_received(self, data: bytes) -> None:
        """Parse the response; malformed HTTP ends the watch."""
        if self.ended.done():
            return
        self.last_received_at = self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.end(str(error.__context__ or error))

    def on_headers_complete(self) -> None:
        """Check the head of the response: any status but 200 ends the watch."""
        self.accepted = self.parser.get_status_code() == HTTPStatus.OK
        if not self.accepted:
            self.end(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        """Handle each complete line of a stream of changes."""
        self.rest += data
        if self.index is not None:
            *lines, rest = self.rest.split(b"\n")
            self.rest = bytearray(rest)
            for line in lines:
                self.take(bytes(line))
        if len(self.rest) > MAX_LINE:
            self.end("a line without end")

    def take(self, text: bytes) -> None:
        """Handle a message; a malformed one ends the watch."""
        if text.strip() and not self.ended.done():
            try:
                self.index = self.on_text(text)
            except ValueError as error:  # the list is kept, and later changes are requested again
                self.end(f"a garbled line: {error}")

    def on_message_complete(self) -> None:
        """Request the changes, once the response with the whole list is complete."""
        if self.index is not None:
            self.end("the watch ended")
            return
        text = bytes(self.rest)
        self.rest = bytearray()
        self.take(text)
        if self.index is None:
            self.end("no list")
        else:
            self.send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, as its connection is closed."""
        self.end(f"the connection ended: {exc}" if exc else "the connection ended")

    def end(self, why: str) -> None:
        """End the watch for this reason; only the first call has an effect."""
        if not self.ended.done():
            self.ended.set_result(why)


class Backoff:
    """Exponential backoff with full jitter, so that many ingresses don't overload discovery together."""

    def __init__(self, instances: int, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.first = max(RETRY_S, RETRY_DELAY_PER_INGRESS_S * instances)

    def next(self) -> float:
        """Return the wait in seconds after one more failure."""
        window = min(MAX_RETRY_DELAY_S, self.first * 2.0 ** min(self.failures, 10))
        self.failures += 1
        return self.rng.uniform(0.0, window)


class DiscoverySource:
    """Keeps a watch on one address, from the last accepted version on (`index`; None: none yet)."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        index: int | None,
        on_listing: Callable[[DiscoverySource, Listing], None],
        backoff: Backoff,
    ) -> None:
        self.loop = loop
        self.address = address
        self.index = index
        self.on_listing = on_listing
        self.backoff = backoff
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        """Watch. Whenever the watch ends or receives nothing, begin a new one after the backoff."""
        while True:
            try:
                why = await self.follow(DiscoveryWatch(self.text, self.address, self.index))
            except (OSError, TimeoutError) as error:
                why = f"connect: {error!r}"
            except Exception:  # after any error the watch must go on, or the list would never change
                log.exception("discovery")
                why = "a fault"
            log.info("discovery: %s", why)
            await asyncio.sleep(self.backoff.next())

    async def follow(self, watch: DiscoveryWatch) -> str:
        """Run a watch until it ends, and return the reason.

        Raises:
            OSError: The service can't be reached.
            TimeoutError: It doesn't accept the connection in time.
        """
        async with asyncio.timeout(CONNECT_S):
            transport, _ = await self.loop.create_connection(lambda: watch, *self.address)
        try:
            while (left := watch.last_received_at + IDLE_TIMEOUT_S - self.loop.time()) > 0:
                done, _ = await asyncio.wait([watch.ended], timeout=left)
                if done:
                    return watch.ended.result()
            return f"silent for {IDLE_TIMEOUT_S:g} s"
        finally:
            if watch.accepted:
                self.backoff.failures = 0
            watch.end("given up")
            transport.abort()

    def text(self, text: bytes) -> int:
        """Handle a message and return its version. Raises ValueError if it is malformed."""
        listing = read_listing(json.loads(text))
        self.on_listing(self, listing)
        self.index = listing.version  # set only now: a message that couldn't be handled is requested again
        return listing.version


class Discovery:
    """Passes on the listings of the current source.

    A new source knows nothing of the old one's state, and its versions needn't continue the old ones: it is
    asked for the whole list, and takes over with that. Until then the old source is used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        index: int,
        on_listing: Callable[[Listing], None],
        instances: int = 1,
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.on_listing = on_listing
        self.instances = instances
        self.rng = random.Random(seed)
        self.source = self.newest = self.connect_to_source(address, index)

    def connect_to_source(self, address: Address, index: int | None) -> DiscoverySource:
        """Begin to watch an address, from this version on, or (None) with the whole list."""
        return DiscoverySource(
            self.loop, address, index, self.apply_backend_list, Backoff(self.instances, self.rng)
        )

    def move(self, address: Address) -> None:
        """Change the discovery service's address."""
        if address == self.newest.address:
            return
        if self.newest is not self.source:
            self.newest.task.cancel()
        self.newest = self.connect_to_source(address, None)

    def apply_backend_list(self, source: DiscoverySource, listing: Listing) -> None:
        """Pass on a source's listing. A new source takes over with its first listing."""
        if source is self.newest:
            if source is not self.source:
                self.source.task.cancel()
                self.source = source
        elif source is not self.source:
            return
        self.on_listing(listing)

    def close(self) -> None:
        """Stop watching."""
        self.source.task.cancel()
        self.newest.task.cancel()
