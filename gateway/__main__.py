"""`python -m gateway proxy` and `... controller` run the programs; everything else is the command line."""

from __future__ import annotations

import sys

import gateway.runtime.clock  # noqa: F401  it notes when this process began
from gateway.programs import PROGRAMS, launch


def main(arguments: list[str]) -> int:
    """Run a command; its exit code. The programs start without the command line's library: it costs time."""
    if arguments and arguments[0] in PROGRAMS and set(arguments[1:]) <= {"--counts"}:
        return launch(arguments[0])
    from gateway.cli import commands

    return commands.run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
