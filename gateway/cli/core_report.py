"""Command `core`: the members of the consensus group, as the controllers report them."""

from __future__ import annotations

from gateway.cli.status_client import Row
from gateway.cli.table import format_table

COLUMNS = ("address", "disk", "role", "heard-s")


def lines(answers: list[Row]) -> list[str]:
    """Lines for the terminal: the members, then the number of losses that the core tolerates.

    The leader's answer is used, or that of the member with the latest term if there is no leader.
    """
    if not answers:
        return []
    answer = max(answers, key=lambda a: (a["sure"], a["term"]))
    rows = [(m["address"], m["disk"], _role(m, answer["leader"]), m["heard-s"]) for m in answer["members"]]
    certainty = "surely" if answer["sure"] else "not surely"
    summary = (
        f"version {answer['version']}, term {answer['term']}, told by {answer['node']}, "
        f"{certainty} the newest; "
        f"bears {answer['bears']} lost at once, {answer['tolerance']} wanted"
    )
    if answer["bears-now"] is not None:
        summary += f"; {answer['bears-now']} more right now"
    return [*format_table(COLUMNS, rows), summary]


def _role(member: Row, leader: str | None) -> str:
    return "leader" if member["address"] == leader else str(member["state"])


def is_healthy(answers: list[Row]) -> bool:
    """Whether a leader has its lease, membership is stable, and the core tolerates the required losses."""
    return any(
        answer["sure"] and not answer["changing"] and (answer["bears-now"] or 0) >= answer["tolerance"]
        for answer in answers
    )
