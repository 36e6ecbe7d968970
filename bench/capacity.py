"""Capacity of a deployment's stand-in backend servers, computed from their settings.

The unit of work is the slot-second of a warm pool with every slot in use, which is the
state in which a pool has its highest throughput.
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

MIN_BURST_REQUESTS = 1
# Upper end of the binary search, far above the burst size of any run.
MAX_BURST_REQUESTS = 100_000


class PoolCapacity(NamedTuple):
    """Throughput of one pool in slot-seconds per second, cold and warm.

    `warm_up_calls` is the number of calls after which the whole pool can be warm; it is
    0 if the pool starts warm.
    """

    warm_rate: float
    cold_rate: float
    warm_up_calls: int

    def max_work_s(self, seconds: float, min_call_work_s: float) -> float:
        """Return an upper bound on the slot-seconds done in the first `seconds`.

        A cold pool is assumed to warm up with calls of `min_call_work_s` slot-seconds,
        the shortest possible warm-up.
        """
        cold_s = self.warm_up_calls * min_call_work_s / self.cold_rate
        warm_s = max(0.0, seconds - cold_s)
        return self.cold_rate * (seconds - warm_s) + self.warm_rate * warm_s


class Capacity:
    """Capacity of each pool, and its work for one request of each kind."""

    def __init__(self, folder: Path, deployment: Deployment):
        specs: dict[str, list[BackendSpec]] = {}
        for spec in backend_specs(folder):
            specs.setdefault(spec.pool, []).append(spec)
        self.deployment = deployment
        self.pools = {name: pool_capacity(pool) for name, pool in specs.items()}
        self.engines = {n: pool[0] for n, pool in specs.items() if _is_engine(pool[0])}
        self.work_s = work_by_kind_s(folder, deployment, specs)

    def requests_per_s(self) -> float:
        """Return the request rate of the mix that saturates the first warm pool.

        It is the minimum over pools of slots / (sum over kinds of share * work).
        """
        kinds = self.deployment.kinds.values()
        total = sum(kind.share for kind in kinds)
        rates = []
        for name, pool in self.pools.items():
            mean_work_s = sum(
                k.share / total * self.work_s[k.name].get(name, 0) for k in kinds
            )
            if mean_work_s > 0:
                rates.append(pool.warm_rate / mean_work_s)
        return min(rates)

    def max_burst_requests(self) -> int:
        """Return how many requests of the mix, all sent at once, meet their deadlines.

        It is the largest number for which, in each pool and for each deadline, the work
        due by the deadline is at most what the pool can do until then (earliest
        deadline first).
        """
        low, high = 0, MAX_BURST_REQUESTS
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (
                (middle, high) if self._meets_deadlines(middle) else (low, middle)
            )
        return max(MIN_BURST_REQUESTS, low)

    def max_requests_in_time(self, plan: list[PlannedRequest]) -> int:
        """Return an upper bound on the requests of `plan` that can meet their deadline.

        Requests whose intervals from arrival to deadline overlap form a group. Within a
        group and pool, requests are accepted in order of their deadline; whenever the
        accepted work exceeds what the pool can do from the group's first arrival to
        that deadline, the largest request is dropped (the Moore-Hodgson algorithm). A
        group's bound is its number of requests less the highest number dropped in any
        pool. The bound assumes full batches, a cached shared prefix, and no network or
        routing time. Only the first group can find a cold pool.
        """
        groups = list(self._overlapping_groups(plan))
        return sum(
            len(group)
            - max(self._count_dropped(group, pool, index == 0) for pool in self.pools)
            for index, group in enumerate(groups)
        )

    def engine_slowdown(self, servers: list[dict[str, Any]]) -> float:
        """Return the ratio of measured to computed duration of calls of warm engines.

        Only completed calls count. A ratio of at most 1 is expected, since a call in a
        smaller batch is faster. A ratio above 1 means that the machine was too busy for
        the stand-ins to keep their configured timing, and that the bounds of this class
        are too high by that factor.
        """
        measured_s = expected_s = 0.0
        for server in servers:
            spec = self.engines.get(server["pool"])
            for call in server["calls"] if spec else ():
                if call["outcome"] == "completed" and not call["while_cold"]:
                    measured_s += call["end_s"] - call["start_s"]
                    uncached_tokens = call["prompt_tokens"] - call["cached_tokens"]
                    expected_s += _engine_work_s(spec, call["tokens"], uncached_tokens)
        return measured_s / expected_s if expected_s else 1.0

    def _overlapping_groups(
        self, plan: list[PlannedRequest]
    ) -> Iterable[list[PlannedRequest]]:
        group: list[PlannedRequest] = []
        last_deadline_s = -math.inf
        for request in sorted(plan, key=lambda request: request.at_s):
            if group and request.at_s > last_deadline_s:
                yield group
                group = []
            group.append(request)
            last_deadline_s = max(last_deadline_s, self._due_s(request))
        if group:
            yield group

    def _count_dropped(
        self, group: list[PlannedRequest], pool_name: str, is_first: bool
    ) -> int:
        works_s = [self.work_s[r.kind].get(pool_name, 0.0) for r in group]
        min_work_s = min((work_s for work_s in works_s if work_s > 0), default=0.0)
        if not min_work_s:
            return 0
        pool = self.pools[pool_name]
        pool = pool if is_first else pool._replace(warm_up_calls=0)
        accepted_s: list[float] = []
        dropped = 0
        start_s = group[0].at_s
        for due_s, work_s in sorted(
            (self._due_s(r), w) for r, w in zip(group, works_s, strict=True) if w > 0
        ):
            accepted_s.append(work_s)
            while sum(accepted_s) > pool.max_work_s(due_s - start_s, min_work_s):
                accepted_s.remove(max(accepted_s))
                dropped += 1
        return dropped

    def _due_s(self, request: PlannedRequest) -> float:
        return request.at_s + self.deployment.kinds[request.kind].deadline_s

    def _meets_deadlines(self, requests: int) -> bool:
        kinds = sorted(self.deployment.kinds.values(), key=lambda k: k.deadline_s)
        total = sum(kind.share for kind in kinds)
        for name, pool in self.pools.items():
            works_s = [self.work_s[k.name].get(name, 0.0) for k in kinds]
            min_work_s = min((work_s for work_s in works_s if work_s > 0), default=0.0)
            due_work_s = 0.0
            for kind, work_s in zip(kinds, works_s, strict=True):
                due_work_s += requests * kind.share / total * work_s
                if due_work_s > pool.max_work_s(kind.deadline_s, min_work_s):
                    return False
        return True


def pool_capacity(specs: list[BackendSpec]) -> PoolCapacity:
    """Return the capacity of a pool, whose replicas all have the same settings.

    A warm replica does `warm_slots` slot-seconds per second. A cold one does
    ``cold_slots * f(warm_slots) / f(cold_slots) / cold_factor``, where
    ``f(n) = 1 + batch_growth * (n - 1)`` is the duration of a step with a batch of n
    calls, relative to a step with one call.
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
        warm_up_calls=0 if spec.starts_warm else len(specs) * spec.warm_up_calls,
    )


