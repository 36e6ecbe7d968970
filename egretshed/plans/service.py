"""Proposal, confirmation and control of plans, on any node."""

import uuid
from typing import Any

from egretshed.environment import Environment
from egretshed.errors import (
    InvalidRequest,
    PlanRefused,
    TableConflict,
)
from egretshed.invariants import require
from egretshed.logs import log_event
from egretshed.plans.capacity import calls_by_pool
from egretshed.plans.confirmation_checks import (
    check_conflicts,
    check_digest,
)
from egretshed.plans.executor import PlanExecutor
from egretshed.plans.intents import (
    INTENTS,
    PlanDraft,
    PlanningContext,
    load_intents,
)
from egretshed.plans.model import (
    FINAL_STATES,
    Plan,
    digest_of,
    plan_digest,
)
from egretshed.plans.store import (
    ActivePlans,
    StoredPlan,
    plan_key,
)
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    Platform,
)
from egretshed.records import (
    Fault,
    read_record,
)

CONTROL_BY_ACTION = {"pause": "pause", "resume": "", "abort": "abort"}
CONFLICT_ATTEMPTS = 5


class PlanService:
    """Plans of all nodes, stored in the table, and the plan executor of this node.

    `configuration`, `membership`, `backends` and `slots` are the services of this node.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        configuration: Any,
        membership: Any,
        backends: Any,
        slots: Any,
    ):
        self.env = env
        self.platform = platform
        self.configuration = configuration
        self.membership = membership
        self.backends = backends
        self.slots = slots
        self.executor = PlanExecutor(env, platform, configuration, membership, backends)
        self.store = self.executor.store

    async def run(self) -> None:
        """Execute confirmed plans while this node holds the lease, until cancelled."""
        await self.executor.run()

    async def stop(self) -> None:
        """Release the executor lease, after `run` was cancelled."""
        await self.executor.stop()

    async def propose(
        self, intent: str, arguments: dict[str, Any], operator: str
    ) -> Plan:
        """Compute and store a plan, without any effect on the running system.

        Raises `InvalidRequest`, `NotFound`, `ConfigurationInvalid`, `PlanRefused` or an
        error of the table.
        """
        load_intents()
        entry = INTENTS.get(intent)
        faults: list[Fault] = []
        typed_arguments = read_record(
            arguments, entry.arguments_type, "$.arguments", faults
        )
        if typed_arguments is None:
            raise InvalidRequest(
                f"arguments of intent {intent} are invalid",
                faults=[fault._asdict() for fault in faults],
            )
        context = self._planning_context()
        draft = await entry.compute_draft(context, typed_arguments)
        plan = await self._build_plan(context, draft, intent, arguments, operator)
        condition = Condition(plan_key(plan.plan_id), ABSENT_VERSION)
        return await self.store.write(plan, [condition])

    async def confirm(
        self, plan_id: str, digest: str, operator: str, accept_low_capacity: bool
    ) -> Plan:
        """Add a proposed plan to the active plans, which the executor carries out.

        Raises `PlanRefused` with a `reason`: not_proposed, digest_differs,
        configuration_changed, low_capacity, conflicting_plan or raced.
        """
        for _ in range(CONFLICT_ATTEMPTS):
            stored, active = await self.store.read(plan_id)
            plan = stored.plan
            check_digest(plan, digest)
            self._check_unchanged(plan)
            await self._check_capacity(plan, accept_low_capacity)
            active = self._drop_returned_domains(active)
            check_conflicts(plan, active, self.configuration.current)
            try:
                return await self._activate(
                    stored, active, operator, accept_low_capacity
                )
            except TableConflict:
                continue
        raise PlanRefused("too many concurrent confirmations", reason="raced")

    async def control(self, plan_id: str, action: str, operator: str) -> Plan:
        """Request a pause, resume or abort, which takes effect between two steps.

        An abort also ends a step that only waits. Raises `InvalidRequest`, `NotFound`
        or `PlanRefused`.
        """
        if action not in CONTROL_BY_ACTION:
            raise InvalidRequest(
                f"unknown action {action!r}; known: {list(CONTROL_BY_ACTION)}"
            )
        for _ in range(CONFLICT_ATTEMPTS):
            stored, _ = await self.store.read(plan_id)
            plan = stored.plan
            if plan.state in FINAL_STATES or plan.state == "proposed":
                message = f"plan {plan_id} is {plan.state}"
                raise PlanRefused(message, reason="not_active", state=plan.state)
            if plan.control == "abort" and action != "abort":
                message = f"plan {plan_id} is being aborted"
                raise PlanRefused(message, reason="aborting")
            state = "confirmed" if action == "resume" else plan.state
            plan = plan._replace(control=CONTROL_BY_ACTION[action], state=state)
            try:
                plan = await self.store.write(plan, [stored.condition()])
            except TableConflict:
                continue
            self._log("plan_controlled", plan, operator, action=action)
            self.executor.wake()
            return plan
        raise PlanRefused(
            f"plan {plan_id} has too many concurrent changes", reason="raced"
        )

    async def list(self) -> list[Plan]:
        """Return all plans, also those that have ended."""
        return await self.store.all_plans()

    async def show(self, plan_id: str) -> Plan:
        """Return the plan, or raise `NotFound`."""
        stored, _ = await self.store.read(plan_id)
        return stored.plan

    def _planning_context(self) -> PlanningContext:
        return PlanningContext(
            env=self.env,
            configuration=self.configuration.current,
            objects=self.configuration.objects(),
            weights=self.platform.weights,
            node_ids=tuple(member.node_id for member in self.membership.reachable()),
        )

    async def _build_plan(
        self,
        context: PlanningContext,
        draft: PlanDraft,
        intent: str,
        arguments: dict[str, Any],
        operator: str,
    ) -> Plan:
        load = await calls_by_pool(
            self.env, self.backends, context.configuration, draft.least_capacity
        )
        base_version = context.configuration.version
        plan = Plan(
            plan_id=str(uuid.UUID(int=self.env.random.getrandbits(128), version=4)),
            intent=intent,
            arguments=arguments,
            operator=operator,
            base_version=base_version,
            objects={
                id_: digest_of(context.objects.get(id_)) for id_ in draft.reserved_ids
            },
            steps=tuple(draft.steps),
            least_capacity=draft.least_capacity,
            present_load=load,
            expected_s=round(draft.expected_s, 1),
            stop_conditions=draft.stop_conditions,
            domains_out=_domains_out(draft),
            configuration_version=base_version,
        )
        return plan._replace(digest=plan_digest(plan))

    def _check_unchanged(self, plan: Plan) -> None:
        """Refuse a plan that was computed from another configuration version."""
        version = self.configuration.current.version
        if version == plan.base_version:
            return
        objects = self.configuration.objects()
        differing = sorted(
            id_
            for id_, digest in plan.objects.items()
            if digest_of(objects.get(id_)) != digest
        )
        raise PlanRefused(
            "the configuration has changed since the plan was proposed",
            reason="configuration_changed",
            differences={
                "planned_version": plan.base_version,
                "version": version,
                "objects": differing,
            },
        )

    async def _check_capacity(self, plan: Plan, accept_low_capacity: bool) -> None:
        """Refuse a plan whose lowest capacity is below the load, unless accepted.

        The load counts both at the time of the proposal and now.
        """
        if accept_low_capacity:
            return
        configuration = self.configuration.current
        load = await calls_by_pool(
            self.env, self.backends, configuration, plan.least_capacity
        )
        low = sorted({*plan.pools_below(plan.present_load), *plan.pools_below(load)})
        if low:
            raise PlanRefused(
                f"insufficient capacity in {', '.join(low)}",
                reason="low_capacity",
                least_capacity={pool: plan.least_capacity[pool] for pool in low},
                load={pool: load.get(pool, 0) for pool in low},
            )

    def _drop_returned_domains(self, active: ActivePlans) -> ActivePlans:
        """Remove failure domains that a later change has returned to service.

        A domain that is not out stays listed while its plan is active, or while this
        node's configuration is older than the version that can show it as out.
        """
        current = self.configuration.current
        kept = {}
        for name, entry in active.domains_out.items():
            domain = current.failure_domains.get(name)
            is_out = domain is not None and domain.out
            if is_out or entry["plan_id"] in active.plans:
                kept[name] = entry
            elif current.version < entry["version"]:
                kept[name] = entry
        return active._replace(domains_out=kept)

    async def _activate(
        self,
        stored: StoredPlan,
        active: ActivePlans,
        operator: str,
        accept_low_capacity: bool,
    ) -> Plan:
        """Add the plan to the active plans; raise `TableConflict` if they changed."""
        plan = stored.plan._replace(
            state="confirmed",
            confirmed_by=operator,
            accepts_low_capacity=accept_low_capacity,
        )
        entry = {
            "intent": plan.intent,
            "operator": operator,
            "objects": sorted(plan.objects),
        }
        out = {
            name: {"plan_id": plan.plan_id, "version": plan.base_version + 1}
            for name in plan.domains_out
        }
        after = active._replace(
            plans={**active.plans, plan.plan_id: entry},
            domains_out={**active.domains_out, **out},
        )
        require(self.env, len(after.domains_out) <= 1, "P3_one_failure_domain_out")
        conditions = [stored.condition(), active.condition()]
        plan = await self.store.write(plan, conditions, (after.write(),))
        self._log("plan_confirmed", plan, operator, intent=plan.intent)
        self.executor.wake()
        return plan

    def _log(self, event: str, plan: Plan, operator: str, **fields: Any) -> None:
        log_event(
            self.env.logger, event, plan_id=plan.plan_id, operator=operator, **fields
        )


def _domains_out(draft: PlanDraft) -> tuple[str, ...]:
    """Return the failure domain that the steps take out; refuse more than one."""
    names = {
        object_id.partition("/")[2]
        for step in draft.steps
        if step.action == "configuration"
        for object_id, body in step.arguments["changes"].items()
        if object_id.startswith("failure_domains/")
        and body
        and body.get("out")
        and not (step.arguments["before"][object_id] or {}).get("out")
    }
    if len(names) > 1:
        raise PlanRefused(
            "a plan takes out at most one failure domain", reason="two_domains_out"
        )
    return tuple(names)
