"""Client of the operator API, which proposes and confirms plans over HTTP."""

from typing import Any

import msgspec

from bench.cluster import Cluster
from bench.http_stream import (
    ConnectionLost,
    exchange,
)

RESPONSE_TIMEOUT_S = 15.0
PLAN_LIMIT_S = 60.0
POLL_S = 0.1
FIRST_ERROR_STATUS = 300


class PlanFailed(Exception):
    """A plan was refused, stopped or aborted, or did not complete in time."""


class OperatorClient:
    """Sends each call to the first entry node that responds."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        keys = (cluster.deployment / "sample_keys.json").read_bytes()
        # The first operator of each example deployment has all rights.
        self.key = next(iter(msgspec.json.decode(keys)["operators"].values()))

    async def propose_and_confirm(self, intent: str, failure_domain: str) -> str:
        """Propose and confirm a plan for the failure domain; return the plan id."""
        arguments = {"failure_domain": failure_domain}
        proposal = {"intent": intent, "arguments": arguments}
        plan = await self.call("POST", "/plans", proposal)
        confirmation = {"digest": plan["digest"], "accept_low_capacity": True}
        await self.call("POST", f"/plans/{plan['plan_id']}/confirm", confirmation)
        return plan["plan_id"]

    async def wait_for_first_step(self, plan_id: str) -> None:
        """Return once the first step of the plan is done."""
        await self._wait_for(plan_id, lambda plan: plan["steps"][0]["state"] == "done")

    async def wait_until_done(self, plan_id: str) -> None:
        await self._wait_for(plan_id, lambda plan: plan["state"] == "done")

    async def replicas(self) -> list[dict[str, Any]]:
        return await self.call("GET", "/replicas")

    async def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded response of the first node that responds.

        Raises `PlanFailed` if that is an error status, or if no node responds.
        """
        failure = PlanFailed("no entry node is known")
        for address in self.cluster.entry_addresses():
            try:
                response = await exchange(
                    self.cluster.clock,
                    address,
                    method,
                    f"/v1/operator{path}",
                    {"Authorization": f"Bearer {self.key}"},
                    b"" if body is None else msgspec.json.encode(body),
                    RESPONSE_TIMEOUT_S,
                )
            except ConnectionLost as lost:
                failure = PlanFailed(f"{method} {path}: {lost}")
                continue
            if response.status < FIRST_ERROR_STATUS:
                return msgspec.json.decode(response.body)
            raise PlanFailed(f"{method} {path}: {response.body.decode()}")
        raise failure

    async def _wait_for(self, plan_id: str, condition) -> None:
        clock = self.cluster.clock
        end_s = clock.monotonic_s() + PLAN_LIMIT_S
        while clock.monotonic_s() < end_s:
            plan = await self.call("GET", f"/plans/{plan_id}")
            if condition(plan):
                return
            if plan["state"] in ("stopped", "aborted"):
                raise PlanFailed(f"plan {plan_id} is {plan['state']}: {plan['reason']}")
            await clock.sleep(POLL_S)
        raise PlanFailed(f"plan {plan_id} did not complete within {PLAN_LIMIT_S} s")
