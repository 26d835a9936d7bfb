"""`python -m gateway proxy` and `... controller` run a program; the rest is `gateway.cli`."""

from __future__ import annotations

import sys

import gateway.runtime.clock  # noqa: F401  imported first: it records the process start
from gateway.programs import PROGRAMS, launch


def main(arguments: list[str] | None = None) -> int:
    """Run a command, by default that of `sys.argv`, and return its exit code.

    The programs start without importing cleo, which costs time.
    """
    if arguments is None:
        arguments = sys.argv[1:]
    if arguments and arguments[0] in PROGRAMS and set(arguments[1:]) <= {"--counts"}:
        return launch(arguments[0])
    from gateway.cli import commands

    return commands.run(arguments)


if __name__ == "__main__":
    sys.exit(main())
