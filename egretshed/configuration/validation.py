"""Validates declared objects (types, ranges, references) and builds the snapshot.

All faults are reported, each with its path.
"""

from typing import (
    Any,
    NamedTuple,
)

from expression import (
    Error,
    Ok,
    Result,
)

from egretshed.configuration.schema import (
    OBJECT_KINDS,
    Configuration,
    ObjectBody,
    ObjectId,
)
from egretshed.errors import ConfigurationInvalid
from egretshed.records import (
    Fault,
    read_record,
)

_ABSENT = object()


class BuiltConfiguration(NamedTuple):
    """A snapshot with the objects from which it was built."""

    configuration: Configuration
    objects: dict[ObjectId, ObjectBody]


def build_configuration(
    version: int,
    objects: dict[ObjectId, ObjectBody],
    previous: BuiltConfiguration | None = None,
) -> Result[Configuration, ConfigurationInvalid]:
    """Return the validated snapshot of `objects`, or all faults in them.

    Records of `previous` are reused for bodies that are identical objects (``is``).
    Parsing all of them takes 46 ms with 4,100 customers and blocks the event loop, so
    that no token is relayed meanwhile. Bodies that are merely equal are parsed again,
    since ``1 == True`` but only one of them is a valid boolean.
    """
    faults: list[Fault] = []
    by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in OBJECT_KINDS}
    previous_objects = previous.objects if previous else {}
    for object_id in sorted(objects):
        body = objects[object_id]
        kind, _, name = object_id.partition("/")
        if kind not in OBJECT_KINDS or not name:
            faults.append(Fault(object_id, "unknown object kind"))
            continue
        if body is previous_objects.get(object_id, _ABSENT):
            by_kind[kind][name] = getattr(previous.configuration, kind)[name]
            continue
        record = read_record(body, OBJECT_KINDS[kind], object_id, faults)
        if record is not None:
            by_kind[kind][name] = record
    configuration = Configuration(version, **by_kind)
    if not faults:
        faults += _range_faults(configuration)
        faults += _reference_faults(configuration)
    if faults:
        return Error(
            ConfigurationInvalid(
                f"{len(faults)} faults in the configuration",
                faults=[fault._asdict() for fault in faults],
            )
        )
    return Ok(configuration)


def _range_faults(configuration: Configuration):
    for name, pool in configuration.pools.items():
        path = f"pools/{name}"
        if not 1 <= pool.cold_slots <= pool.warm_slots:
            yield Fault(f"{path}.cold_slots", "must be between 1 and warm_slots")
        if pool.progress_limit_s <= 0:
            yield Fault(f"{path}.progress_limit_s", "must be greater than 0")
        if pool.warm_up_calls < 0:
            yield Fault(f"{path}.warm_up_calls", "must not be negative")
    for name, kind in configuration.kinds.items():
        if kind.deadline_s <= 0:
            yield Fault(f"kinds/{name}.deadline_s", "must be greater than 0")
        if kind.max_tokens < 1:
            yield Fault(f"kinds/{name}.max_tokens", "must be at least 1")
    for name, customer in configuration.customers.items():
        if customer.share <= 0:
            yield Fault(f"customers/{name}.share", "must be greater than 0")
        if "/" in name:
            yield Fault(f"customers/{name}", "name must not contain '/'")


def _reference_faults(configuration: Configuration):
    yield from _replica_faults(configuration)
    for name, pipeline in configuration.pipelines.items():
        if not pipeline.stages:
            yield Fault(f"pipelines/{name}.stages", "must have at least one stage")
        for index, stage in enumerate(pipeline.stages):
            if stage.pool not in configuration.pools:
                path = f"pipelines/{name}.stages[{index}].pool"
                yield Fault(path, f"unknown pool {stage.pool!r}")
    for name, kind in configuration.kinds.items():
        path = f"kinds/{name}"
        if bool(kind.pipeline) == bool(kind.service):
            yield Fault(path, "must set exactly one of pipeline and service")
        if kind.pipeline and kind.pipeline not in configuration.pipelines:
            yield Fault(f"{path}.pipeline", f"unknown pipeline {kind.pipeline!r}")
        if kind.service and kind.service not in configuration.pools:
            yield Fault(f"{path}.service", f"unknown service {kind.service!r}")


def _replica_faults(configuration: Configuration):
    paths_by_id: dict[str, str] = {}
    for name, pool in configuration.pools.items():
        for index, replica in enumerate(pool.replicas):
            path = f"pools/{name}.replicas[{index}]"
            if replica.failure_domain not in configuration.failure_domains:
                yield Fault(
                    f"{path}.failure_domain",
                    f"unknown failure domain {replica.failure_domain!r}",
                )
            if not replica.url.startswith(("http://", "https://")):
                yield Fault(f"{path}.url", "must start with http:// or https://")
            if replica.replica_id in paths_by_id:
                yield Fault(
                    f"{path}.replica_id",
                    f"{replica.replica_id!r} is also used by "
                    f"{paths_by_id[replica.replica_id]}",
                )
            paths_by_id[replica.replica_id] = path
