"""Reads a deployment folder: declared objects and settings of the simulated servers.

The folder has one file per kind of object (`pools.json` and so on, each a JSON object
from name to body) and optionally `standins.json`, which overrides fields of
`BackendSpec` by pool::

    {"rota-llm": {"timing": {"token_s": 0.01}, "starts_warm": false}}
"""

from pathlib import Path
from typing import Any

import msgspec

from egretshed.configuration.schema import (
    OBJECT_KINDS,
    ObjectBody,
    ObjectId,
)
from standins.backend_spec import (
    BackendSpec,
    Timing,
)

STANDINS_FILE = "standins.json"


def load_objects(folder: Path) -> dict[ObjectId, ObjectBody]:
    """Return the declared objects by ID, ``<kind>/<name>``."""
    objects = {}
    for kind in OBJECT_KINDS:
        file = folder / f"{kind}.json"
        for name, body in msgspec.json.decode(file.read_bytes()).items():
            objects[f"{kind}/{name}"] = body
    return objects


def with_urls(
    objects: dict[ObjectId, ObjectBody], urls: dict[str, str]
) -> dict[ObjectId, ObjectBody]:
    """Return the objects with the replicas' URLs replaced.

    `urls` is keyed by replica ID; a replica that is missing in it keeps its URL.
    """
    changed = dict(objects)
    for object_id, body in objects.items():
        if not object_id.startswith("pools/"):
            continue
        replicas = [
            {**replica, "url": urls.get(replica["replica_id"], replica["url"])}
            for replica in body["replicas"]
        ]
        changed[object_id] = {**body, "replicas": replicas}
    return changed


def backend_specs(folder: Path) -> list[BackendSpec]:
    """Return the simulated server's settings for every replica of every pool."""
    objects = load_objects(folder)
    file = folder / STANDINS_FILE
    settings_by_pool = msgspec.json.decode(file.read_bytes()) if file.exists() else {}
    return [
        _spec(
            object_id.removeprefix("pools/"), pool, replica, objects, settings_by_pool
        )
        for object_id, pool in sorted(objects.items())
        if object_id.startswith("pools/")
        for replica in pool["replicas"]
    ]


def _spec(
    name: str,
    pool: ObjectBody,
    replica: dict[str, Any],
    objects: dict[ObjectId, ObjectBody],
    settings_by_pool: dict[str, Any],
) -> BackendSpec:
    settings = dict(settings_by_pool.get(name, {}))
    timing = Timing(**settings.pop("timing", {}))
    model = pool.get("model", "")
    spec = BackendSpec(
        replica_id=replica["replica_id"],
        role=pool["role"],
        cold_slots=pool["cold_slots"],
        warm_slots=pool["warm_slots"],
        warm_up_calls=pool.get("warm_up_calls", 20),
        pool=name,
        failure_domain=replica["failure_domain"],
        model=model,
        model_version=objects.get(f"models/{model}", {}).get("version", ""),
        checks_fencing=replica.get("checks_fencing", True),
        timing=timing,
    )
    return spec._replace(**settings)
