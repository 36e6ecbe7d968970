"""What the stand-ins of a deployment can carry, worked out from their settings.

All work is counted in slot-seconds of a warm pool with every slot in use, where a slot
does the most work per second for its pool.
"""

import math
from collections.abc import Iterable
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.schedule import (
    Deployment,
    PlannedRequest,
)
from standins.backend_spec import BackendSpec
from standins.backend_work import (
    CHARACTERS_PER_TOKEN,
    SHARED_PROMPT_SHARE,
)
from standins.deployment import backend_specs

SMALLEST_BURST = 1
# Far above any burst that a run sends; bounds the search.
LARGEST_BURST = 100_000


class PoolCapacity(NamedTuple):
    """Slot-seconds per second of one pool, cold and warm.

    `warm_after` is the number of calls after which the whole pool can be warm, 0 if it
    starts warm.
    """

    warm_rate: float
    cold_rate: float
    warm_after: int

    def max_work_s(self, seconds: float, least_work_s: float) -> float:
        """Return the most work done in `seconds` after the start.

        A cold pool becomes warm as early as calls of `least_work_s` allow.
        """
        cold_s = self.warm_after * least_work_s / self.cold_rate
        warm_s = max(0.0, seconds - cold_s)
        return self.cold_rate * (seconds - warm_s) + self.warm_rate * warm_s


class Capacity:
    """Capacity of each pool and the work that each kind of request brings to it."""

    def __init__(self, folder: Path, deployment: Deployment):
        specs: dict[str, list[BackendSpec]] = {}
        for spec in backend_specs(folder):
            specs.setdefault(spec.pool, []).append(spec)
        self.deployment = deployment
        self.pools = {name: pool_capacity(pool) for name, pool in specs.items()}
        self.engines = {n: pool[0] for n, pool in specs.items() if _is_engine(pool[0])}
        self.work_s = kind_work(folder, deployment, specs)

    def requests_per_s(self) -> float:
        """Return the rate of the mix at which the first warm pool has no slot left.

        It is the least over pools of slots / (sum over kinds of share * work).
        """
        kinds = self.deployment.kinds.values()
        total = sum(kind.share for kind in kinds)
        rates = []
        for name, pool in self.pools.items():
            work_s = sum(
                k.share / total * self.work_s[k.name].get(name, 0) for k in kinds
            )
            if work_s > 0:
                rates.append(pool.warm_rate / work_s)
        return min(rates)

    def max_burst_requests(self) -> int:
        """Return how many requests of the mix, all sent at one moment, end in time.

        It is the largest number for which, in each pool, the work due by each deadline
        fits into what the pool does until then (earliest deadline first).
        """
        low, high = 0, LARGEST_BURST
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if self._fits(middle) else (low, middle)
        return max(SMALLEST_BURST, low)

    def max_requests_in_time(self, plan: list[PlannedRequest]) -> int:
        """Return an upper bound on the requests of `plan` that can end in time.

        Requests whose spans from arrival to deadline overlap form a group. Within a
        group and pool, requests are taken in order of their deadline; whenever the
        work taken exceeds what the pool can do from the group's first arrival to that
        deadline, the largest is dropped (Moore and Hodgson's rule). A group's bound is
        the least over pools of its requests minus those dropped. The bound assumes
        full batches, a cached shared prefix, and no network or routing time. Only the
        first group finds a cold pool.
        """
        groups = list(self._groups(plan))
        return sum(
            len(group)
            - max(self._dropped(group, pool, index == 0) for pool in self.pools)
            for index, group in enumerate(groups)
        )

    def engine_slowdown(self, servers: list[dict[str, Any]]) -> float:
        """Return how much longer completed calls of warm engines took than worked out.

        Up to 1 is right, since a call in a smaller batch is faster. Above it the
        machine of the run was too busy for the stand-ins to keep their times, and the
        bounds of this class are too high by that factor.
        """
        took_s = expected_s = 0.0
        for server in servers:
            spec = self.engines.get(server["pool"])
            for call in server["calls"] if spec else ():
                if call["outcome"] == "completed" and not call["while_cold"]:
                    took_s += call["end_s"] - call["start_s"]
                    uncached = call["prompt_tokens"] - call["cached_tokens"]
                    expected_s += _engine_work_s(spec, call["tokens"], uncached)
        return took_s / expected_s if expected_s else 1.0

    def _groups(self, plan: list[PlannedRequest]) -> Iterable[list[PlannedRequest]]:
        group: list[PlannedRequest] = []
        ends_s = -math.inf
        for request in sorted(plan, key=lambda request: request.at_s):
            if group and request.at_s > ends_s:
                yield group
                group = []
            group.append(request)
            ends_s = max(ends_s, self._due_s(request))
        if group:
            yield group

    def _dropped(self, group: list[PlannedRequest], name: str, first: bool) -> int:
        work = [self.work_s[r.kind].get(name, 0.0) for r in group]
        least_s = min((each for each in work if each > 0), default=0.0)
        if not least_s:
            return 0
        pool = self.pools[name]
        pool = pool if first else pool._replace(warm_after=0)
        taken: list[float] = []
        dropped = 0
        start_s = group[0].at_s
        for due_s, each in sorted(
            (self._due_s(r), w) for r, w in zip(group, work, strict=True) if w > 0
        ):
            taken.append(each)
            while sum(taken) > pool.max_work_s(due_s - start_s, least_s):
                taken.remove(max(taken))
                dropped += 1
        return dropped

    def _due_s(self, request: PlannedRequest) -> float:
        return request.at_s + self.deployment.kinds[request.kind].deadline_s

    def _fits(self, requests: int) -> bool:
        kinds = sorted(self.deployment.kinds.values(), key=lambda k: k.deadline_s)
        total = sum(kind.share for kind in kinds)
        for name, pool in self.pools.items():
            work = [self.work_s[k.name].get(name, 0.0) for k in kinds]
            least_s = min((each for each in work if each > 0), default=0.0)
            due = 0.0
            for kind, each in zip(kinds, work, strict=True):
                due += requests * kind.share / total * each
                if due > pool.max_work_s(kind.deadline_s, least_s):
                    return False
        return True


