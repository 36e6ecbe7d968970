"""Checks of a plan before it is confirmed.

They need only the plan, the active plans and the current configuration, and raise
`PlanRefused` with a `reason` that clients can act on.
"""

from egretshed.configuration.schema import Configuration
from egretshed.errors import PlanRefused
from egretshed.plans.model import (
    Plan,
    plan_digest,
)
from egretshed.plans.store import ActivePlans


def check_digest(plan: Plan, digest: str) -> None:
    """Refuse a plan that is not proposed, or that is not the one the operator saw."""
    if plan.state != "proposed":
        raise PlanRefused(
            f"plan {plan.plan_id} is {plan.state}, but must be proposed",
            reason="not_proposed",
            state=plan.state,
        )
    if digest != plan.digest or plan_digest(plan) != digest:
        raise PlanRefused(
            "the given digest differs from that of the plan",
            reason="digest_differs",
            differences={"given": digest, "plan": plan.digest},
        )


def check_conflicts(plan: Plan, active: ActivePlans, current: Configuration) -> None:
    """Refuse a plan that shares an object with an active plan.

    A plan that takes out a failure domain is also refused while another one is out or
    is being taken out.
    """
    for other_id, entry in active.plans.items():
        shared = sorted(set(entry["objects"]) & set(plan.objects))
        if shared:
            _refuse_conflict(other_id, entry["operator"], ", ".join(shared))
    if not plan.domains_out:
        return
    out = {name: entry["plan_id"] for name, entry in active.domains_out.items()}
    for name, domain in current.failure_domains.items():
        if domain.out:
            out.setdefault(name, "")
    for name, other_id in out.items():
        if name not in plan.domains_out:
            conflict = f"failure domain {name} is out of service"
            operator = active.plans.get(other_id, {}).get("operator", "")
            _refuse_conflict(other_id, operator, conflict)


def _refuse_conflict(other_id: str, operator: str, conflict: str) -> None:
    raise PlanRefused(
        f"conflicts with plan {other_id or '(none)'}: {conflict}",
        reason="conflicting_plan",
        conflicting_plan=other_id,
        conflicting_operator=operator,
    )