def work_by_kind_s(
    folder: Path, deployment: Deployment, specs: dict[str, list[BackendSpec]]
) -> dict[str, dict[str, float]]:
    """Return the slot-seconds of one request by kind and pool."""
    kinds = _read_json(folder / "kinds.json")
    pipelines = _read_json(folder / "pipelines.json")
    return {
        name: {
            pool: _call_work_s(
                specs[pool][0], options.max_tokens, options.prompt_characters
            )
            for pool in _pools_of(kinds[name], pipelines)
        }
        for name, options in deployment.kinds.items()
    }


def _pools_of(kind: dict[str, Any], pipelines: dict[str, Any]) -> list[str]:
    if "pipeline" not in kind:
        return [kind["service"]]
    return [stage["pool"] for stage in pipelines[kind["pipeline"]]["stages"]]


def _call_work_s(spec: BackendSpec, tokens: int, prompt_characters: int) -> float:
    if not _is_engine(spec):
        return spec.timing.call_s
    uncached_tokens = (
        prompt_characters / CHARACTERS_PER_TOKEN * (1 - SHARED_PROMPT_SHARE)
    )
    return _engine_work_s(spec, tokens, uncached_tokens)


def _engine_work_s(spec: BackendSpec, tokens: int, uncached_tokens: float) -> float:
    """Return the duration of a call in a full batch of a warm engine.

    `tokens` are generated; `uncached_tokens` are prompt tokens outside the cached
    prefix.
    """
    timing = spec.timing
    step_s = timing.token_s * (1 + timing.batch_growth * (spec.warm_slots - 1))
    return tokens * step_s + uncached_tokens * timing.prompt_token_s


def _is_engine(spec: BackendSpec) -> bool:
    return spec.role == "engine"


def _read_json(file: Path) -> Any:
    return msgspec.json.decode(file.read_bytes())
