"""One ingress process on real sockets: configuration, start-up, signals, shutdown."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import uvloop

from ingress import interface as io
from ingress.control import Gateway
from ingress.errors import ConfigurationError
from ingress.net.console import Console, ConsoleCommand
from ingress.net.counter import Counter
from ingress.net.discovery import Discovery, Listing, read_listing
from ingress.net.errors import CommandRejectedError
from ingress.net.http_messages import Address, read_address
from ingress.net.ingress import Ingress
from ingress.net.peers import Peers
from ingress.net.process_state import State
from ingress.net.server import Server
from ingress.net.upstream import Upstream
from ingress.wire_fields import WireError
from ingress.wire_settings import read_settings

log = logging.getLogger("ingress")

STATE_CHECK_INTERVAL_S = 0.25  # how often state that another process of this ingress wrote is checked for
BODY_MEMORY_DIVISOR = 8  # larger bodies may together take 1/8 of the memory
RESERVED_DESCRIPTORS = 64  # file descriptors not used for client and backend connections


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one ingress process.

    `sockets` is the limit on file descriptors, `memory` is in bytes, `idle` the seconds after which idle
    backend connections are closed, `known` a saved list of backends, `load_fields` the values of a load
    report.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    console: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int
    memory: int
    idle: float
    known: Listing | None
    settings: io.Settings
    load_fields: tuple[str, ...]


def flatten(value: object, path: str) -> Iterator[str]:
    """Yield nested settings in the simulator's path=value form, so that both are read by the same code."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for i, item in enumerate(value):
            yield from flatten(item, f"{path}.{i}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(str, value))}"
    elif value is not None:
        yield f"{path}={str(value).lower() if isinstance(value, bool) else value}"


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration file named by PROXY_CONFIG; its name and addresses default to the environment's.

    Raises:
        ConfigurationError: The file is missing or invalid.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"{path}: {error}") from error
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise ConfigurationError(f"{path}: settings: missing")
    for key in ("name", "listen", "discovery", "console"):
        data.setdefault(key, environ.get(f"PROXY_{key.upper()}"))

    def address(key: str) -> Address | None:
        return read_address(str(data[key])) if data.get(key) else None

    try:
        settings, fields = read_settings(list(flatten(data["settings"], "")))
        listen = address("listen")
        discovery = address("discovery")
        if listen is None or discovery is None:
            raise ValueError("listen and discovery are needed")
        return Config(
            name=str(data["name"]),
            listen=listen,
            discovery=discovery,
            counter=address("counter"),
            console=address("console"),
            peer_listen=address("peer_listen"),
            peers_all=address("peers_all"),
            peers=tuple(read_address(str(p)) for p in data.get("peers", ())),
            seed=int(str(data.get("seed", "0")), 16),
            sockets=int(data.get("limits", {}).get("sockets", 1024)),
            memory=int(1e6 * float(data.get("limits", {}).get("memory_mb", 64))),
            idle=float(data["settings"].get("limits", {}).get("connIdle", 15.0)),
            known=read_listing(data["known"]) if data.get("known") else None,
            settings=settings,
            load_fields=fields,
        )
    except (WireError, ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigurationError(f"{path}: {error}") from error


def follow(server: Server) -> None:
    """Check periodically for state shared by another process of this ingress."""
    server.ingress.follow(len(server.connections))
    server.loop.call_later(STATE_CHECK_INTERVAL_S, follow, server)


def calls(server: Server) -> dict[str, ConsoleCommand]:
    """The console commands that operators may send to this process, by name."""

    def done(success: bool, failure: str) -> list[str]:
        if not success:
            raise CommandRejectedError(failure)
        return ["done"]

    def health() -> list[str]:
        return done(server.ready(), "this process takes no requests now")

    def cordon(backend: str) -> list[str]:
        return done(server.ingress.cordon(backend, True), "no such backend")

    def uncordon(backend: str) -> list[str]:
        return done(server.ingress.cordon(backend, False), "no such backend")

    def quiesce() -> list[str]:
        server.drain()
        return ["done"]

    def resume() -> list[str]:
        return done(server.resume(), "this process is ending")

    return {
        "health": ConsoleCommand(health),
        "counters": ConsoleCommand(lambda: [*server.ingress.figures(), "end"]),
        "cordon": ConsoleCommand(cordon, 1),
        "uncordon": ConsoleCommand(uncordon, 1),
        "quiesce": ConsoleCommand(quiesce),
        "resume": ConsoleCommand(resume),
    }


async def connect_to_quota_services(
    loop: asyncio.AbstractEventLoop, config: Config, ingress: Ingress
) -> None:
    """Start the client of the shared counter and the exchange of usage reports, where they are configured."""
    settings = config.settings
    if config.counter is not None and settings.counter:
        ingress.counter = Counter(
            loop, config.counter, settings.counter_timeout, ingress.submit, ingress.statistics
        )
    if config.peer_listen is not None and settings.peers:
        peers = Peers(config.peers, config.peers_all, settings.me, ingress.submit)
        await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
        ingress.peers = peers


def handle_signals(
    loop: asyncio.AbstractEventLoop, config: Config, ingress: Ingress, discovery: Discovery
) -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets; SIGHUP rereads the discovery and counter addresses."""

    def reload() -> None:
        """Read the file again and move to its discovery and counter addresses; all else needs a restart."""
        try:
            new = read_config(os.environ)
        except ConfigurationError as error:
            log.error("the configuration stays as it was: %s", error)
            return
        discovery.move(new.discovery)
        if ingress.counter is not None and new.counter is not None:
            ingress.counter.move(new.counter)
        log.info("%s has reread its configuration", config.name)

    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then drain and shut down."""
    loop = asyncio.get_running_loop()
    share = max(16, (config.sockets - RESERVED_DESCRIPTORS) // 2)
    upstream = Upstream(loop, config.settings.connect_timeout or 1.0, config.idle, share)
    gateway = Gateway(config.settings, config.seed, time.time())
    state = State(os.environ.get("TMPDIR"))
    state.join()
    ingress = Ingress(loop, config.settings, gateway, upstream, config.load_fields, state)
    ingress.follow()
    await connect_to_quota_services(loop, config, ingress)
    if config.known is not None:
        ingress.apply_backend_list(config.known, saved=True)
    discovery = Discovery(
        loop,
        config.discovery,
        config.known.version if config.known else 0,
        ingress.apply_backend_list,
        config.settings.instances,
        config.seed,
    )
    server = Server(loop, ingress, share, config.memory // BODY_MEMORY_DIVISOR)
    follow(server)
    stop = handle_signals(loop, config, ingress, discovery)
    await server.listen(*config.listen)
    console = Console(loop, calls(server))
    if config.console is not None:
        await console.listen(*config.console)
    log.info("%s serves on %s:%d", config.name, *config.listen)
    for plan in config.settings.plans:
        log.info("%s", plan)
    gc.freeze()  # objects created at start-up live as long as the process
    await stop.wait()
    log.info("%s stops: %d requests pending", config.name, len(ingress.pending))
    await server.leave()
    discovery.close()
    if ingress.counter is not None:
        ingress.counter.close()
    upstream.close()
    console.close()
    state.leave()
    ingress.statistics.close()
    log.info("%s has stopped", config.name)


def main() -> int:
    """Run the ingress and return the exit code. A failure to start is reported in one line."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(levelname)s %(message)s"
    )
    try:
        uvloop.run(serve(read_config(os.environ)))
    except (ConfigurationError, OSError) as error:
        print(f"ingress: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
