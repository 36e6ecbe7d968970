"""Execution of confirmed plans on the node that holds the executor lease.

All progress is stored in the table and read again in each pass. A lost reply and a
failover to another node therefore need no special handling: the step is repeated, or
found to be done.
"""

import asyncio
import logging
from typing import Any

from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.logs import log_event
from egretshed.plans.actions import (
    ACTIONS,
    StepContext,
    StepResult,
)
from egretshed.plans.lease import (
    ExecutorLease,
    LeaseLost,
)
from egretshed.plans.model import (
    Plan,
    Step,
)
from egretshed.plans.store import (
    ACTIVE_PLANS_KEY,
    ActivePlans,
    PlanStore,
    StoredPlan,
    read_active_plans,
)
from egretshed.platform.interface import Platform


class PlanExecutor:
    """Runs on every node and executes plans while this node holds the lease.

    `on_leave` is awaited when a plan drains this node, with or without the lease.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        configuration: Any,
        membership: Any,
        backends: Any,
    ):
        self.env = env
        self.table = platform.table
        self.store = PlanStore(env, platform.table)
        self.lease = ExecutorLease(env, platform.table)
        self.on_leave = membership.leave
        self.context = StepContext(
            env, platform, configuration, membership, backends, self.lease
        )
        self._wake = asyncio.Event()
        self._attempts: dict[tuple[str, str], int] = {}
        self._waiting_since_s: dict[tuple[str, str], float] = {}
        self._has_left = False

    def wake(self) -> None:
        """Start the next pass now instead of at the next poll."""
        self._wake.set()

    async def run(self) -> None:
        """Run passes until cancelled; log an `EgretshedError` that ends a pass."""
        while True:
            self._wake.clear()
            busy = False
            try:
                busy = await self.run_once()
            except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
                self._log("plan_pass_failed", error=error.code, detail=str(error))
            except LeaseLost as error:
                self._log("executor_lease_lost", detail=str(error))
            except EgretshedError as error:
                self._log(
                    "plan_pass_failed",
                    level=logging.ERROR,
                    error=error.code,
                    detail=str(error),
                )
            plans = self.env.settings.plans
            await self._sleep(plans.step_period_s if busy else plans.idle_poll_s)

    async def stop(self) -> None:
        """Release the lease for another node; called after `run` was cancelled."""
        if self.lease.is_held:
            await self.lease.release()

    async def run_once(self) -> bool:
        """Advance each active plan by at most one step.

        Return whether this node is the executor.
        """
        active = read_active_plans(
            (await self.table.read([ACTIVE_PLANS_KEY])).get(ACTIVE_PLANS_KEY)
        )
        if not active.plans:
            if self.lease.is_held:
                await self.lease.release()
            return False
        await self._leave_if_ordered(active)
        if not await self._ensure_lease():
            return False
        for plan_id in sorted(active.plans):
            await self._renew_if_due()
            await self._advance(plan_id)
        return True

    async def _sleep(self, duration_s: float) -> None:
        """Wait for `duration_s` or until `wake` is called."""
        timer = asyncio.ensure_future(self.env.clock.sleep(duration_s))
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({timer, wake}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            wake.cancel()

    async def _ensure_lease(self) -> bool:
        """Acquire the lease unless it is held; return whether it is."""
        if self.lease.remaining_s() <= 0:
            self.lease.drop()
        if not self.lease.is_held and not await self.lease.acquire():
            return False
        return True

    async def _renew_if_due(self) -> None:
        plans = self.env.settings.plans
        if self.lease.remaining_s() < plans.lease_s - plans.order_timeout_s:
            await self.lease.renew()

    async def _advance(self, plan_id: str) -> None:
        """Run the next step, or apply a pending pause or abort before it starts."""
        stored, active = await self.store.read(plan_id)
        plan = stored.plan
        step = plan.next_step()
        if step is None:
            await self._end_plan(stored, active, plan, "done", "all steps are done")
        elif step.state == "running":
            # A started step is finished before a pause or abort, so that a delayed
            # repetition by a previous executor finds a newer state and has no effect.
            await self._run_step(stored, active, step)
        elif plan.control == "abort":
            reason = f"aborted by operator before step {step.step_id}"
            await self._end_plan(stored, active, plan, "aborted", reason)
        elif plan.control == "pause":
            if plan.state != "paused":
                await self._save_progress(stored, plan._replace(state="paused"))
        else:
            await self._start_step(stored, active, step)

    async def _start_step(
        self, stored: StoredPlan, active: ActivePlans, step: Step
    ) -> None:
        """Store that the step is running before it can have an effect, then run it."""
        running = step._replace(state="running")
        plan = stored.plan._replace(state="running").with_step(running)
        await self._save_progress(stored, plan)
        stored, active = await self.store.read(plan.plan_id)
        await self._run_step(stored, active, running)

    async def _run_step(
        self, stored: StoredPlan, active: ActivePlans, step: Step
    ) -> None:
        """Run the action of a step and store the result."""
        plan = stored.plan
        result = await ACTIONS.get(step.action)(self.context, plan, step)
        outcome = self._apply_limits(plan, step, result)
        if outcome == "done":
            done = step._replace(state="done", detail=result.detail)
            version = max(plan.configuration_version, result.configuration_version)
            plan = plan.with_step(done)._replace(configuration_version=version)
            if plan.next_step() is None:
                await self._end_plan(stored, active, plan, "done", "all steps are done")
            else:
                await self._save_progress(stored, plan)
        elif outcome == "stop":
            reason = f"step {step.step_id} ({step.description}): {result.detail}"
            plan = plan.with_step(step._replace(detail=result.detail))
            state = "aborted" if plan.control == "abort" else "stopped"
            await self._end_plan(stored, active, plan, state, reason)
        elif result.detail != step.detail:
            await self._save_progress(
                stored, plan.with_step(step._replace(detail=result.detail))
            )

    def _apply_limits(self, plan: Plan, step: Step, result: StepResult) -> str:
        """Return done, wait or stop for the result of a step.

        Failures stop the plan after `order_attempts`, waits after `wait_limit_s`. Both
        are counted in memory, so that a new executor starts again from zero.
        """
        key = (plan.plan_id, step.step_id)
        limits = self.env.settings.plans
        if result.outcome == "failed":
            self._attempts[key] = self._attempts.get(key, 0) + 1
            return "stop" if self._attempts[key] >= limits.order_attempts else "wait"
        if result.outcome == "wait":
            now_s = self.env.clock.monotonic_s()
            since_s = self._waiting_since_s.setdefault(key, now_s)
            limit_s = max(limits.wait_limit_s, result.min_wait_limit_s)
            # A waiting step has no effect that must be finished, so it is aborted at
            # once.
            is_wait_step = step.action.startswith(("wait_", "check_"))
            aborted = plan.control == "abort" and is_wait_step
            return "stop" if aborted or now_s - since_s >= limit_s else "wait"
        self._attempts.pop(key, None)
        self._waiting_since_s.pop(key, None)
        return result.outcome

    async def _save_progress(self, stored: StoredPlan, plan: Plan) -> None:
        """Write the plan on condition that this node still holds the lease."""
        conditions = [stored.condition(), self.lease.condition()]
        await self.store.write(plan, conditions)

    async def _end_plan(
        self,
        stored: StoredPlan,
        active: ActivePlans,
        plan: Plan,
        state: str,
        reason: str,
    ) -> None:
        """Write the final state and release the reserved objects in one transaction."""
        plan = plan._replace(state=state, reason=f"{reason}; {_progress_summary(plan)}")
        plans = {
            id_: entry for id_, entry in active.plans.items() if id_ != plan.plan_id
        }
        domains_out = {
            name: entry
            for name, entry in active.domains_out.items()
            if not self._is_back_in_service(name, entry, plan)
        }
        after = active._replace(plans=plans, domains_out=domains_out)
        conditions = [stored.condition(), active.condition(), self.lease.condition()]
        await self.store.write(plan, conditions, (after.write(),))
        self._log("plan_ended", plan_id=plan.plan_id, state=state, reason=plan.reason)

    def _is_back_in_service(self, name: str, entry: dict, plan: Plan) -> bool:
        """Whether the failure domain is known to be in service after `plan`.

        That is so if `plan` is the one that was to take the domain out but did not
        start that step, or if `plan` is done and has returned the domain.
        """
        changed = [
            step.arguments["changes"].get(f"failure_domains/{name}", {})
            for step in plan.steps
            if step.action == "configuration" and step.state != "pending"
        ]
        if entry["plan_id"] == plan.plan_id:
            return not any(body and body.get("out") for body in changed)
        done = plan.next_step() is None
        return done and any(
            body is None or body and not body.get("out") for body in changed
        )

    async def _leave_if_ordered(self, active: ActivePlans) -> None:
        """Leave the cluster once a plan that drains this node runs its step."""
        own_id = f"nodes/{self.env.identity.node_id}"
        for plan_id, entry in active.plans.items():
            if own_id not in entry["objects"] or self._has_left:
                continue
            stored, _ = await self.store.read(plan_id)
            step = stored.plan.next_step()
            if step is not None and step.state == "running":
                self._has_left = True
                await self.on_leave()

    def _log(self, event: str, level: int = logging.INFO, **fields: Any) -> None:
        log_event(self.env.logger, event, level=level, **fields)


def _progress_summary(plan: Plan) -> str:
    """Describe which steps of a plan that ends have or may have taken effect."""
    done = sum(step.state == "done" for step in plan.steps)
    text = f"{done} of {len(plan.steps)} steps done"
    step = plan.next_step()
    if step is not None and step.state == "running":
        text += f", step {step.step_id} may have taken effect"
    return text + ", no other step started" if step is not None else text
