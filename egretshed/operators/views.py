"""JSON objects that show operators a node's view of the system."""

from typing import Any

from egretshed.configuration.schema import (
    ObjectBody,
    ObjectId,
)
from egretshed.records import to_object


def status_view(services: Any) -> dict[str, Any]:
    """Return the state of this node and a summary of its view of the system."""
    identity = services.env.identity
    configuration = services.configuration
    return {
        "node_id": identity.node_id,
        "incarnation": identity.incarnation,
        "failure_domain": identity.failure_domain,
        "region": identity.region,
        "configuration_version": configuration.current.version,
        "configuration_is_fresh": configuration.is_fresh(),
        "membership_is_settled": services.membership.is_settled(),
        "nodes_reachable": len(services.membership.reachable()),
        "nodes_listed": len(services.membership.listed()),
        "failure_domains_out": sorted(
            name
            for name, domain in configuration.current.failure_domains.items()
            if domain.out
        ),
        "replicas_owned": len(services.slots.owned()),
    }


def node_views(services: Any) -> list[dict[str, Any]]:
    """Return all nodes that are reachable or listed, as seen by this node."""
    listed = {vm.node_id: vm for vm in services.membership.listed()}
    reachable = {member.node_id: member for member in services.membership.reachable()}
    views = []
    for node_id in sorted({*listed, *reachable}):
        node = reachable.get(node_id) or listed[node_id]
        status = getattr(reachable.get(node_id), "status", None)
        views.append(
            {
                "node_id": node_id,
                "failure_domain": getattr(node, "failure_domain", ""),
                "region": getattr(node, "region", ""),
                "listed": node_id in listed,
                "reachable": node_id in reachable,
                "status": getattr(status, "name", str(status or "not reachable")),
            }
        )
    return views


def replica_views(services: Any) -> list[dict[str, Any]]:
    """Return all declared replicas with this node's view of their slots and load."""
    configuration = services.configuration.current
    views = []
    for pool_name, pool in sorted(configuration.pools.items()):
        for replica in pool.replicas:
            view = services.slots.borrower.view(replica.replica_id)
            views.append(
                {
                    "replica_id": replica.replica_id,
                    "pool": pool_name,
                    "failure_domain": replica.failure_domain,
                    "in_service": configuration.is_in_service(replica),
                    **to_object(view),
                }
            )
    return views


def diff_objects(
    before: dict[ObjectId, ObjectBody], after: dict[ObjectId, ObjectBody]
) -> list[dict[str, Any]]:
    """Return a record with both bodies for each object that differs."""
    return [
        {"object": id_, "before": before.get(id_), "after": after.get(id_)}
        for id_ in sorted({*before, *after})
        if before.get(id_) != after.get(id_)
    ]
