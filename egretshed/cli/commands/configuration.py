"""Commands that check, show and change the configuration."""

from dataclasses import dataclass
from pathlib import Path
from typing import (
    Annotated,
    Any,
)

import cappa

from egretshed.cli.client import CommandFailed
from egretshed.cli.commands.plans import (
    AcceptLowCapacity,
    Confirm,
    propose,
)
from egretshed.cli.session import (
    Session,
    read_declarations,
    usage_error,
)
from egretshed.configuration.validation import build_configuration
from egretshed.errors import ExitStatus

NOTHING_TO_DO = "Nothing to do: the active configuration is as declared."


@cappa.command(name="check", help="Check a file or folder without calling a node.")
@dataclass
class ConfigCheck:
    path: Path

    async def run(self, session: Session) -> ExitStatus:
        objects = read_declarations(self.path)
        result = build_configuration(0, objects)
        if result.is_error():
            error = result.error
            raise CommandFailed(error.exit_status, error.to_body())
        session.printer.record({"valid": True, "objects": len(objects)})
        return ExitStatus.SUCCESS


@cappa.command(name="show", help="Show the objects of the active configuration.")
@dataclass
class ConfigShow:
    async def run(self, session: Session) -> ExitStatus:
        configuration = await session.get("/configuration")
        if session.printer.is_json:
            session.printer.json(configuration)
            return ExitStatus.SUCCESS
        session.printer.line(f"version {configuration['version']}")
        objects = configuration["objects"].items()
        session.printer.rows([{"object": id_, "body": body} for id_, body in objects])
        return ExitStatus.SUCCESS


@cappa.command(
    name="history", help="List the versions with their operators and reasons."
)
@dataclass
class ConfigHistory:
    async def run(self, session: Session) -> ExitStatus:
        records = await session.get("/configuration/history")
        session.printer.rows(records, ("version", "operator", "reason"))
        return ExitStatus.SUCCESS


@cappa.command(name="diff", help="Show the objects that differ between two versions.")
@dataclass
class ConfigDiff:
    before: int
    after: int

    async def run(self, session: Session) -> ExitStatus:
        path = f"/configuration/diff?from={self.before}&to={self.after}"
        session.printer.rows(await session.get(path), ("object", "before", "after"))
        return ExitStatus.SUCCESS


@cappa.command(
    name="plan", help="Plan the changes of a JSON file {kind/name: body|null}."
)
@dataclass
class ConfigPlan:
    file: Path
    confirm: Confirm = False
    accept_low_capacity: AcceptLowCapacity = False

    async def run(self, session: Session) -> ExitStatus:
        if self.file.is_dir():
            raise usage_error(f"{self.file} is a folder; use: egretshed apply")
        changes = read_declarations(self.file)
        return await propose_changes(
            session, changes, self.confirm, self.accept_low_capacity
        )


@cappa.command(name="config", help="Check, show and change the configuration.")
@dataclass
class Config:
    command: cappa.Subcommands[
        ConfigCheck | ConfigShow | ConfigHistory | ConfigDiff | ConfigPlan
    ]

    async def run(self, session: Session) -> ExitStatus:
        return await self.command.run(session)


@cappa.command(name="apply", help="Plan the changes that activate the declarations.")
@dataclass
class Apply:
    """Without --prune, active objects that the folder does not declare are kept."""

    folder: Path
    confirm: Confirm = False
    accept_low_capacity: AcceptLowCapacity = False
    prune: Annotated[
        bool,
        cappa.Arg(long="--prune", help="Delete objects that are not declared."),
    ] = False

    async def run(self, session: Session) -> ExitStatus:
        if not self.folder.is_dir():
            raise usage_error(f"{self.folder} is not a folder")
        declared = read_declarations(self.folder)
        if self.prune:
            active_objects = (await session.get("/configuration"))["objects"]
            declared |= {id_: None for id_ in active_objects if id_ not in declared}
        return await propose_changes(
            session, declared, self.confirm, self.accept_low_capacity
        )


async def propose_changes(
    session: Session, bodies: dict[str, Any], confirm: bool, accept_low_capacity: bool
) -> ExitStatus:
    """Propose the objects of `bodies` that differ from the active configuration.

    If none differs, no plan is proposed.
    """
    active_objects = (await session.get("/configuration"))["objects"]
    changes = {
        id_: body for id_, body in bodies.items() if active_objects.get(id_) != body
    }
    if not changes:
        print_no_changes(session)
        return ExitStatus.SUCCESS
    arguments = {"changes": changes}
    return await propose(
        session, "configuration", arguments, confirm, accept_low_capacity
    )


def print_no_changes(session: Session) -> None:
    if session.printer.is_json:
        session.printer.json({"changes": {}})
    else:
        session.printer.line(NOTHING_TO_DO)
