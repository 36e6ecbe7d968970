"""Commands on the declared configuration."""

from dataclasses import dataclass
from pathlib import Path
from typing import (
    Annotated,
    Any,
)

import cappa

from egretshed.cli.client import CommandFailed
from egretshed.cli.commands.plans import (
    AcceptLow,
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

NOTHING_TO_DO = "Nothing to do: the configuration in force is as declared."


@cappa.command(name="check", help="Check a file or folder without any node.")
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


@cappa.command(name="show", help="Show the objects in force.")
@dataclass
class ConfigShow:
    async def run(self, session: Session) -> ExitStatus:
        answer = await session.get("/configuration")
        if session.printer.is_json:
            session.printer.json(answer)
            return ExitStatus.SUCCESS
        session.printer.line(f"version {answer['version']}")
        objects = answer["objects"].items()
        session.printer.rows([{"object": id_, "body": body} for id_, body in objects])
        return ExitStatus.SUCCESS


@cappa.command(name="history", help="List the versions, who made them and why.")
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


@cappa.command(name="plan", help="Plan the changes in a file {kind/name: body|null}.")
@dataclass
class ConfigPlan:
    file: Path
    confirm: Confirm = False
    accept_low_capacity: AcceptLow = False

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


@cappa.command(name="apply", help="Plan whatever makes the declarations in force.")
@dataclass
class Apply:
    """Objects in force that the folder does not declare are kept unless --prune."""

    folder: Path
    confirm: Confirm = False
    accept_low_capacity: AcceptLow = False
    prune: Annotated[
        bool,
        cappa.Arg(long="--prune", help="Delete objects that are not declared."),
    ] = False

    async def run(self, session: Session) -> ExitStatus:
        if not self.folder.is_dir():
            raise usage_error(f"{self.folder} is not a folder")
        declared = read_declarations(self.folder)
        if self.prune:
            in_force = (await session.get("/configuration"))["objects"]
            declared |= {id_: None for id_ in in_force if id_ not in declared}
        return await propose_changes(
            session, declared, self.confirm, self.accept_low_capacity
        )


async def propose_changes(
    session: Session, bodies: dict[str, Any], confirm: bool, accept_low_capacity: bool
) -> ExitStatus:
    """Propose those of `bodies` that differ from the objects in force, if any do."""
    in_force = (await session.get("/configuration"))["objects"]
    changes = {id_: body for id_, body in bodies.items() if in_force.get(id_) != body}
    if not changes:
        print_nothing(session)
        return ExitStatus.SUCCESS
    arguments = {"changes": changes}
    return await propose(
        session, "configuration", arguments, confirm, accept_low_capacity
    )


def print_nothing(session: Session) -> None:
    if session.printer.is_json:
        session.printer.json({"changes": {}})
    else:
        session.printer.line(NOTHING_TO_DO)
