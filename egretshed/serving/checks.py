"""Checks of a configuration before an operator sends it.

They find what nodes accept and what still cannot be meant: entries that never match a
request, references to nothing, and limits that contradict each other. Whether a node
takes the configuration at all is decided by `decode_configuration`, here as there.
"""

from collections.abc import (
    Callable,
    Iterator,
)
from enum import StrEnum
from typing import NamedTuple

from egretshed.registry import Registry
from egretshed.serving.schema import (
    Route,
    ServingConfiguration,
    StageLimits,
)

PATH_SEPARATOR = "/"


class Severity(StrEnum):
    """An error ends requests of callers; a warning has no effect or an odd one."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One finding; `path` is like ``routes.book.stages[1]``."""

    severity: Severity
    path: str
    message: str


Check = Callable[[ServingConfiguration], Iterator[Finding]]
CHECKS: Registry[Check] = Registry("configuration check")


def check_configuration(configuration: ServingConfiguration) -> list[Finding]:
    """Return the findings of all checks, errors first::

    check_configuration(decode_configuration(content))
    """
    checks = [CHECKS.get(name) for name in CHECKS.names()]
    findings = [finding for check in checks for finding in check(configuration)]
    return sorted(findings, key=lambda f: (f.severity is not Severity.ERROR, f.path))


def _error(path: str, message: str) -> Finding:
    return Finding(Severity.ERROR, path, message)


def _warning(path: str, message: str) -> Finding:
    return Finding(Severity.WARNING, path, message)


@CHECKS.register("routes_that_never_match")
def _routes_that_never_match(configuration: ServingConfiguration) -> Iterator[Finding]:
    """Find routes for which `RouteTable.match` returns another one or none."""
    last_by_address = {(r.host, r.path_prefix): r.name for r in configuration.routes}
    for route in configuration.routes:
        path = f"routes.{route.name}"
        prefix = route.path_prefix
        if not (prefix.startswith(PATH_SEPARATOR) and prefix.endswith(PATH_SEPARATOR)):
            yield _error(
                f"{path}.path_prefix",
                f"{prefix!r} matches nothing: it must begin and end with '/'",
            )
        if "?" in prefix:
            yield _error(f"{path}.path_prefix", "a query is no part of the path")
        if ":" in route.host:
            yield _error(
                f"{path}.hostname", f"{route.host!r} matches nothing: it names a port"
            )
        winner = last_by_address[route.host, prefix]
        if winner != route.name:
            yield _error(path, f"never matches: {winner!r} has the same host and path")


@CHECKS.register("duplicate_names")
def _duplicate_names(configuration: ServingConfiguration) -> Iterator[Finding]:
    seen: set[str] = set()
    for route in configuration.routes:
        if route.name in seen:
            yield _warning(f"routes.{route.name}", "the name is used more than once")
        seen.add(route.name)


@CHECKS.register("keys_that_never_match")
def _keys_that_never_match(configuration: ServingConfiguration) -> Iterator[Finding]:
    keys = configuration.customers_by_key
    for key, customer in keys.items():
        if not key or key != key.strip():
            yield _warning(
                f"customers.{customer.name}.keys",
                "a key that is empty or has spaces around it matches no request",
            )
    owners = {customer.name for customer in keys.values()}
    for name in configuration.customer_names:
        if name not in owners:
            yield _warning(
                f"customers.{name}.keys",
                "no key leads to this customer: it has none, or others have them all",
            )
    if not configuration.requires_key:
        return
    if not keys and not any(route.is_public for route in configuration.routes):
        yield _warning("customers", "no key is known and no route is public")


@CHECKS.register("unknown_services")
def _unknown_services(configuration: ServingConfiguration) -> Iterator[Finding]:
    used: set[str] = set()
    for route in configuration.routes:
        if not route.services:
            yield _error(f"routes.{route.name}", "no service has a positive weight")
        for target in route.services:
            used.add(target.service)
            if target.service not in configuration.services:
                yield _error(
                    f"routes.{route.name}", f"service {target.service!r} is unknown"
                )
        for index, stage in enumerate(route.stages):
            used.add(stage.service)
            service = configuration.services.get(stage.service)
            path = f"routes.{route.name}.stages[{index}]"
            if service is None:
                yield _error(path, f"service {stage.service!r} is unknown")
            elif service.stage is None:
                yield _error(path, f"service {stage.service!r} runs no stages")
    for name in configuration.services:
        if name not in used:
            yield _warning(f"services.{name}", "no route and no stage uses it")


