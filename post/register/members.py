"""Which change of members a leader makes next."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from post.machine import Address
from post.register.api import Tuning
from post.register.records import Member

MOST_JOINERS = 16


class Presence(NamedTuple):
    """What the leader knows of another member: seconds of its silence, is it there, does it want to go."""

    silent: float
    here: bool
    leaving: bool


class Asker(NamedTuple):
    """A disk that asks to be a member, and since when it asks."""

    member: Member
    since: float
    last: float


class Joiners:
    """Disks that ask to be members."""

    def __init__(self) -> None:
        self.askers: dict[str, Asker] = {}

    def ask(self, now: float, disk: str, address: Address) -> None:
        """A disk asks. The latest from an address is the one that is there."""
        known = self.askers.get(disk)
        self.askers = {d: a for d, a in self.askers.items() if a.member.address != address}
        if len(self.askers) < MOST_JOINERS:
            self.askers[disk] = Asker(Member(disk, address), known.since if known else now, now)

    def fresh(self, now: float, within: float) -> list[Asker]:
        """Those who have asked of late, the first one first; others are forgotten."""
        self.askers = {d: a for d, a in self.askers.items() if now - a.last <= within}
        return sorted(self.askers.values(), key=lambda a: a.since)


def next_members(now: float, members: tuple[Member, ...], others: Mapping[str, Presence],
                 joiners: list[Asker], tolerance: int, tuning: Tuning) -> tuple[Member, ...] | None:
    """The members after the next change; None if none is due. `others` is by disk, the leader left out.

    A change is only begun if a majority of the members after it are there, the newcomer not counted.
    """
    found = None
    for joiner in joiners:
        found = found or _with(members, others, joiner.member, now - joiner.since, tuning)
    found = found or _without(members, others, tolerance, tuning)
    if found is None:
        return None
    there = sum(m in members and _there(others, m) for m in found)
    return found if 2 * there > len(found) or len(members) == 1 else None


def has_place(members: tuple[Member, ...], others: Mapping[str, Presence], tuning: Tuning) -> bool:
    """Is there a place for a newcomer, or may there be one soon?"""
    return len(members) < tuning.most_members or any(p.leaving or not p.here for p in others.values())


def _there(others: Mapping[str, Presence], member: Member) -> bool:
    return member.disk not in others or others[member.disk].here


def _with(members: tuple[Member, ...], others: Mapping[str, Presence], joiner: Member, waited: float,
          tuning: Tuning) -> tuple[Member, ...] | None:
    """The members with a newcomer, if there is a place for it now.

    One that comes as another ends is to replace that one, so it is added only when its silence would show.
    """
    if any(m.disk == joiner.disk for m in members):
        return None
    for old in members:
        if old.address == joiner.address:  # its disk is lost, unless it is still heard
            presence = others.get(old.disk)
            if presence is None or presence.silent < tuning.election_min_s:
                return None
            return tuple(joiner if m == old else m for m in members)
    free = [(p.silent, disk) for disk, p in others.items() if p.leaving or p.silent > tuning.replace_s]
    if free:
        gone = max(free)[1]
        return tuple(joiner if m.disk == gone else m for m in members)
    room = len(members) < tuning.most_members and waited >= tuning.heard_s
    return (*members, joiner) if room and all(_there(others, m) for m in members) else None


def _without(members: tuple[Member, ...], others: Mapping[str, Presence], tolerance: int,
             tuning: Tuning) -> tuple[Member, ...] | None:
    """The members without one that leaves or is gone, if enough stay.

    Of an even count, fewer are needed after that than before, whoever else is away.
    """
    fewest = max(3, 2 * tolerance + 1)
    for old in members:
        presence = others.get(old.disk)
        if presence is None or not (presence.leaving or presence.silent > tuning.remove_s):
            continue
        rest = tuple(m for m in members if m != old)
        staying = len(rest) if len(rest) % 2 else sum(_there(others, m) for m in rest)
        if staying >= fewest:
            return rest
    return None
