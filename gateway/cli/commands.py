"""The commands of `python -m gateway`: checks of files, configuration changes, reports, and the programs.

Exit codes: 0 no faults, 1 a command line that can't be parsed, 2 faults, each printed with its place.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from http import HTTPStatus
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from result import Err

from gateway.programs import launch
from gateway.runtime import VERSION, settings

EXIT_FAULTS = 2
SEEDS = argument("seeds", "Addresses of controllers (`control`), such as 10.1.0.5:8407", multiple=True)


class _CheckCommand(Command):
    """Base of all commands that print faults and return an exit code."""

    def faults(self, file: str, faults: Iterable[tuple[str, str]]) -> int:
        """Print faults to standard error, each with its place; returns exit code 2."""
        for place, problem in faults:
            where = place if place.startswith(file) else f"{file}: {place}" if place else file
            self.line_error(Formatter.escape(f"{where}: {problem}"))
        return EXIT_FAULTS

    def lines(self, lines: Iterable[str]) -> None:
        """Print lines to standard output without interpreting markup."""
        for line in lines:
            self.line(Formatter.escape(line))

    def report_ok(self, what: str) -> int:
        """Print that there are no faults; returns exit code 0."""
        self.line(Formatter.escape(f"{what}: no faults"))
        return 0

    def settings(self, path: str, program: str | None) -> int:
        """Check a settings file; with `program`, also that it has the listeners required by that program."""
        found = settings.read_file(path)
        if isinstance(found, Err):
            return self.faults(path, found.err_value)
        missing_listeners = found.ok_value.missing_listeners(program) if program else []
        return self.faults(path, missing_listeners) if missing_listeners else self.report_ok(path)

    def own_settings(self, program: str | None) -> int:
        """Check the settings file named by the environment."""
        path = os.environ.get(settings.VARIABLE, "")
        if not path:
            return self.faults("", [(settings.VARIABLE, "is not set")])
        return self.settings(path, program)


class VersionCommand(Command):
    """Prints the version."""

    name = "version"
    description = "Tell the version"

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        self.line(VERSION)
        return 0


class CheckSettings(_CheckCommand):
    """Checks a settings file, by default the one named by the environment."""

    name = "check-settings"
    description = "Check a settings file"
    arguments: ClassVar[list[Argument]] = [
        argument("file", f"The file, else that of {settings.VARIABLE}", optional=True)
    ]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        path = self.argument("file")
        return self.settings(path, None) if path else self.own_settings(None)


class CheckConfig(_CheckCommand):
    """Checks a full configuration as if it were sent by `config put`."""

    name = "check-config"
    description = "Check a configuration (JSON), as it would be put"
    arguments: ClassVar[list[Argument]] = [argument("file", "The file")]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        from gateway.config import document

        path = self.argument("file")
        try:
            with open(path, "rb") as file:
                body = file.read()
        except OSError as error:
            return self.faults(path, [(path, error.strerror or str(error))])
        found = document.parse(body)
        return self.faults(path, found.err_value) if isinstance(found, Err) else self.report_ok(path)


class NodesCommand(_CheckCommand):
    """Lists the configuration that each node runs, as known to the controllers."""

    name = "nodes"
    description = "List nodes by version, digest, lag and findings"
    arguments: ClassVar[list[Argument]] = [SEEDS]
    options: ClassVar[list[Option]] = [option("json", None, "As JSON")]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        from gateway.cli import node_report

        report = node_report.fetch_report(self.argument("seeds"))
        as_json = self.option("json")
        self.lines([json.dumps(report._asdict())] if as_json else node_report.lines(report))
        self.faults("", report.faults)
        return 0 if report.is_healthy else EXIT_FAULTS


class CoreCommand(_CheckCommand):
    """Shows the members of the consensus group (the core)."""

    name = "core"
    description = "List the core's members, who leads, and what loss they bear"
    arguments: ClassVar[list[Argument]] = [SEEDS]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        from gateway.cli import core_report, status_client
        from gateway.programs.paths import CORE

        answers, failures = status_client.fetch_all(self.argument("seeds"), CORE)
        self.lines(core_report.lines(answers))
        self.faults("", failures)
        return 0 if core_report.is_healthy(answers) and not failures else EXIT_FAULTS


class BackendsCommand(_CheckCommand):
    """Shows the backends and their leases."""

    name = "backends"
    description = "List backends with their leases"
    arguments: ClassVar[list[Argument]] = [SEEDS]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        from gateway.cli import backend_report, status_client
        from gateway.programs.paths import LEASES

        answers, failures = status_client.fetch_all(self.argument("seeds"), LEASES)
        self.lines(backend_report.lines(answers))
        return self.faults("", failures) if failures else 0


class AllowanceCommand(_CheckCommand):
    """Compares each node's view of each tenant's remaining allowance with the owner of the count."""

    name = "allowance"
    description = "Compare each node's view of each tenant's remaining allowance with the holder's"
    arguments: ClassVar[list[Argument]] = [SEEDS]
    options: ClassVar[list[Option]] = [
        option("nodes", None, "Each node's view, a line each"),
        option("json", None, "As JSON"),
    ]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        from gateway.cli import allowance_report

        report = allowance_report.fetch_report(self.argument("seeds"))
        table = allowance_report.lines(report, self.option("nodes"))
        self.lines([json.dumps(report._asdict())] if self.option("json") else table)
        self.faults("", report.faults)
        return 0 if report.is_healthy else EXIT_FAULTS


class _ConfigCommand(_CheckCommand):
    """Base of the commands that read or change the configuration at any controller that answers."""

    method = "GET"
    options: ClassVar[list[Option]] = [
        option("for", None, "Seconds to go on without a clear answer", flag=False, default="30")
    ]

    def call_controllers(self, seeds: list[str], body: bytes) -> int:
        """Call these controllers until there is a definite answer, and print it; returns the exit code."""
        from gateway.cli import control_client
        from gateway.programs.paths import CONFIG
        from gateway.runtime.http_call import HttpCall

        call = HttpCall(self.method, CONFIG, body)
        answer = control_client.call_with_retries(seeds, call, float(self.option("for")))
        text = answer.body.decode(errors="replace")
        if answer.status != HTTPStatus.OK:
            status = f"answered {answer.status}" if answer.status else "no answer"
            return self.faults("", [(self.method, f"{status} {text}".rstrip())])
        self.io.write_line(text, type=Type.RAW)
        return 0


class ConfigGet(_ConfigCommand):
    """Prints the complete configuration in force."""

    name = "config get"
    description = "Print the configuration in force"
    arguments: ClassVar[list[Argument]] = [SEEDS]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        return self.call_controllers(self.argument("seeds"), b"")


class ConfigPut(_ConfigCommand):
    """Replaces the complete configuration by the one in a file."""

    name = "config put"
    description = "Put a whole configuration"
    method = "PUT"
    arguments: ClassVar[list[Argument]] = [
        argument("seeds", "Addresses of controllers (`control`), and last the file (JSON)", multiple=True)
    ]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        *seeds, path = self.argument("seeds")
        if not seeds:
            return self.faults("", [(path, "expected addresses, and then a file")])
        try:
            with open(path, "rb") as file:
                body = file.read()
        except OSError as error:
            return self.faults(path, [(path, error.strerror or str(error))])
        return self.call_controllers(seeds, body)


class ConfigPatch(ConfigPut):
    """Changes individual entries of the configuration by the PATCH in a file."""

    name = "config patch"
    description = "Change named entries of the configuration"
    method = "PATCH"


class PlanCore(_CheckCommand):
    """Prints which losses of disks a core of a given size tolerates."""

    name = "plan-core"
    description = "Tell what becomes of a core when disks are lost"
    arguments: ClassVar[list[Argument]] = [argument("members", "Disks of the core")]
    options: ClassVar[list[Option]] = [
        option("tolerance", None, "How many may be lost at once", flag=False, default="1")
    ]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        from gateway.consensus import quorum

        members = int(self.argument("members"))
        tolerance = int(self.option("tolerance"))
        self.line(f"acknowledged: on {quorum.majority(members)} of {members} disks")
        for loss in quorum.losses(members):
            effect = quorum.describe(loss)
            voters = quorum.VoterSet(members, members - loss.lost)
            further = quorum.further_tolerable_losses([voters], quorum.majority(members) - loss.lost)
            self.line(
                f"{loss.lost} lost: while away {effect.unreachable}; for good {effect.lost_permanently}; "
                f"then {further} more may go"
            )
        if quorum.tolerable_losses(members) < tolerance:
            members_needed = quorum.members_needed(tolerance)
            return self.faults(
                "", [("members", f"{tolerance} lost at once takes {members_needed} of them at least")]
            )
        return 0


class _ProgramCommand(_CheckCommand):
    """Base of the commands that run a program or, with `--check`, only check its settings."""

    options: ClassVar[list[Option]] = [
        option("check", None, "Only check the settings, then end"),
        option("counts", None, "Write what tenants asked and were allowed, a line each 5 s"),
    ]

    def handle(self) -> int:
        """Run the command; returns its exit code."""
        if self.option("check"):
            return self.own_settings(self.name)
        return launch(str(self.name))


class ProxyCommand(_ProgramCommand):
    """Runs the proxy, which forwards clients' requests; on every machine."""

    name = "proxy"
    description = "Run the program that takes requests"


class ControllerCommand(_ProgramCommand):
    """Runs the controller, which serves backends and operators; on the machines of the core."""

    name = "controller"
    description = "Run the program that serves backends and operators"


COMMANDS = (
    VersionCommand,
    CheckSettings,
    CheckConfig,
    ConfigGet,
    ConfigPut,
    ConfigPatch,
    NodesCommand,
    CoreCommand,
    BackendsCommand,
    AllowanceCommand,
    PlanCore,
    ProxyCommand,
    ControllerCommand,
)


def run(arguments: list[str]) -> int:
    """Parse and run a command line (without the program name); returns its exit code."""
    application = Application("gateway", VERSION)
    application.auto_exits(False)
    for command in COMMANDS:
        application.add(command())
    return application.run(ArgvInput(["gateway", *arguments]))
