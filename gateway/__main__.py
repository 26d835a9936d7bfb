"""`python -m gateway proxy` and `python -m gateway controller` run the programs; all else is the command line."""

from __future__ import annotations

import sys
from importlib import import_module

import gateway.runtime.clock  # noqa: F401  it notes when this process began


def main(arguments: list[str]) -> int:
    """Run a command; its exit code. The programs start without the command line's library: it costs time."""
    if arguments[:1] in (["proxy"], ["controller"]) and set(arguments[1:]) <= {"--counts"}:
        return int(import_module(f"gateway.programs.{arguments[0]}").main())
    from gateway.cli import commands

    return commands.run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
