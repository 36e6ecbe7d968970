"""Difference between two configurations, route by route and service by service."""

from collections.abc import Iterator
from typing import (
    Any,
    NamedTuple,
)

from egretshed.serving.schema import ServingConfiguration


class Difference(NamedTuple):
    """One changed entry; a value is None where the entry does not exist.

    API keys are counted, never named.
    """

    path: str
    before: Any
    after: Any


def configuration_differences(
    before: ServingConfiguration, after: ServingConfiguration
) -> list[Difference]:
    """Return what `after` changes, in the order limits, routes, services, customers."""
    return [
        *_changed_fields("limits", before.limits, after.limits),
        *_changed_entries(
            "routes",
            {route.name: route for route in before.routes},
            {route.name: route for route in after.routes},
        ),
        *_changed_entries("services", before.services, after.services),
        *_changed_keys(before, after),
    ]


def _changed_entries(
    kind: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    for name in dict.fromkeys([*before, *after]):
        path = f"{kind}.{name}"
        if name not in after:
            yield Difference(path, "present", None)
        elif name not in before:
            yield Difference(path, None, "present")
        else:
            yield from _changed_fields(path, before[name], after[name])


def _changed_fields(path: str, before: Any, after: Any) -> Iterator[Difference]:
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield Difference(f"{path}.{field}", old, new)


def _changed_keys(
    before: ServingConfiguration, after: ServingConfiguration
) -> Iterator[Difference]:
    if before.requires_key != after.requires_key:
        yield Difference("customers", before.requires_key, after.requires_key)
    old, new = _by_customer(before), _by_customer(after)
    for name in dict.fromkeys([*old, *new]):
        removed = len(old.get(name, set()) - new.get(name, set()))
        added = len(new.get(name, set()) - old.get(name, set()))
        if removed or added:
            yield Difference(
                f"customers.{name}.keys", f"{removed} removed", f"{added} added"
            )


def _by_customer(configuration: ServingConfiguration) -> dict[str, set[tuple]]:
    """Return the keys of each customer, each with the priority that it gives."""
    found: dict[str, set[tuple]] = {}
    for key, customer in configuration.customers_by_key.items():
        found.setdefault(customer.name, set()).add((key, customer.priority))
    return found
