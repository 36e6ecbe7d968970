"""Commands that show the state of the system as one node sees it."""

from dataclasses import dataclass

import cappa

from egretshed.cli.session import Session
from egretshed.errors import ExitStatus


@cappa.command(name="status", help="Show the state of the first node that responds.")
@dataclass
class Status:
    async def run(self, session: Session) -> ExitStatus:
        session.printer.record(await session.get("/status"))
        return ExitStatus.SUCCESS


@cappa.command(
    name="nodes", help="List the entry nodes and whether they are listed and reachable."
)
@dataclass
class Nodes:
    async def run(self, session: Session) -> ExitStatus:
        session.printer.rows(await session.get("/nodes"))
        return ExitStatus.SUCCESS


@cappa.command(name="replicas", help="List the replicas with the loans of the node.")
@dataclass
class Replicas:
    async def run(self, session: Session) -> ExitStatus:
        session.printer.rows(await session.get("/replicas"))
        return ExitStatus.SUCCESS


@cappa.command(name="show", help="Show the outcomes that are known for a request id.")
@dataclass
class ShowRequest:
    request_id: str

    async def run(self, session: Session) -> ExitStatus:
        session.printer.rows(await session.get(f"/requests/{self.request_id}"))
        return ExitStatus.SUCCESS


@cappa.command(name="requests", help="Look up requests.")
@dataclass
class Requests:
    command: cappa.Subcommands[ShowRequest]

    async def run(self, session: Session) -> ExitStatus:
        return await self.command.run(session)
