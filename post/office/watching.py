"""The inspector's place in a sorter: what it is told, and what becomes of what it says."""

from __future__ import annotations

import json
import logging
from typing import Any, Protocol

from post.directory.digest import Expected
from post.directory.document import Document
from post.directory.matchers import Book, Judged
from post.directory.table import Difference
from post.inspection import interface as inspection
from post.inspection.figures import KIND, Figure, text
from post.inspection.inspector import SAMPLE, UNHEARD, Inspector
from post.inspection.live import Live, Seen, running_digest
from post.machine import Address
from post.office.counting import PREFIX, Counting
from post.office.overseeing import JSON, METRICS, STATUS
from post.office.settings import Bounds
from post.office.wicket import Asked, Reply

LOOK_S = 0.25  # between two looks for the core's word, and at what else time brings
QUOTAS_S = 1.0  # between two looks at the quotas and limits in force
MOST_TEXT = 200  # letters of a finding that are told to the core

log = logging.getLogger("post.drift")


class Node(Protocol):
    """What the inspector needs of the sorter around it."""

    book: Book | None

    def clock(self) -> float:
        """Steady seconds."""

    def confirmed(self, now: float) -> tuple[int, float] | None:
        """The version that most of the core says is the newest, and since when that is sure."""

    def fetch(self, version: int, holder: str, again: bool) -> None:
        """Ask for a version."""

    def rebuild(self, version: int, value: bytes) -> None:
        """Build what requests use anew, from the value of a version and nothing else."""

    def holds(self, version: int, digest: int, findings: int, finding: str) -> None:
        """Tell the core and the neighbours what runs here."""

    def in_force(self, document: Document) -> list[Difference]:
        """Where quotas and limits that are handed on aren't those of the document."""


