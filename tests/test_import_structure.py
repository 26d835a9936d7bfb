"""Tests of the imports between modules: no cycles, and none from a lower layer to a higher one.

Every import statement counts, including those within functions and under `if TYPE_CHECKING:`.
"""

from __future__ import annotations

import ast
import graphlib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PACKAGES = ("gateway", "ingress", "simulation")
UPWARD_IMPORTS = (
    ("gateway.runtime", "gateway.programs"),
    ("gateway.runtime", "gateway.cli"),
    ("gateway.programs", "gateway.cli"),
    ("gateway", "simulation"),
    ("ingress", "gateway"),
    ("ingress", "simulation"),
)
"""Pairs of packages of which the first must not import the second."""

ImportGraph = dict[str, set[str]]


def module_files(root: Path, packages: tuple[str, ...]) -> dict[str, Path]:
    """Return the files of all modules by their dotted names; an `__init__` has the name of its package."""
    files = {}
    for package in packages:
        for path in (root / package).rglob("*.py"):
            parts = path.relative_to(root).with_suffix("").parts
            files[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return files


def imported_names(name: str, path: Path) -> Iterator[tuple[str, str]]:
    """Yield each imported module, with the name imported from it ("" for the module itself)."""
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, ""
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                parents = package.split(".")[: len(package.split(".")) - node.level + 1]
                base = ".".join([*parents, base] if base else parents)
            for alias in node.names:
                yield base, alias.name


def import_graph(root: Path, packages: tuple[str, ...]) -> ImportGraph:
    """Return the modules of the packages that each module imports."""
    files = module_files(root, packages)
    graph: ImportGraph = {}
    for name, path in files.items():
        targets = set()
        for module, attribute in imported_names(name, path):
            submodule = f"{module}.{attribute}"
            targets.add(submodule if submodule in files else module)
        graph[name] = {target for target in targets if target in files}
    return graph


def circles(graph: ImportGraph) -> list[str]:
    """Return the import cycles. The last import of a cycle is removed before the search continues."""
    found = []
    remaining = {name: set(targets) for name, targets in graph.items()}
    while True:
        try:
            graphlib.TopologicalSorter(remaining).prepare()
        except graphlib.CycleError as error:
            cycle = error.args[1][::-1]  # each module of it imports the next one
            remaining[cycle[0]].discard(cycle[1])
            found.append(" -> ".join(cycle))
        else:
            return found


def within(module: str, package: str) -> bool:
    """Whether a module is the package or belongs to it."""
    return module == package or module.startswith(f"{package}.")


def upward_imports(graph: ImportGraph, pairs: tuple[tuple[str, str], ...]) -> list[str]:
    """Return the imports from a lower package to a higher one."""
    return sorted(
        f"{name} -> {target}"
        for name, targets in graph.items()
        for target in targets
        if any(within(name, lower) and within(target, higher) for lower, higher in pairs)
    )


@pytest.fixture(scope="module")
def project() -> ImportGraph:
    return import_graph(ROOT, PACKAGES)


def test_all_packages_are_analysed(project: ImportGraph) -> None:
    for package in PACKAGES:
        assert sum(bool(targets) for name, targets in project.items() if within(name, package)) > 10
    for pair in UPWARD_IMPORTS:
        for package in pair:
            assert any(within(name, package) for name in project), package


def test_no_import_cycles(project: ImportGraph) -> None:
    assert circles(project) == []


def test_no_import_of_a_higher_layer(project: ImportGraph) -> None:
    assert upward_imports(project, UPWARD_IMPORTS) == []


MADE_UP = {
    "app/__init__.py": "",
    "app/cli.py": "def main():\n    from app.runtime import clock\n",
    "app/runtime/__init__.py": "",
    "app/runtime/clock.py": "from . import timer\n",
    "app/runtime/timer.py": "import os\n",
    "app/model/__init__.py": "from app.model.engine import Engine\n",
    "app/model/engine.py": "import app.runtime.timer\n",
    "app/model/wheel.py": "from app.model.engine import Engine\n",
}
"""A package without violations; each case below adds one line to it."""


@pytest.mark.parametrize(
    ("file", "line", "circle"),
    [
        ("app/model/engine.py", "from app.model.wheel import Wheel", {"app.model.engine", "app.model.wheel"}),
        (
            "app/model/engine.py",
            "if TYPE_CHECKING:\n    from app.model.wheel import Wheel",
            {"app.model.engine", "app.model.wheel"},
        ),
        (
            "app/model/engine.py",
            "def f():\n    from .wheel import Wheel",
            {"app.model.engine", "app.model.wheel"},
        ),
        ("app/model/engine.py", "from app.model import Engine", {"app.model", "app.model.engine"}),
        (
            "app/runtime/timer.py",
            "from ..cli import main",
            {"app.cli", "app.runtime.clock", "app.runtime.timer"},
        ),
    ],
)
def test_added_cycle_is_detected(tmp_path: Path, file: str, line: str, circle: set[str]) -> None:
    graph = planted(tmp_path, file, line)
    (found,) = circles(graph)
    modules = found.split(" -> ")
    assert set(modules) == circle
    assert all(target in graph[name] for name, target in zip(modules, modules[1:], strict=False))


def test_two_added_cycles_are_both_detected(tmp_path: Path) -> None:
    planted(tmp_path, "app/model/engine.py", "import app.model.wheel")
    graph = planted(tmp_path, "app/runtime/timer.py", "import app.runtime.clock")
    assert len(circles(graph)) == 2


def test_added_upward_import_is_detected(tmp_path: Path) -> None:
    pairs = (("app.runtime", "app.cli"),)
    assert upward_imports(planted(tmp_path, "app/model/wheel.py", "import app.cli"), pairs) == []
    graph = planted(tmp_path, "app/runtime/clock.py", "if TYPE_CHECKING:\n    from app.cli import main")
    assert upward_imports(graph, pairs) == ["app.runtime.clock -> app.cli"]


def test_example_package_has_no_cycle(tmp_path: Path) -> None:
    assert circles(planted(tmp_path, "app/runtime/timer.py", "")) == []


def planted(root: Path, file: str, line: str) -> ImportGraph:
    """Return the imports of the example package with one more line in a file."""
    for name, text in MADE_UP.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        if not path.exists():
            path.write_text(text, encoding="utf-8")
    with open(root / file, "a", encoding="utf-8") as changed:
        changed.write(f"{line}\n")
    return import_graph(root, ("app",))
