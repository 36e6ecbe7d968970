"""Command that checks the platform's configuration before an operator sends it."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from egretshed.cli.client import CommandFailed
from egretshed.cli.session import (
    Session,
    read_content,
)
from egretshed.errors import ExitStatus
from egretshed.platform.records import (
    MalformedRecord,
    decode_configuration,
)
from egretshed.serving.checks import (
    Severity,
    check_configuration,
)
from egretshed.serving.difference import configuration_differences
from egretshed.serving.schema import ServingConfiguration


@cappa.command(
    name="check", help="Check a configuration of the platform before it is sent."
)
@dataclass
class Check:
    """It reads files only: no node is called and nothing changes."""

    file: Path
    against: Annotated[
        Path | None,
        cappa.Arg(long="--against", help="File of the version in force, to compare."),
    ] = None

    async def run(self, session: Session) -> ExitStatus:
        configuration = _read_configuration(self.file)
        findings = check_configuration(configuration)
        differences = []
        if self.against is not None:
            in_force = _read_configuration(self.against)
            differences = configuration_differences(in_force, configuration)
            _check_version(in_force, configuration)
        printer = session.printer
        if printer.is_json:
            printer.json(
                {
                    "version": configuration.version,
                    "findings": [finding._asdict() for finding in findings],
                    "differences": [change._asdict() for change in differences],
                }
            )
        else:
            printer.line(f"version {configuration.version}")
            for rows in (findings, differences):
                if rows:
                    printer.rows([row._asdict() for row in rows])
        has_errors = any(f.severity is Severity.ERROR for f in findings)
        return ExitStatus.BAD_CONFIGURATION if has_errors else ExitStatus.SUCCESS


def _read_configuration(path: Path) -> ServingConfiguration:
    try:
        return decode_configuration(read_content(path))
    except MalformedRecord as error:
        body = {"error": "configuration_invalid", "message": f"{path}: {error}"}
        raise CommandFailed(ExitStatus.BAD_CONFIGURATION, body) from None


def _check_version(in_force: ServingConfiguration, sent: ServingConfiguration) -> None:
    if sent.version <= in_force.version:
        message = (
            f"version {sent.version} is not over the one in force, "
            f"{in_force.version}: nodes would ignore it"
        )
        body = {"error": "configuration_invalid", "message": message}
        raise CommandFailed(ExitStatus.BAD_CONFIGURATION, body)