class Watching:
    """Connects the inspector to a sorter. `apply_s` as in the rules; `closed_s` is how old the core's word
    may be where requests are then to be turned back, else None."""

    def __init__(self, me: Address, node: Node, bounds: Bounds) -> None:
        self.me, self.node = me, node
        self.inspector = Inspector(bounds.apply_s, bounds.revoke_s if bounds.revoke_closed else None)
        self.live: Live | None = None
        self.value = b""
        self.ready, self.refusing = True, ""
        self.awaited = False  # the version that is held has been asked for again
        self.turned_back = 0
        self.look_at = self.quotas_at = 0.0

    # What the sorter tells.

    def request(self, host: bytes, path: bytes, key: bytes, judged: Judged) -> Judged | None:
        """A decision on a live request, seen through: as it was or as it is after a repair; None where the
        request is to be turned back."""
        if self.live is None:
            return judged
        if self.refusing:
            self.turned_back += 1
            return None
        try:
            seen = self.live.check(self.node.clock(), host, path, key, judged)
        except Exception as error:  # of what is looked at: that must not end the request
            told = f"{type(error).__name__}: {error}"
            seen = Seen(SAMPLE, [Difference("a look", told, "possible")])
        if not seen.differences:
            return judged
        self.turn(inspection.Found(seen.how, tuple(seen.differences)))
        if seen.how != "request" or self.node.book is None:
            return judged if self.node.book is None else self.node.book.judge(host, path, key)
        judged = self.node.book.judge(host, path, key)
        if self.live.check(self.node.clock(), host, path, key, judged).differences:
            self.turned_back += 1
            return None
        return judged

    def took_up(self, version: int, value: bytes, acknowledged: int, document: Document, expected: Expected,
                book: Book) -> None:
        """A version is in force here; `acknowledged` is its digest as the core told it."""
        self.value, self.awaited = value, False
        self.live = Live(document, expected, book, self.live)
        running = running_digest(book, expected)
        self.node.holds(version, running, self.inspector.found, self.latest())
        self.turn(inspection.TookUp(version, running, acknowledged or expected.total))

    def unreadable(self, version: int, why: str) -> None:
        self.turn(inspection.Unreadable(version, why))

    def heard(self, version: int, digest: bytes, holder: str) -> None:
        self.turn(inspection.Heard(version, int.from_bytes(digest), holder))

    def tick(self) -> None:
        """Time goes on."""
        now = self.node.clock()
        if now < self.look_at <= now + LOOK_S and not self.inspector.unheard:
            return
        self.look_at = now + LOOK_S
        if (sure := self.node.confirmed(now)) is not None:
            self.turn(inspection.Confirmed(*sure))
        self.turn(inspection.Tick())
        if self.live is None:
            return
        found = self.live.idle(now)
        if not found and not now < self.quotas_at <= now + QUOTAS_S:
            self.quotas_at = now + QUOTAS_S
            found = self.node.in_force(self.live.document)
        if found:
            self.turn(inspection.Found("round", tuple(found)))

    # What the inspector says.

    def turn(self, event: Any) -> None:
        """An input of the inspector."""
        found = self.inspector.found
        for out in self.inspector.handle(self.node.clock(), event):
            if isinstance(out, inspection.Finding):
                log.warning("drift: %s", out)
            elif isinstance(out, inspection.Rebuild):
                self.node.rebuild(self.inspector.version, self.value)
            elif isinstance(out, inspection.CatchUp):
                self.awaited = self.awaited or out.again
                self.node.fetch(*out)
            elif isinstance(out, inspection.Ready):
                self.ready = out.well
                log.info("new clients: %s", out.well)
            elif isinstance(out, inspection.Refuse):
                usual = UNHEARD in (out.why, self.refusing)
                self.refusing = out.why
                log.log(logging.INFO if usual else logging.WARNING,
                        "drift: requests turned back: %s", out.why or "no longer")
        if self.inspector.found != found:
            i = self.inspector
            self.node.holds(i.version, i.running, i.found, self.latest())

    def latest(self) -> str:
        """The latest finding, cut short."""
        return str(self.inspector.findings[-1])[:MOST_TEXT] if self.inspector.findings else ""

    # For operators.

    def answer(self, asked: Asked, reply: Reply, counting: Counting) -> bool:
        """Answer a call that is about this; whether it is. `counting` adds what the quota plane tells."""
        path = asked.path.partition("?")[0]
        if asked.method != "GET" or path not in (STATUS, METRICS):
            return False
        if path == METRICS:
            reply(200, KIND, text(self.figures()) + text(counting.figures(self.node.clock()), PREFIX))
        else:
            told = {**self.status(), **counting.status(self.node.clock())}
            reply(200, JSON, json.dumps(told).encode())
        return True

    def status(self) -> dict[str, Any]:
        """What `GET /-/status` answers."""
        i, live = self.inspector, self.live
        return {
            "node": self.me, "role": "sorter", "version": i.version,
            "newest": max(i.newest, i.version), "digest": f"{i.running:016x}",
            "acknowledged": f"{i.acknowledged:016x}", "lag-s": round(i.lag(), 3),
            "confirmed-s": i.unconfirmed(),
            "ready": self.ready, "refusing": self.refusing, "turned-back": self.turned_back,
            "requests": live.requests if live else 0, "sampled": live.sampled if live else 0,
            "found": i.found, "findings": [f._asdict() for f in i.findings]}

    def figures(self) -> list[Figure]:
        """What is worth an alert."""
        i, live = self.inspector, self.live
        return [
            Figure("version", "Version in force.", i.version),
            Figure("newest_version", "Newest version that is known of.", max(i.newest, i.version)),
            Figure("lag_seconds", "Time since when a newer version is known of.", i.lag()),
            Figure("confirmed_seconds", "Age of the core's word that the version is the newest.",
                   i.unconfirmed()),
            Figure("ready", "Whether new clients may come, as far as the configuration goes.", self.ready),
            Figure("refusing", "Whether requests are turned back for a newer version.", bool(self.refusing)),
            Figure("turned_back_total", "Requests turned back so.", self.turned_back),
            Figure("requests_total", "Requests looked at.", live.requests if live else 0),
            Figure("sampled_total", "Requests also decided by a plain reading.", live.sampled if live else 0),
            Figure("findings_total", "Findings.", i.found)]
