"""Commands that propose, confirm, watch and control plans."""

import asyncio
from dataclasses import dataclass
from typing import (
    Annotated,
    Any,
)

import cappa
import msgspec

from egretshed.cli.session import (
    Session,
    usage_error,
)
from egretshed.errors import ExitStatus

POLL_PERIOD_S = 1.0
EXIT_STATUS_BY_END_STATE = {
    "done": ExitStatus.SUCCESS,
    "aborted": ExitStatus.FAILED,
    "stopped": ExitStatus.FAILED,
}
LIST_COLUMNS = ("plan_id", "intent", "operator", "state", "control", "reason")
STEP_COLUMNS = ("step_id", "state", "description", "precondition", "detail")

Confirm = Annotated[
    bool, cappa.Arg(long="--confirm", help="Confirm the plan immediately.")
]
AcceptLowCapacity = Annotated[
    bool,
    cappa.Arg(
        long="--accept-low-capacity",
        help="Confirm even if the capacity falls below the present load.",
    ),
]


async def propose(
    session: Session,
    intent: str,
    arguments: dict[str, Any],
    confirm: bool,
    accept_low_capacity: bool = False,
) -> ExitStatus:
    """Propose a plan, confirm it if `confirm` is set, and print it."""
    body = {"intent": intent, "arguments": arguments}
    plan = await session.post("/plans", body)
    if not confirm:
        print_plan(session, plan)
        return ExitStatus.SUCCESS
    return await confirm_plan(session, plan, plan["digest"], accept_low_capacity)


async def confirm_plan(
    session: Session, plan: dict[str, Any], digest: str, accept_low_capacity: bool
) -> ExitStatus:
    body = {"digest": digest, "accept_low_capacity": accept_low_capacity}
    print_plan(session, await session.post(f"/plans/{plan['plan_id']}/confirm", body))
    return ExitStatus.SUCCESS


def print_plan(session: Session, plan: dict[str, Any]) -> None:
    printer = session.printer
    if printer.is_json:
        printer.json(plan)
        return
    fields = {name: value for name, value in plan.items() if name in SHOWN_FIELDS}
    printer.record(fields)
    printer.rows(plan["steps"], STEP_COLUMNS)
    if plan["state"] == "proposed":
        printer.line(
            f"Confirm with: egretshed plan confirm {plan['plan_id']} {plan['digest']}"
        )


SHOWN_FIELDS = (
    "plan_id",
    "intent",
    "operator",
    "state",
    "control",
    "reason",
    "base_version",
    "least_capacity",
    "present_load",
    "expected_s",
    "stop_conditions",
    "digest",
)


@cappa.command(name="out", help="Plan to take a failure domain out of service.")
@dataclass
class DomainOut:
    name: str
    confirm: Confirm = False
    accept_low_capacity: AcceptLowCapacity = False

    async def run(self, session: Session) -> ExitStatus:
        arguments = {"failure_domain": self.name}
        return await propose(
            session, "domain_out", arguments, self.confirm, self.accept_low_capacity
        )


@cappa.command(name="in", help="Plan to return a failure domain to service.")
@dataclass
class DomainIn:
    name: str
    confirm: Confirm = False

    async def run(self, session: Session) -> ExitStatus:
        arguments = {"failure_domain": self.name}
        return await propose(session, "domain_in", arguments, self.confirm)


@cappa.command(
    name="domain", help="Take failure domains out of service and return them."
)
@dataclass
class Domain:
    command: cappa.Subcommands[DomainOut | DomainIn]

    async def run(self, session: Session) -> ExitStatus:
        return await self.command.run(session)


@cappa.command(name="load", help="Plan to load a model version, replica by replica.")
@dataclass
class ModelLoad:
    model: str
    version: str
    pool: str
    confirm: Confirm = False
    accept_low_capacity: AcceptLowCapacity = False

    async def run(self, session: Session) -> ExitStatus:
        arguments = {"model": self.model, "version": self.version, "pool": self.pool}
        return await propose(
            session, "load_model", arguments, self.confirm, self.accept_low_capacity
        )


@cappa.command(name="model", help="Load models.")
@dataclass
class Model:
    command: cappa.Subcommands[ModelLoad]

    async def run(self, session: Session) -> ExitStatus:
        return await self.command.run(session)


