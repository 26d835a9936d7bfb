"""Translates names in recordings that were measured before messages and parts got their current names."""

from __future__ import annotations

from typing import Final, NamedTuple

SOURCES: Final = ("ee3afc8", "f7ff621", "fa42f35", "bdb9bc7", "210b684", "ba41dd5")
"""The commits, oldest first, whose recordings have the former names. None has the remedies below."""
QUOTA_FIXES: Final = ("7292a35", "657faea")
ELECTION_FIXES: Final = ("3826185",)
"""Commits on another branch of the same day, which change what is measured."""
SEPARATOR: Final = ": "
CHANGED_TREE: Final = "+"
"""Suffix of a commit: the sources differed from it."""


class RenamedKind(NamedTuple):
    """A kind of message: its plane, its name in the recordings, and its current name."""

    plane: str
    former: str
    current: str


RENAMED_KINDS: Final = (
    RenamedKind("agreement", "nothing", "unspecified"),
    RenamedKind("agreement", "append", "append_entries"),
    RenamedKind("agreement", "appended", "append_response"),
    RenamedKind("agreement", "pre_voted", "pre_vote_response"),
    RenamedKind("agreement", "voted", "vote_response"),
    RenamedKind("agreement", "hint", "leader_hint"),
    RenamedKind("agreement", "gone", "removed"),
    RenamedKind("agreement", "begun", "restarted"),
    RenamedKind("membership", "ask", "value_request"),
    RenamedKind("membership", "answer", "follow_reply"),
    RenamedKind("membership", "swap", "shuffle_request"),
    RenamedKind("membership", "swapped", "shuffle_reply"),
    RenamedKind("quota", "alive", "client_heartbeat"),
    RenamedKind("quota", "heard", "client_heartbeat_reply"),
    RenamedKind("quota", "back", "refund"),
    RenamedKind("quota", "request", "lease_request"),
    RenamedKind("quota", "hold", "lease_grant"),
)
RENAMED_STEPS: Final = {"inspector": "drift detector"}
"""Steps of applying a configuration, as the last part of a figure's name."""

_CURRENT_KIND: Final = {(kind.plane, kind.former): kind.current for kind in RENAMED_KINDS}


def has_former_names(source: str) -> bool:
    """Whether recordings of this source have the former names."""
    return source.removesuffix(CHANGED_TREE) in SOURCES


def current_figure(figure: str) -> str:
    """Return a figure's current name, for example of `ingress: quota: alive sent: bytes`."""
    parts = figure.split(SEPARATOR)
    if len(parts) == 4:
        plane = parts[1]
        kind, _, direction = parts[2].partition(" ")
        parts[2] = f"{_CURRENT_KIND.get((plane, kind), kind)} {direction}"
    elif len(parts) == 2:
        parts[1] = RENAMED_STEPS.get(parts[1], parts[1])
    return SEPARATOR.join(parts)
