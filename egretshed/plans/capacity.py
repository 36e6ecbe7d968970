"""Slots and present load of pools, as plans weigh them."""

import asyncio
from collections.abc import (
    Callable,
    Iterable,
)
from typing import NamedTuple

from egretshed.backends.interface import LoadReport
from egretshed.configuration.schema import (
    Configuration,
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.errors import EgretshedError
from egretshed.plans.timeouts import within


class PoolLoad(NamedTuple):
    """Running and queued calls; `warm` has the replicas that report to be warm."""

    calls: int
    warm: frozenset[str]
    silent: tuple[str, ...]


def slots_without(
    configuration: Configuration, pool: Pool, removed: Callable[[Replica], bool]
) -> int:
    """Return the warm slots of the replicas in service that are not `removed`."""
    kept = sum(
        configuration.is_in_service(replica) and not removed(replica)
        for replica in pool.replicas
    )
    return kept * pool.warm_slots


async def read_load(env: Environment, backends, replica_id: str) -> LoadReport | None:
    """Return the replica's load report, or None if it gives none in time."""
    try:
        limit_s = env.settings.plans.order_timeout_s
        return await within(env.clock, backends.get(replica_id).load(), limit_s)
    except (EgretshedError, TimeoutError):
        return None


async def pool_load(env: Environment, backends, pool: Pool) -> PoolLoad:
    """Return what the pool's replicas report now; silent replicas count no calls."""
    ids = [replica.replica_id for replica in pool.replicas]
    reports = await asyncio.gather(*(read_load(env, backends, id_) for id_ in ids))
    by_id = dict(zip(ids, reports))
    reachable = [report for report in reports if report is not None]
    return PoolLoad(
        calls=sum(report.in_flight + report.queued for report in reachable),
        warm=frozenset(id_ for id_, report in by_id.items() if report and report.warm),
        silent=tuple(id_ for id_, report in by_id.items() if report is None),
    )


async def calls_by_pool(
    env: Environment, backends, configuration: Configuration, names: Iterable[str]
) -> dict[str, int]:
    pools = [name for name in sorted(names) if name in configuration.pools]
    loads = await asyncio.gather(
        *(pool_load(env, backends, configuration.pools[name]) for name in pools)
    )
    return {name: load.calls for name, load in zip(pools, loads)}