@cappa.command(name="drain", help="Plan to drain an entry node.")
@dataclass
class NodeDrain:
    node_id: str
    confirm: Confirm = False

    async def run(self, session: Session) -> ExitStatus:
        arguments = {"node_id": self.node_id}
        return await propose(session, "drain_node", arguments, self.confirm)


@cappa.command(name="node", help="Drain entry nodes.")
@dataclass
class NodeCommand:
    command: cappa.Subcommands[NodeDrain]

    async def run(self, session: Session) -> ExitStatus:
        return await self.command.run(session)


@cappa.command(name="propose", help="Propose a plan with any intent.")
@dataclass
class PlanPropose:
    intent: str
    arguments: Annotated[
        str, cappa.Arg(help="Arguments of the intent as a JSON object.")
    ]
    confirm: Confirm = False
    accept_low_capacity: AcceptLowCapacity = False

    async def run(self, session: Session) -> ExitStatus:
        try:
            arguments = msgspec.json.decode(self.arguments)
        except msgspec.DecodeError as error:
            raise usage_error(f"arguments are not JSON: {error}") from None
        return await propose(
            session, self.intent, arguments, self.confirm, self.accept_low_capacity
        )


@cappa.command(name="list", help="List all plans.")
@dataclass
class PlanList:
    async def run(self, session: Session) -> ExitStatus:
        session.printer.rows(await session.get("/plans"), LIST_COLUMNS)
        return ExitStatus.SUCCESS


@cappa.command(name="show", help="Show a plan and its steps.")
@dataclass
class PlanShow:
    plan_id: str

    async def run(self, session: Session) -> ExitStatus:
        print_plan(session, await session.get(f"/plans/{self.plan_id}"))
        return ExitStatus.SUCCESS


@cappa.command(name="confirm", help="Confirm a plan by its digest.")
@dataclass
class PlanConfirm:
    plan_id: str
    digest: str
    accept_low_capacity: AcceptLowCapacity = False

    async def run(self, session: Session) -> ExitStatus:
        plan = {"plan_id": self.plan_id}
        return await confirm_plan(session, plan, self.digest, self.accept_low_capacity)


@cappa.command(name="watch", help="Print each change of a plan until the plan ends.")
@dataclass
class PlanWatch:
    plan_id: str

    async def run(self, session: Session) -> ExitStatus:
        printed_plan = None
        while True:
            plan = await session.get(f"/plans/{self.plan_id}")
            if plan != printed_plan:
                printed_plan = plan
                self.print_progress(session, plan)
            if plan["state"] in EXIT_STATUS_BY_END_STATE:
                return EXIT_STATUS_BY_END_STATE[plan["state"]]
            await asyncio.sleep(POLL_PERIOD_S)

    def print_progress(self, session: Session, plan: dict[str, Any]) -> None:
        if session.printer.is_json:
            session.printer.json(plan)
            return
        done = sum(step["state"] == "done" for step in plan["steps"])
        current = next((s for s in plan["steps"] if s["state"] != "done"), None)
        step_text = f"{current['description']}: {current['detail']}" if current else ""
        line = (
            f"{plan['state']} {done}/{len(plan['steps'])} {step_text}{plan['reason']}"
        )
        session.printer.line(line.rstrip())


async def control(session: Session, plan_id: str, action: str) -> ExitStatus:
    plan = await session.post(f"/plans/{plan_id}/control", {"action": action})
    print_plan(session, plan)
    return ExitStatus.SUCCESS


@cappa.command(name="pause", help="Pause a plan before its next step.")
@dataclass
class PlanPause:
    plan_id: str

    async def run(self, session: Session) -> ExitStatus:
        return await control(session, self.plan_id, "pause")


@cappa.command(name="resume", help="Resume a paused plan.")
@dataclass
class PlanResume:
    plan_id: str

    async def run(self, session: Session) -> ExitStatus:
        return await control(session, self.plan_id, "resume")


@cappa.command(name="abort", help="Abort a plan before its next step.")
@dataclass
class PlanAbort:
    plan_id: str

    async def run(self, session: Session) -> ExitStatus:
        return await control(session, self.plan_id, "abort")


@cappa.command(name="plan", help="List, propose, confirm, watch and control plans.")
@dataclass
class PlanCommand:
    command: cappa.Subcommands[
        PlanList
        | PlanPropose
        | PlanShow
        | PlanConfirm
        | PlanWatch
        | PlanPause
        | PlanResume
        | PlanAbort
    ]

    async def run(self, session: Session) -> ExitStatus:
        return await self.command.run(session)