def pool_capacity(specs: list[BackendSpec]) -> PoolCapacity:
    """Return the capacity of a pool's replicas, which have the same settings.

    A warm replica does `warm_slots` slot-seconds per second. A cold one does
    ``cold_slots * f(warm_slots) / f(cold_slots) / cold_factor``, where
    ``f(n) = 1 + batch_growth * (n - 1)`` is how much longer a step of n calls takes.
    """
    spec = specs[0]
    timing = spec.timing
    growth = timing.batch_growth if _is_engine(spec) else 0.0
    warm_step = 1 + growth * (spec.warm_slots - 1)
    cold_step = 1 + growth * (spec.cold_slots - 1)
    cold = spec.cold_slots * warm_step / cold_step / timing.cold_factor
    return PoolCapacity(
        warm_rate=float(len(specs) * spec.warm_slots),
        cold_rate=len(specs) * cold,
        warm_after=0 if spec.starts_warm else len(specs) * spec.warm_up_calls,
    )


def kind_work(
    folder: Path, deployment: Deployment, specs: dict[str, list[BackendSpec]]
) -> dict[str, dict[str, float]]:
    """Return the slot-seconds that one request of each kind takes in each pool."""
    kinds = _read(folder / "kinds.json")
    pipelines = _read(folder / "pipelines.json")
    return {
        name: {
            pool: _call_work_s(
                specs[pool][0], rules.max_tokens, rules.prompt_characters
            )
            for pool in _pools_of(kinds[name], pipelines)
        }
        for name, rules in deployment.kinds.items()
    }


def _pools_of(kind: dict[str, Any], pipelines: dict[str, Any]) -> list[str]:
    if "pipeline" not in kind:
        return [kind["service"]]
    return [stage["pool"] for stage in pipelines[kind["pipeline"]]["stages"]]


def _call_work_s(spec: BackendSpec, tokens: int, prompt_characters: int) -> float:
    if not _is_engine(spec):
        return spec.timing.call_s
    uncached = prompt_characters / CHARACTERS_PER_TOKEN * (1 - SHARED_PROMPT_SHARE)
    return _engine_work_s(spec, tokens, uncached)


def _engine_work_s(spec: BackendSpec, tokens: int, uncached: float) -> float:
    """Return the time of a call in a full batch of a warm engine."""
    timing = spec.timing
    step_s = timing.token_s * (1 + timing.batch_growth * (spec.warm_slots - 1))
    return tokens * step_s + uncached * timing.prompt_token_s


def _is_engine(spec: BackendSpec) -> bool:
    return spec.role == "engine"


def _read(file: Path) -> Any:
    return msgspec.json.decode(file.read_bytes())
