"""What no linter here checks: columns, lengths of files and classes, and of the decision policy as a whole.

Lines that are blank don't count. Generated files are passed over.
"""

from __future__ import annotations

import ast
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

COLUMNS, FILE, CLASS, POLICY = 110, 400, 250, 1200
FOLDERS = ("roadspur", "gateway", "examples", "proving")


def full(lines: list[str]) -> int:
    """How many of these lines aren't blank."""
    return sum(1 for line in lines if line.strip())


def faults(path: Path) -> Iterator[str]:
    """What is too long in a file."""
    text = path.read_text(encoding="utf-8")
    lines = text.splitlines()
    wide = [number for number, line in enumerate(lines, 1) if len(line) > COLUMNS]
    if wide:
        yield f"{path}: over {COLUMNS} columns: lines {', '.join(map(str, wide))}"
    if full(lines) > FILE:
        yield f"{path}: {full(lines)} non-blank lines, {FILE} at most"
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ClassDef):
            size = full(lines[node.lineno - 1 : node.end_lineno])
            if size > CLASS:
                yield f"{path}: class {node.name} has {size} non-blank lines, {CLASS} at most"


def policy() -> Iterator[str]:
    """Whether the files that hold the decision logic are too long together."""
    files = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))["policy"]
    size = sum(full(Path(file).read_text(encoding="utf-8").splitlines()) for file in files)
    if size > POLICY:
        yield f"deploy/balancer.toml: the policy's files have {size} non-blank lines, {POLICY} at most"


def main() -> int:
    """Check the checkout that is the working folder; prints each fault."""
    found = list(policy())
    for folder in FOLDERS:
        for path in sorted(Path(folder).rglob("*.py")):
            if not path.name.endswith("_pb2.py"):
                found += faults(path)
    for fault in found:
        print(fault, file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
