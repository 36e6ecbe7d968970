"""Slots and current load of pools, which plans compare before they remove replicas."""

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
from egretshed.plans.timeouts import call_with_timeout


class PoolLoad(NamedTuple):
    """Running and queued calls of a pool.

    `warm` and `not_reporting` hold ids of the replicas that report to be warm, and of
    those that gave no load report in time.
    """

    calls: int
    warm: frozenset[str]
    not_reporting: tuple[str, ...]


def remaining_slots(
    configuration: Configuration, pool: Pool, is_removed: Callable[[Replica], bool]
) -> int:
    """Return the warm slots of the replicas in service that are not removed."""
    kept = sum(
        configuration.is_in_service(replica) and not is_removed(replica)
        for replica in pool.replicas
    )
    return kept * pool.warm_slots


async def read_load_report(
    env: Environment, backends, replica_id: str
) -> LoadReport | None:
    """Return the replica's load report, or None after an error or a timeout."""
    try:
        timeout_s = env.settings.plans.order_timeout_s
        return await call_with_timeout(
            env.clock, backends.get(replica_id).load(), timeout_s
        )
    except (EgretshedError, TimeoutError):
        return None


async def pool_load(env: Environment, backends, pool: Pool) -> PoolLoad:
    """Query all replicas of the pool; those that do not report count as no calls."""
    ids = [replica.replica_id for replica in pool.replicas]
    reports = await asyncio.gather(
        *(read_load_report(env, backends, id_) for id_ in ids)
    )
    by_id = dict(zip(ids, reports))
    reachable = [report for report in reports if report is not None]
    return PoolLoad(
        calls=sum(report.in_flight + report.queued for report in reachable),
        warm=frozenset(id_ for id_, report in by_id.items() if report and report.warm),
        not_reporting=tuple(id_ for id_, report in by_id.items() if report is None),
    )


async def calls_by_pool(
    env: Environment, backends, configuration: Configuration, names: Iterable[str]
) -> dict[str, int]:
    """Return the running and queued calls of those pools that exist."""
    pools = [name for name in sorted(names) if name in configuration.pools]
    loads = await asyncio.gather(
        *(pool_load(env, backends, configuration.pools[name]) for name in pools)
    )
    return {name: load.calls for name, load in zip(pools, loads)}
