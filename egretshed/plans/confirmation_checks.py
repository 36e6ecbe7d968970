"""Reasons to refuse a confirmation that follow from the plan and the active plans."""

from egretshed.configuration.schema import Configuration
from egretshed.errors import PlanRefused
from egretshed.plans.model import (
    Plan,
    plan_digest,
)
from egretshed.plans.store import Active


def check_digest(plan: Plan, digest: str) -> None:
    if plan.state != "proposed":
        raise PlanRefused(
            f"plan {plan.plan_id} is {plan.state} already",
            reason="not_proposed",
            state=plan.state,
        )
    if digest != plan.digest or plan_digest(plan) != digest:
        raise PlanRefused(
            "the digest is not that of the plan",
            reason="digest_differs",
            differences={"given": digest, "plan": plan.digest},
        )


def check_conflicts(plan: Plan, active: Active, current: Configuration) -> None:
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
            what = f"failure domain {name} is out"
            operator = active.plans.get(other_id, {}).get("operator", "")
            _refuse_conflict(other_id, operator, what)


def _refuse_conflict(other_id: str, operator: str, what: str) -> None:
    raise PlanRefused(
        f"conflicts with plan {other_id or '(none)'}: {what}",
        reason="conflicting_plan",
        conflicting_plan=other_id,
        conflicting_operator=operator,
    )