@CHECKS.register("stage_graphs")
def _stage_graphs(configuration: ServingConfiguration) -> Iterator[Finding]:
    for route in configuration.routes:
        indexes = range(len(route.stages))
        for index, stage in enumerate(route.stages):
            path = f"routes.{route.name}.stages[{index}]"
            for after in stage.after:
                if after not in indexes:
                    yield _error(path, f"follows stage {after}, which does not exist")
        if _has_cycle(route):
            yield _error(f"routes.{route.name}.stages", "stages follow each other")


def _has_cycle(route: Route) -> bool:
    open_stages = dict(enumerate(route.stages))
    while ready := [
        index
        for index, stage in open_stages.items()
        if not any(after in open_stages for after in stage.after)
    ]:
        for index in ready:
            del open_stages[index]
    return bool(open_stages)


@CHECKS.register("times_of_routes")
def _times_of_routes(configuration: ServingConfiguration) -> Iterator[Finding]:
    for route in configuration.routes:
        path = f"routes.{route.name}"
        if route.timeout_s <= 0:
            yield _error(f"{path}.timeout", "must be greater than 0")
        if route.latency_target_s > route.timeout_s > 0:
            yield _error(
                f"{path}.target_latency",
                f"{route.latency_target_s:g} s is over the timeout of "
                f"{route.timeout_s:g} s",
            )
        if not _has_cycle(route):
            least_s = least_stage_time_s(route, configuration)
            if least_s >= route.timeout_s > 0:
                yield _error(
                    f"{path}.timeout",
                    f"{route.timeout_s:g} s is under the least time of the stages, "
                    f"{least_s:g} s",
                )


def least_stage_time_s(route: Route, configuration: ServingConfiguration) -> float:
    """Return the time of the longest path of stages, with a call of one item each."""
    ends_s: dict[int, float] = {}

    def end_s(index: int) -> float:
        if index not in ends_s:
            stage = route.stages[index]
            limits = _stage_limits(stage.service, configuration)
            call_s = limits.call_s + limits.item_s if limits else 0.0
            followed = [a for a in stage.after if a in range(len(route.stages))]
            ends_s[index] = call_s + max((end_s(a) for a in followed), default=0.0)
        return ends_s[index]

    return max((end_s(index) for index in range(len(route.stages))), default=0.0)


def _stage_limits(
    service_name: str, configuration: ServingConfiguration
) -> StageLimits | None:
    service = configuration.services.get(service_name)
    return service.stage if service else None


@CHECKS.register("settings_without_effect")
def _settings_without_effect(configuration: ServingConfiguration) -> Iterator[Finding]:
    for route in configuration.routes:
        path = f"routes.{route.name}"
        if route.max_attempts > 1 and not route.is_retryable:
            yield _warning(
                f"{path}.max_attempts",
                "requests that may have run are not repeated: neither idempotent nor "
                "resumable",
            )
        if route.is_resumable and not route.is_stream:
            yield _warning(f"{path}.resumable", "only streams are resumed")
        if route.event_interval_target_s > 0 and not route.is_stream:
            yield _warning(f"{path}.event_interval", "only streams have events")


@CHECKS.register("capacities")
def _capacities(configuration: ServingConfiguration) -> Iterator[Finding]:
    for name, service in configuration.services.items():
        path = f"services.{name}"
        limits = service.engine or service.stage
        if limits is not None and limits.slots < 1:
            yield _error(f"{path}.slots", "without a slot no request can run")
        if limits is not None and 0 < service.max_connections < limits.slots:
            yield _warning(
                f"{path}.max_connections",
                f"{service.max_connections} connections cannot fill {limits.slots} "
                "slots",
            )
    for route in configuration.routes:
        for index, stage in enumerate(route.stages):
            limits = _stage_limits(stage.service, configuration)
            if limits and stage.result_bytes > limits.result_capacity_bytes:
                yield _error(
                    f"routes.{route.name}.stages[{index}]",
                    f"a result of {stage.result_bytes} bytes is over the memory for "
                    f"results of {stage.service!r}, {limits.result_capacity_bytes} "
                    "bytes",
                )


@CHECKS.register("caller_limits")
def _caller_limits(configuration: ServingConfiguration) -> Iterator[Finding]:
    for name, value in configuration.limits._asdict().items():
        if value <= 0:
            yield _error(f"limits.{name}", "must be greater than 0")
