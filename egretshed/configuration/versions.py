"""Version records: what one accepted change was, and how to apply and undo it."""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.configuration.schema import (
    ObjectBody,
    ObjectId,
)
from egretshed.errors import ConfigurationInvalid

HEAD_KEY = "configuration/head"
VERSIONS_PREFIX = "configuration/versions/"
OBJECTS_PREFIX = "configuration/objects/"
VERSION_DIGITS = 12

Objects = dict[ObjectId, ObjectBody]
Changes = dict[ObjectId, ObjectBody | None]


class VersionRecord(NamedTuple):
    """One version; `changes` has new bodies by object id, None for a removed object.

    `previous` has the bodies before the change, None for an added object.
    `transaction_id` is unique to the attempt that wrote it. `wall_s` is the time on the
    clock of the node that wrote it and only informs readers.
    """

    version: int
    operator: str
    reason: str
    wall_s: float
    changes: Changes
    previous: Changes
    transaction_id: str


def version_key(version: int) -> str:
    return f"{VERSIONS_PREFIX}{version:0{VERSION_DIGITS}d}"


def object_key(object_id: ObjectId) -> str:
    return f"{OBJECTS_PREFIX}{object_id}"


def record_from(raw: dict[str, Any]) -> VersionRecord:
    """Return the record that a table row or a peer's delta holds."""
    return VersionRecord(**{name: raw[name] for name in VersionRecord._fields})


def with_changes(objects: Objects, changes: Changes) -> Objects:
    """Return a copy of `objects` with each body set, or removed where it is None."""
    merged = {**objects, **changes}
    return {object_id: body for object_id, body in merged.items() if body is not None}


def difference(before: Objects, after: Objects) -> Changes:
    """Return the changes that turn `before` into `after`.

    Example::

        difference({"models/a": {"version": "1"}}, {}) == {"models/a": None}
    """
    return {
        object_id: after.get(object_id)
        for object_id in sorted(before.keys() | after.keys())
        if before.get(object_id) != after.get(object_id)
    }


def check_changes(objects: Objects, changes: Changes) -> None:
    """Raise `ConfigurationInvalid` for an empty change or an unknown removal."""
    faults = [
        {"path": object_id, "message": "cannot remove an object that does not exist"}
        for object_id, body in changes.items()
        if body is None and object_id not in objects
    ]
    if not changes:
        faults.append({"path": "$", "message": "the change is empty"})
    if faults:
        raise ConfigurationInvalid(f"{len(faults)} faults in the change", faults=faults)
